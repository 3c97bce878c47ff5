#pragma once

#include "policy/scaling.h"
#include "wire_generated.h"

#include <map>
#include <string>
#include <utility>

namespace verbena::control {

// Gathers the load that schedulers report to the member that leads the group. Holds no durable state: the
// schedulers repeat their reports with each poll. Reads no clock. Not thread-safe.
class demand_collector {
public:
    // Service and failure domain.
    using subject = std::pair<std::string, std::string>;

    // Takes the load in a poll and fills in whether more is wanted. A member that begins to lead starts with
    // nothing.
    void answer(const wire::pollT& poll, bool leads, time_point now, wire::poll_replyT& reply);

    // The latest load, with the events since the previous call. The row of a failure domain is taken from the
    // scheduler of this domain, or from another one while there is none. Whether the domain is in service is
    // not known here.
    std::map<subject, policy::scaling_sample> take_samples(time_point now);

private:
    struct event_counts {
        std::uint64_t answered = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
    };

    // A scheduler, by its incarnation.
    struct reporter {
        std::string failure_domain;
        time_point received;
        std::map<subject, wire::service_demandT> rows;
        std::map<subject, event_counts> taken; // counted in samples so far
    };

    static event_counts counts_of(const wire::service_demandT& row);
    // Events of the row that have not been counted yet. They are counted then.
    static event_counts take_events(reporter& from, const subject& key);
    std::map<subject, reporter*> choose_reporters(time_point now);

    bool m_leads = false;
    std::map<incarnation, reporter> m_reporters;
};

} // namespace verbena::control
