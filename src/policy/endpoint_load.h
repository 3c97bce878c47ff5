#pragma once

#include "base/types.h"
#include "policy/engine_cost.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace verbena::policy {

// Identifies a unit of work: the incarnation of the entry that dispatched it, and that entry's number for it.
struct work_key {
    incarnation entry = 0;
    std::uint64_t number = 0;

    bool operator==(const work_key&) const = default;
    bool operator<(const work_key& other) const
    {
        return std::tie(entry, number) < std::tie(other.entry, other.number);
    }
};

// Resources that one request uses at one endpoint.
struct endpoint_work {
    double prefill_ms = 0;            // prefill time at this endpoint, at nominal speed
    std::uint64_t context_tokens = 0; // context that its decode steps attend to
    std::uint64_t held_tokens = 0;    // reserved KV memory
    bool prefill_only = false;        // prefill only; another endpoint decodes the answer
    std::uint32_t parts = 1;          // endpoints that share the prefill
    time_point due;                   // deadline of the first event under its objective
    milliseconds pause{};             // longest allowed pause between events; 0 = no limit
    milliseconds objective{};         // allowed time to the first event
    double value = 0;                 // value that its caller can still lose
    bool answering = false;           // its first event has arrived, so it is decoding
};

// Work that all entries have dispatched to one endpoint, with the totals that placement needs. The first
// event of an answer corrects the predicted prefill backlog. In all functions `slowdown` is the endpoint's
// measured time over its predicted time.
class endpoint_load {
public:
    void start(const work_key& key, const endpoint_work& work, double slowdown, time_point now);
    void first_event(const work_key& key, double slowdown, time_point now);
    void end(const work_key& key, double slowdown, time_point now);

    // Removes the work of an entry incarnation that is gone.
    void remove_entry(incarnation entry, double slowdown, time_point now);

    // Predicted time until the prefill of all dispatched work is done.
    double backlog_ms(time_point now) const;

    std::size_t requests() const { return m_requests; }
    std::size_t parts() const { return m_work.size() - m_requests; }
    std::size_t decoding_requests() const { return m_decoding_requests; }
    std::uint64_t context_tokens() const { return m_context_tokens; }
    std::uint64_t held_tokens() const { return m_held_tokens; }
    double decoding_value() const { return m_decoding_value; }
    double waiting_value() const { return m_waiting_value; }
    // Cost per millisecond by which the requests that wait for their first event are delayed: the sum of
    // their values, each divided by its objective in ms. Delaying one part of a prompt that several endpoints
    // prefill delays the whole prompt, so each part carries an equal share of that cost.
    double waiting_loss_per_ms() const { return m_waiting_loss_per_ms; }
    // Shortest allowed pause of the answers that are or will be decoded here; 0 = none.
    milliseconds shortest_pause() const { return m_shortest_pause; }
    // Earliest time at which a request that waits for its first event becomes late.
    time_point earliest_due() const { return m_earliest_due; }

private:
    void recompute_totals();
    void cap_backlog(double slowdown, time_point now);

    std::map<work_key, endpoint_work> m_work;
    time_point m_prefill_end{};
    double m_remaining_prefill_ms = 0;
    std::size_t m_requests = 0;
    std::size_t m_decoding_requests = 0;
    std::uint64_t m_context_tokens = 0;
    std::uint64_t m_held_tokens = 0;
    double m_decoding_value = 0;
    double m_waiting_value = 0;
    double m_waiting_loss_per_ms = 0;
    milliseconds m_shortest_pause{};
    time_point m_earliest_due = time_point::max();
};

} // namespace verbena::policy
