#pragma once

#include "raft/core.h"

#include <map>
#include <set>
#include <string>

namespace verbena::control {

// A surplus voter that has not answered for this long is removed. Longer than an election and a restart.
inline constexpr milliseconds silent_voter_timeout{2'500};

// A learner that has not answered for this long is removed.
inline constexpr milliseconds silent_learner_timeout{10'000};

// A membership change that the leader should make.
struct membership_step {
    raft::membership_change change;
    raft::member subject; // as it is or will be listed
    const char* reason = "";
};

// A process that asks to become a member: its frame address and the folder that it holds, if any.
struct join_call {
    std::string address;
    raft::member_folder held;
};

struct join_decision {
    raft::member_id assigned = 0; // id under which the process takes part; 0 = it has to ask again
    std::optional<membership_step> step;
};

// Decides who becomes a member and who is removed, in a group without an operator. Has no clock, timers or
// connections; the caller makes the changes, sends the questions and reports the answers to the core.
//
// A join request may arrive long after it was sent, so it proves nothing about the folder of a listed voter.
// It only leads to a question to the process at the voter's address.
class membership_policy {
public:
    // `tolerated_losses`: number of members (f) that may be lost at once. The group needs 2f + 1 voters.
    explicit membership_policy(std::size_t tolerated_losses) : m_tolerated_losses(tolerated_losses) {}

    std::size_t needed_voters() const { return 2 * m_tolerated_losses + 1; }

    // Handles a join request on any member; only the leader decides it.
    join_decision join(const raft::core& state, const join_call& call);

    // The next member to be removed, on the leader; called at each timer tick. Each step is returned again
    // after a while until it has taken effect.
    std::optional<membership_step> next_removal(const raft::core& state, time_point now);

    // Voters whose addresses have to be asked now whether they still hold their folder: on a leader those
    // whose address a process without that folder has named as its own; on a member without a leader all
    // others, if the loss of one would let it be elected with fewer votes.
    std::vector<raft::member> voters_to_ask(const raft::core& state, time_point now);

private:
    static std::optional<membership_step> lost_voter(const raft::core& state);
    std::optional<membership_step> silent_member(const raft::core& state, time_point now);

    std::size_t m_tolerated_losses;
    // On the leader: time at which each unresponsive member stopped answering.
    std::map<raft::member_id, time_point> m_silent_since;
    std::set<raft::member_id> m_contested; // voters to be asked because of a join request
    time_point m_next_question;
    time_point m_next_removal;
};

} // namespace verbena::control
