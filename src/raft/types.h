#pragma once

#include "base/types.h"

#include <optional>
#include <vector>

namespace verbena::raft {

using bytes = std::vector<std::uint8_t>;

// Permanent id of a member; an id is never reused for a second data folder. 0 means "none".
using member_id = std::uint64_t;

// Election term; monotonically increasing.
using term_number = std::uint64_t;

// Position in the replicated log; the first entry has index 1.
using log_index = std::uint64_t;

// Random id drawn when an empty data folder joins an existing group; 0 in folders that were initialised with
// the group. Distinguishes a folder from an earlier one with the same member id.
using folder_id = std::uint64_t;

enum class entry_kind : std::uint8_t { command, membership, no_op };

struct entry {
    log_index index = 0;
    term_number term = 0;
    entry_kind kind = entry_kind::command;
    bytes data;

    bool operator==(const entry&) const = default;
};

// Accounted size of an entry in bytes: payload plus a fixed overhead for its fields and framing.
inline std::size_t cost(const entry& value)
{
    return value.data.size() + 48;
}

// Raft state that must be durable before a member answers any message of the term.
struct hard_state {
    term_number term = 0;
    member_id vote = 0;

    bool operator==(const hard_state&) const = default;
};

enum class message_kind : std::uint8_t {
    pre_vote_request,
    pre_vote_reply,
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_chunk,
    snapshot_reply,
    transfer,
};

inline constexpr std::uint8_t message_kind_count = 9;

// One message between members. Fields that a kind does not use stay at their defaults.
struct message {
    message_kind kind = message_kind::append_request;
    member_id from = 0;
    member_id to = 0;
    term_number term = 0;
    folder_id folder = 0; // of the sender

    // Requests: entry before `entries`, or last entry of a candidate. Replies: matching or rejected index.
    log_index index = 0;

    term_number log_term = 0; // term of the entry at `index`; rejections: term of the entry at `hint`
    log_index commit = 0;
    bool reject = false;

    // Rejections: index to probe next. Snapshot replies: next expected offset. Chunks: XXH3 of the image.
    std::uint64_t hint = 0;

    std::uint64_t context = 0; // heartbeat round, echoed by replies
    std::vector<entry> entries{};
    bytes snapshot{};
    log_index snapshot_index = 0;
    term_number snapshot_term = 0;
    std::uint64_t snapshot_offset = 0;
    std::uint64_t snapshot_total = 0;

    bool operator==(const message&) const = default;
};

// Timeouts and limits of the consensus core.
struct options {
    milliseconds heartbeat_interval{60};

    // Election timeouts are drawn uniformly from this range.
    milliseconds election_timeout_min{400};
    milliseconds election_timeout_max{700};

    // Largest age that confirm_age() returns; 20% below the minimum election timeout.
    milliseconds confirm_limit{320};

    // Entries per append message, in bytes. A frame holds 256 KiB.
    std::size_t append_bytes = 128 * 1024;

    // Largest payload of one entry, in bytes; must fit a frame together with its message.
    std::size_t entry_bytes = 192 * 1024;

    // Limit on the bytes sent to one follower and not yet acknowledged.
    std::size_t inflight_bytes = 1024 * 1024;

    // Limit on the bytes proposed and not yet committed; further proposals are refused as overloaded.
    std::size_t uncommitted_bytes = 8 * 1024 * 1024;

    // Committed entries returned in one ready, in bytes.
    std::size_t apply_bytes = 1024 * 1024;

    std::size_t snapshot_chunk_bytes = 128 * 1024;

    // Largest snapshot accepted from a leader, in bytes. Limits the memory that a peer can make this member
    // allocate.
    std::uint64_t snapshot_bytes_max = 1ULL << 30U;

    // A snapshot is due when the log in memory exceeds either bound.
    std::size_t snapshot_after_bytes = 8 * 1024 * 1024;
    std::size_t snapshot_after_entries = 20'000;

    // Entries kept before the snapshot index, so that a slightly lagging follower needs no snapshot.
    std::size_t kept_entries = 1'000;
};

} // namespace verbena::raft
