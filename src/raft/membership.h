#pragma once

#include "base/error.h"
#include "raft/types.h"

#include <span>
#include <string>

namespace verbena::raft {

struct member {
    member_id id = 0;
    folder_id folder = 0; // set on promotion to voter; not known for a learner
    bool voter = false;
    std::string address;

    bool operator==(const member&) const = default;
};

// The members of a group, ordered by id. Replicated as a log entry; takes effect when the entry is appended.
struct membership {
    std::vector<member> members;
    member_id highest_id = 0; // largest id ever used; a new member needs a larger id

    const member* find(member_id id) const;
    std::size_t voter_count() const;

    // Number of voters that makes a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }

    // Whether member `id` is listed as a voter with this folder id.
    bool is_voter(member_id id, folder_id folder) const;

    bool has_same_voters(const membership& other) const;

    bool operator==(const membership&) const = default;
};

// The membership of a new group, in which all `members` are voters.
membership make_initial_membership(std::vector<member> members);

bytes encode(const membership& value);
result<membership> decode_membership(std::span<const std::uint8_t> data);

// A membership change requested by an operator. A member is added as a learner; the leader promotes it to
// voter once it has caught up.
struct membership_change {
    enum class kind : std::uint8_t { add, remove };

    kind action = kind::add;
    member_id id = 0;
    std::string address;
};

// Returns the membership after `change`, or an error if the change is not valid.
result<membership> apply_change(const membership& current, const membership_change& change);

} // namespace verbena::raft
