#pragma once

#include "base/types.h"
#include "wire_generated.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace verbena::node {

// Counts, by team, the requests to which endpoints began to answer, in slices of time that control members
// collect (docs/design/metering.md). Its methods are passed the time. Thread-safe.
//
// Slices end at multiples of `slice_length` of the wall clock, so that a slice belongs to one window whole as
// long as clocks agree. Their ages and lengths are measured with the steady clock, which the wall clock of
// this machine cannot falsify.
class usage_counter {
public:
    using wall_time = std::chrono::sys_time<milliseconds>;

    static wall_time wall_now() { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); }

    // About the interval of polls: a shorter slice would not reach a member earlier.
    static constexpr milliseconds slice_length{500};

    // Slices are kept for `kept` after their end; 0 stops the count and drops them. Nothing is counted before
    // the first call.
    void set_kept(milliseconds kept, time_point now, wall_time wall);

    // An endpoint has begun to answer a request of the team. Nothing is counted for an empty team.
    void record(const std::string& team, time_point now, wall_time wall);

    // The oldest closed slices after number `acknowledged`, at most a message's worth.
    std::vector<std::unique_ptr<wire::usage_sliceT>> slices_after(std::uint64_t acknowledged, time_point now,
                                                                  wall_time wall);

    // Closes the open slice before its time, for a process that is about to end. Returns the number of the
    // last slice; 0 when nothing is counted.
    std::uint64_t flush(time_point now);

private:
    struct slice {
        std::uint64_t number = 0;
        time_point begin;
        time_point end;
        std::vector<std::pair<std::string, std::uint32_t>> teams;
    };

    void advance(time_point now, wall_time wall);
    void close_slice(time_point end);

    std::atomic<bool> m_counts{false};
    std::mutex m_mutex;
    milliseconds m_kept{};
    std::deque<slice> m_closed;
    std::uint64_t m_last_number = 0;
    time_point m_begin; // of the open slice
    time_point m_end;   // when the open slice is due to be closed
    std::map<std::string, std::uint32_t> m_open;
};

} // namespace verbena::node
