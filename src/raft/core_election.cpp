#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

namespace {

// Number of pre-vote attempts in one election timeout.
constexpr int pre_votes_per_election_timeout = 4;

} // namespace

// Only a member listed as a voter with this folder id may campaign. Learners, removed members and members
// whose data folder was replaced may not. A voter that is being removed may: its log may be the longest, so
// that no other member gets its vote.
bool core::can_campaign() const
{
    return next_electorate().is_voter(m_self, m_folder);
}

// A member may vote once its own log lists it as a learner, or as a voter with this folder id. A folder that
// replaced a lost one under the same member id does not match the listed folder id and never votes. While a
// change that removes the member is in progress, its vote may still be needed.
bool core::may_vote() const
{
    const member* own = find_member(m_self);
    return own != nullptr && (!own->voter || own->folder == m_folder);
}

bool core::has_recent_leader_contact(time_point now) const
{
    if (m_role == role::leader) {
        return quorum_active(now);
    }
    return now - m_last_leader_contact < m_options.election_timeout_min;
}

bool core::log_is_up_to_date(const message& input) const
{
    if (input.log_term != m_log.last_term()) {
        return input.log_term > m_log.last_term();
    }
    return input.index >= m_log.last();
}

// Called when the next attempt begins, so the replies to the last one have had their time.
void core::record_failed_election()
{
    if (m_role != role::pre_candidate && m_role != role::candidate) {
        return;
    }
    const bool pre_vote = m_role == role::pre_candidate;
    failed_election failed{pre_vote, m_hard_state.term + (pre_vote ? 1 : 0), {}, {}, {}, {}};
    for (const member& voter : voters().voters()) {
        const auto vote = m_votes.find(voter.id);
        if (m_lost_before_election.contains({voter.id, voter.folder})) {
            failed.lost.push_back(voter.id);
        } else if (vote == m_votes.end()) {
            failed.unanswered.push_back(voter.id);
        } else {
            (vote->second ? failed.granted : failed.denied).push_back(voter.id);
        }
    }
    m_failed_election = std::move(failed);
}

void core::start_pre_vote(time_point now)
{
    record_failed_election();
    m_role = role::pre_candidate;
    m_leader = 0;
    m_lost_before_election = m_lost_folders;
    m_votes = {{m_self, true}};
    reset_election_timer(now);
    // A pre-vote changes no state, so it is repeated early: members that restarted together refuse pre-votes
    // until slightly different times.
    m_election_deadline = now + (m_election_deadline - now) / pre_votes_per_election_timeout;
    if (votes_suffice()) {
        start_election(now);
        return;
    }
    request_votes(message_kind::pre_vote_request, m_hard_state.term + 1);
}

void core::start_election(time_point now)
{
    m_role = role::candidate;
    m_leader = 0;
    m_lost_before_election = m_lost_folders;
    m_hard_state = {m_hard_state.term + 1, m_self};
    m_votes = {{m_self, true}};
    reset_election_timer(now);
    if (votes_suffice()) {
        become_leader(now);
        return;
    }
    request_votes(message_kind::vote_request, m_hard_state.term);
}

void core::request_votes(message_kind kind, term_number term)
{
    for (const member& peer : voters().voters()) {
        if (peer.id != m_self) {
            send({.kind = kind,
                  .to = peer.id,
                  .term = term,
                  .index = m_log.last(),
                  .log_term = m_log.last_term()});
        }
    }
}

void core::on_vote_request(const message& input, time_point now)
{
    const bool pre_vote = input.kind == message_kind::pre_vote_request;
    bool granted = may_vote() && log_is_up_to_date(input);
    if (pre_vote) {
        granted = granted && input.term > m_hard_state.term && !has_recent_leader_contact(now);
    } else {
        granted = granted && (m_hard_state.vote == 0 || m_hard_state.vote == input.from);
    }
    if (granted && !pre_vote) {
        m_hard_state.vote = input.from;
        reset_election_timer(now);
    }
    send({.kind = pre_vote ? message_kind::pre_vote_reply : message_kind::vote_reply,
          .to = input.from,
          .term = granted ? input.term : m_hard_state.term,
          .reject = !granted});
}

bool core::votes_suffice() const
{
    return voters().decides([this](const member& voter) {
        const auto vote = m_votes.find(voter.id);
        return vote != m_votes.end() && vote->second;
    });
}

void core::on_vote_reply(const message& input, time_point now)
{
    const bool pre_vote = input.kind == message_kind::pre_vote_reply;
    const raft::role expected_role = pre_vote ? role::pre_candidate : role::candidate;
    const term_number requested_term = pre_vote ? m_hard_state.term + 1 : m_hard_state.term;
    if (m_role != expected_role || (!input.reject && input.term != requested_term) ||
        !voters().is_voter(input.from, input.folder)) {
        return;
    }
    m_votes[input.from] = !input.reject;
    if (!votes_suffice()) {
        return;
    }
    if (pre_vote) {
        start_election(now);
    } else {
        become_leader(now);
    }
}

void core::become_leader(time_point now)
{
    m_role = role::leader;
    m_leader = m_self;
    m_leader_since = now;
    m_votes.clear();
    m_peers.clear();
    m_heartbeat_rounds.clear();
    m_transfer_target = 0;
    m_uncommitted_bytes = 0;
    for (log_index i = m_commit + 1; i <= m_log.last(); ++i) {
        m_uncommitted_bytes += cost(m_log.at(i));
    }
    sync_progress();
    m_term_start_index = m_log.last() + 1;
    // Entries of earlier terms commit only together with an entry of the current term.
    append_new_entry(entry_kind::no_op, {});
    start_heartbeat_round(now);
}

} // namespace verbena::raft
