#pragma once

#include "control/true_time.h"
#include "wire_generated.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace verbena::control {

struct usage_options {
    milliseconds window{5'000};
    milliseconds late{10'000}; // a report is due this long after the end of its window
};

// What is known of a window.
struct usage_summary {
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; // by team
    std::uint32_t entries = 0;                   // whose counts are complete
    std::uint32_t missing = 0;                   // of which a part of the window is unknown
};

// Gathers the usage slices of all entries into windows on the member that leads the group
// (docs/design/metering.md). Holds no durable state: entries keep their slices and send them again to a new
// leader. Slices are numbered, so that one that comes twice is counted once. Reads no clock. Not thread-safe.
class usage_collector {
public:
    explicit usage_collector(usage_options options) : m_options(options) {}

    // Takes a reading of this member's wall clock; called on all members, so that a new leader already has an
    // estimate of true time that a step of its clock does not change.
    void observe_clock(wall_time wall, time_point now) { m_clock.observe(wall, now); }

    // Takes the slices of a poll and fills in the usage fields of its reply. A member that begins to lead
    // starts with nothing.
    void answer(const wire::pollT& poll, bool leads, time_point now, wire::poll_replyT& reply);

    // The window that follows window `after`, the last one that is recorded (0 if none is), once all entries
    // have sent their counts of it. If some do not, the window is reported without them shortly before it is
    // due: later nothing better can be reported in time. Windows of which nothing at all is known are left
    // out. Nothing is returned before the entries had time to send their slices to this member.
    std::optional<usage_summary> next_closed(std::uint64_t after, time_point now) const;

    // Forgets the windows up to `window`. Counts that arrive for them afterwards are lost.
    void close(std::uint64_t window);

    // Requests whose slice came after this member had closed their window.
    double late_requests() const { return m_late_requests; }

    // Estimate of true time since the end of a window; negative before its end.
    milliseconds since_end(std::uint64_t window, time_point now) const;

private:
    // An entry, by its incarnation. Times are of this member's clock.
    struct entry_record {
        std::string name;
        time_point last_heard;
        bool replaced = false;         // a later process of the same name polls
        bool counting = false;         // a slice has been received
        std::uint64_t last_number = 0; // of its slices
        time_point end;                // of the last slice
    };

    // Part of an entry's time of which nothing is known.
    struct gap {
        incarnation entry = 0;
        time_point begin;
        time_point end;
    };

    using window_counts = std::map<std::string, double>;

    milliseconds kept() const;
    void begin(time_point now);
    void replace_others(const wire::pollT& poll);
    void add_slice(const wire::usage_sliceT& slice, incarnation entry, entry_record& record, time_point now);
    void add_counts(const wire::usage_sliceT& slice, time_point begin, time_point end, time_point now);
    void drop_old(time_point now);
    std::uint64_t window_at(time_point at) const;
    time_point begin_of(std::uint64_t window) const;
    // When a window is reported even if counts of some entries are missing.
    time_point last_report_time(std::uint64_t window) const;
    std::optional<std::uint64_t> next_window(std::uint64_t after, time_point now) const;
    bool has_gap(incarnation entry, time_point begin, time_point end) const;

    usage_options m_options;
    true_time m_clock;
    bool m_leads = false;
    time_point m_began; // when this member began to collect
    std::map<incarnation, entry_record> m_entries;
    std::deque<gap> m_gaps;
    std::map<std::uint64_t, window_counts> m_windows;
    std::uint64_t m_first_window = 0;               // first window of which anything is known
    std::uint64_t m_closed = 0;                     // last window that is closed
    std::optional<std::uint64_t> m_closed_by_other; // last window that an earlier leader had closed
    double m_late_requests = 0;
};

} // namespace verbena::control
