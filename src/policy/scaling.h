#pragma once

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace verbena::policy {

// Limits on the number of endpoints of one service. `min` and `max` apply to each failure domain.
struct scaling_limits {
    std::uint32_t min = 0;
    std::uint32_t max = 0;
    milliseconds boot_time{}; // from the order of an endpoint until it takes requests
    milliseconds cold_time{}; // for which an endpoint is slow after that

    bool operator==(const scaling_limits&) const = default;
};

// What the schedulers know of a service in one failure domain. Requests that have no endpoint yet count in
// any one domain.
struct scaling_sample {
    std::uint32_t ready = 0;    // endpoints that take requests at full speed
    std::uint32_t starting = 0; // endpoints that are known and cannot do so yet
    std::uint32_t slots = 0;    // requests that the ready endpoints run at once
    std::uint32_t in_work = 0;  // requests at endpoints
    std::uint32_t waiting = 0;  // requests that wait for an endpoint
    std::uint32_t answered = 0; // first events since the previous sample
    std::uint32_t late = 0;     // those of them that came after their objective
    std::uint32_t refused = 0;  // requests refused since the previous sample for want of an endpoint
    bool in_service = true;     // false: operators have taken the domain out of service
    milliseconds age{};         // since the sample was taken
};

// Decides how many endpoints a service needs in each failure domain, for load that changes within minutes.
//
// The need is the number of endpoints at which the requests in work and waiting occupy 0.7 of the places, and
// more when first events are late or requests are refused: such load also shows how many requests an endpoint
// takes before callers get late answers, which for long prompts is below its slots. Since new endpoints take
// requests only after their boot and cold time, rising load is extrapolated by this time. The need is spread
// evenly over the domains that have endpoints and are in service.
//
// The result rises at once. It falls after the need has been lower for twice the boot and cold time and at
// least 30 s, by a fifth at a time; the last tenth above the need only after 10 minutes. Without a recent
// sample of each domain nothing falls. It is the number of endpoints to have, not a difference, so that an
// order may be repeated or carried out late.
//
// Not thread-safe.
class service_scaling {
public:
    explicit service_scaling(const scaling_limits& limits);

    void set_limits(const scaling_limits& limits);

    // Starts from a number that was ordered before, by this or another process. Endpoints on their way are
    // not known otherwise.
    void restore(const std::string& domain, std::uint32_t desired, time_point now);

    // A sample that is older than the one held is ignored.
    void record(const std::string& domain, const scaling_sample& sample, time_point now);

    // Numbers of endpoints to have, by failure domain. A domain is listed from 10 s after its first sample,
    // or from the sample on if its number was restored, until it has had no endpoints for 10 minutes.
    std::map<std::string, std::uint32_t> desired(time_point now);

private:
    struct timed_need {
        time_point at{};
        std::uint32_t need = 0;
    };

    struct domain_state {
        scaling_sample last;
        time_point sampled{};
        time_point last_with_endpoints{};
        time_point observed_until{};
        time_point out_since{}; // out of service
        bool known = false;     // a sample has arrived
        bool restored = false;
        std::uint32_t desired = 0;
        std::deque<timed_need> needs; // of long_hold_time(), each larger than all after it
        time_point reduced{};
    };

    struct timed_work {
        time_point at{};
        double work = 0;
    };

    // Load of all domains together, as of their latest samples.
    struct total {
        double work = 0; // in work, and waiting as far as it counts
        double in_work = 0;
        double waiting = 0;
        std::uint32_t ready = 0;
        bool complete = true; // there is a recent sample of each domain
    };

    // Late and refused requests among all, of the samples since the last decision.
    struct outcome_counts {
        double answered = 0;
        double late = 0;
        double refused = 0;
    };

    milliseconds reaction_time() const { return m_limits.boot_time + m_limits.cold_time; }
    milliseconds hold_time() const;
    milliseconds long_hold_time() const;
    std::uint32_t clamped(std::uint32_t count) const;
    static bool takes_load(const domain_state& domain, time_point now);
    void forget_empty_domains(time_point now);
    total sum(time_point now) const;
    double forecast(double work, time_point now);
    // Part of the requests that shows too little room, 0 to 1.
    double overload(const total& load);
    void learn_capacity(const total& load, double overload, time_point now);
    std::uint32_t total_need(const total& load, time_point now);
    std::map<std::string, std::uint32_t> spread(std::uint32_t need, time_point now) const;
    void apply_need(domain_state& domain, std::uint32_t need, time_point now) const;

    scaling_limits m_limits;
    std::map<std::string, domain_state> m_domains;
    std::deque<timed_work> m_work; // of the last reaction_time()
    outcome_counts m_outcomes;
    std::uint32_t m_slots = 0;        // of one endpoint; 0 = not known
    std::optional<double> m_capacity; // requests of one endpoint at which callers were late
    time_point m_capacity_updated{};
    // The load that has led to more endpoints: nothing is added for it again until these take requests.
    std::uint32_t m_growth_base = 0;
    time_point m_growth_end{};
};

} // namespace verbena::policy
