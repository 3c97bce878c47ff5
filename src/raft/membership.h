#pragma once

#include "base/error.h"
#include "raft/types.h"

#include <span>
#include <string>

namespace verbena::raft {

struct member {
    member_id id = 0;
    folder_id folder = 0; // set by the promotion; a learner's is not known yet
    bool voter = false;
    std::string address;

    bool operator==(const member&) const = default;
};

// The members of a group, ordered by id. It is replicated as a log entry and takes effect when appended.
struct membership {
    std::vector<member> members;
    member_id highest_id = 0; // largest id ever used; a new member needs a larger one

    const member* find(member_id id) const;
    std::size_t voter_count() const;

    // Number of voters that makes a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }

    // Whether the folder of the member `id` may vote: it joined as `folder` and is listed as a voter.
    bool is_voter(member_id id, folder_id folder) const;

    bool operator==(const membership&) const = default;
};

// The membership of a new group; `members` all vote from the start.
membership make_initial_membership(std::vector<member> members);

bytes encode(const membership& value);
result<membership> decode_membership(std::span<const std::uint8_t> data);

// A change an operator asks for. Learners are promoted by the leader once they have caught up.
struct membership_change {
    enum class kind : std::uint8_t { add, remove };

    kind action = kind::add;
    member_id id = 0;
    std::string address;
};

// The membership after `change`, or a conflict with its remedy.
result<membership> apply_change(const membership& current, const membership_change& change);

} // namespace verbena::raft
