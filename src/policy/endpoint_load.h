#pragma once

#include "base/types.h"
#include "policy/engine_cost.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace verbena::policy {

// Names one piece of work: the entry that gave it and that entry's number for it.
struct work_key {
    incarnation entry = 0;
    std::uint64_t number = 0;

    bool operator==(const work_key&) const = default;
    bool operator<(const work_key& other) const
    {
        return std::tie(entry, number) < std::tie(other.entry, other.number);
    }
};

// What one request takes at one endpoint.
struct endpoint_work {
    double read_ms = 0;               // reading that the endpoint does for it
    std::uint64_t context_tokens = 0; // context that its steps cost while it is written
    std::uint64_t held_tokens = 0;    // memory
    bool reads_for_other = false;     // another endpoint writes the answer
    std::uint32_t parts = 1;          // endpoints that read the prompt
    time_point due;                   // latest first event that is in time
    milliseconds pause{};             // longest pause between events that is in time; 0 = none
    milliseconds objective{};         // to the first event
    double value = 0;                 // what its caller can still lose
    bool answering = false;           // its first event has been seen
};

// The work that all entries have given to one endpoint, with the sums that a choice needs. An answer's first
// event corrects the prediction of what is still to be read.
class endpoint_load {
public:
    void start(const work_key& key, const endpoint_work& work, double pace, time_point now);
    void first_event(const work_key& key, double pace, time_point now);
    void end(const work_key& key, double pace, time_point now);

    // Drops the work of an entry that is gone.
    void forget(incarnation entry, double pace, time_point now);

    // Predicted time until everything that was given has been read.
    double backlog_ms(time_point now) const;

    std::size_t requests() const { return m_requests; }
    std::size_t parts() const { return m_works.size() - m_requests; }
    std::size_t writers() const { return m_writers; }
    std::uint64_t context_tokens() const { return m_context; }
    std::uint64_t held_tokens() const { return m_held; }
    double writer_value() const { return m_writer_value; }
    double waiting_value() const { return m_waiting_value; }
    // What a millisecond of reading for another request costs those that wait: the sum of their values over
    // their objectives. A prompt that several endpoints read is delayed as a whole if one of them is, so each
    // has a share of its cost.
    double waiting_rate() const { return m_waiting_rate; }
    // Tightest pause of those that write or are going to; 0 = none.
    milliseconds tightest_pause() const { return m_tightest_pause; }
    // Earliest time at which one that waits for its first event is late.
    time_point earliest_due() const { return m_earliest_due; }

private:
    void sum_up();
    void correct(double pace, time_point now);

    std::map<work_key, endpoint_work> m_works;
    time_point m_read_until{};
    double m_unread_ms = 0;
    std::size_t m_requests = 0;
    std::size_t m_writers = 0;
    std::uint64_t m_context = 0;
    std::uint64_t m_held = 0;
    double m_writer_value = 0;
    double m_waiting_value = 0;
    double m_waiting_rate = 0;
    milliseconds m_tightest_pause{};
    time_point m_earliest_due = time_point::max();
};

} // namespace verbena::policy
