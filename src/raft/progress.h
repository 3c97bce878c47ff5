#pragma once

#include "raft/types.h"

#include <deque>

namespace verbena::raft {

// Replication state and flow control of one follower, kept by the leader.
struct progress {
    // probe: one message at a time until a matching index is found; replicate: a window of messages in
    // flight; snapshot: snapshot chunks.
    enum class phase : std::uint8_t { probe, replicate, snapshot };

    struct inflight {
        log_index last = 0;
        std::size_t size = 0;
        std::uint64_t round = 0; // heartbeat round at the time of sending
    };

    phase state = phase::probe;
    log_index match = 0;
    log_index next = 1;
    bool paused = false; // probe only: a message is in flight
    folder_id folder = 0;
    bool contacted = false;
    time_point last_contact;
    std::uint64_t round = 0; // newest heartbeat round that the follower answered
    std::deque<inflight> window;
    std::size_t window_bytes = 0;
    log_index snapshot_index = 0;
    std::uint64_t snapshot_offset = 0;
    std::uint64_t snapshot_round = 0; // round in which the current chunk was sent

    void become_probe()
    {
        state = phase::probe;
        next = match + 1;
        paused = false;
        clear_window();
    }

    void become_replicate()
    {
        state = phase::replicate;
        next = match + 1;
        paused = false;
        clear_window();
    }

    void become_snapshot(log_index index)
    {
        state = phase::snapshot;
        snapshot_index = index;
        snapshot_offset = 0;
        clear_window();
    }

    void sent(log_index last, std::size_t size, std::uint64_t sent_round)
    {
        window.push_back({last, size, sent_round});
        window_bytes += size;
        next = last + 1;
    }

    void acknowledge(log_index index)
    {
        while (!window.empty() && window.front().last <= index) {
            window_bytes -= window.front().size;
            window.pop_front();
        }
    }

    void clear_window()
    {
        window.clear();
        window_bytes = 0;
    }
};

} // namespace verbena::raft
