#pragma once

#include "base/random.h"
#include "base/types.h"
#include "policy/name_map.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::policy {

// Directory data of an endpoint.
struct endpoint_info {
    std::string name;
    std::string failure_domain;
    std::string service;               // model or plain service
    std::uint64_t capacity_tokens = 0; // 0: unlimited
    bool accepts_work = true;          // in service and not leaving
    bool cold = false;                 // announced itself as cold
};

// Load that an endpoint reported with a refusal or at the end of an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; // requests that may be dispatched; 0: unknown
    bool cold = false;
};

struct route_request {
    std::string_view service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint64_t prefix_hash = 0;      // 0: no affinity
    std::span<const std::string> tried; // endpoints already tried
};

enum class attempt_end : std::uint8_t { success, failure, refused };

struct router_options {
    std::string own_failure_domain;
    double other_domain_penalty = 2; // added to the load, in units of one short request
    clock::duration load_half_life = std::chrono::seconds(1);
    double affinity_bound = 1.25; // maximum load of the affinity endpoint, as a multiple of the mean load
    std::uint32_t failures_to_eject = 3;
    clock::duration first_ejection = std::chrono::seconds(1);
    clock::duration longest_ejection = std::chrono::seconds(30);
    double ejected_share = 0.5;    // maximum fraction of a service's endpoints ejected at once
    double first_ramp_share = 0.1; // initial fraction of its normal work for a returning failure domain
    clock::duration ramp = std::chrono::seconds(30);
    // Fractions of a service's endpoints in each failure domain. Long requests use only the long subset.
    // Medium requests prefer the medium subset, which includes the long one if it is at least as large; short
    // requests prefer the endpoints outside the medium subset.
    double long_subset_share = 0.6;
    double medium_subset_share = 0.6;
    double short_spill_penalty = 1;   // in requests; maximum for short requests inside the medium subset
    double medium_spill_penalty = 16; // in requests; for medium requests outside it
};

// Load-balancing algorithm among the eligible endpoints.
enum class choice_rule : std::uint8_t { two_candidates, round_robin, least_outstanding };

// Chooses the endpoint of an attempt from the load that this entry knows of. The size of its state is bounded
// by the directory.
class router {
public:
    explicit router(router_options options, choice_rule rule = choice_rule::two_candidates);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    // Adds an endpoint or updates its directory data. Keeps its load and health state.
    void upsert(const endpoint_info& info);
    void remove(std::string_view endpoint);

    // Takes a failure domain out of service or puts it back. Its share of the work then ramps up gradually.
    void set_domain(std::string_view failure_domain, bool in, time_point now);

    // Returns the endpoint for the next attempt, or nullopt if none is eligible.
    std::optional<std::string> pick(const route_request& request, time_point now, random_engine& random);

    // Counts an attempt sent to the endpoint.
    void started(std::string_view endpoint, const route_request& request);

    // Reports the attempt's first token, which means that its prefill is done. Optional; at most once per
    // attempt.
    void first_token(std::string_view endpoint, const route_request& request);

    // Ends an attempt. `answering` is true if first_token() was called for it. Three consecutive failures
    // eject the endpoint by default; a refusal does not count as a failure.
    void finished(std::string_view endpoint, const route_request& request, attempt_end end, time_point now,
                  bool answering = false);

    // Records a load report. Its weight decays with load_half_life.
    void report(std::string_view endpoint, const load_report& load, time_point now);

    std::size_t size() const;
    bool ejected(std::string_view endpoint, time_point now) const;
    double outstanding(std::string_view endpoint) const;

    // Largest token capacity among the endpoints of a service; 0 if it has none.
    std::uint64_t largest_capacity(std::string_view service) const;

    // Endpoints of a service that accept long requests.
    std::vector<std::string> long_subset(std::string_view service);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace verbena::policy
