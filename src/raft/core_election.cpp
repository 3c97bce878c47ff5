#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

namespace {

// Pre-votes that are asked for in the time of one election.
constexpr int pre_vote_repeats = 4;

} // namespace

// Only a voter under this folder campaigns: a learner, a removed member or a folder that lost its files does
// not.
bool core::can_campaign() const
{
    return membership().is_voter(m_self, m_folder);
}

// A member votes once its own log lists it as a learner or, under this folder, as a voter. A folder that took
// the place of a lost one under the same id is listed with another folder number and never votes.
bool core::may_grant() const
{
    const member* own = membership().find(m_self);
    return own != nullptr && (!own->voter || own->folder == m_folder);
}

bool core::hears_leader(time_point now) const
{
    if (m_role == role::leader) {
        return quorum_answers(now);
    }
    return now - m_heard_leader_at < m_options.election_timeout_min;
}

bool core::log_is_current(const message& input) const
{
    if (input.log_term != m_log.last_term()) {
        return input.log_term > m_log.last_term();
    }
    return input.index >= m_log.last();
}

void core::start_pre_vote(time_point now)
{
    m_role = role::pre_candidate;
    m_leader = 0;
    m_votes = {{m_self, true}};
    reset_election_timer(now);
    // A pre-vote changes nothing, so it is soon repeated: members that restarted together hold their votes
    // back for slightly different times.
    m_election_at = now + (m_election_at - now) / pre_vote_repeats;
    if (membership().quorum() == 1) {
        start_election(now);
        return;
    }
    request_votes(message_kind::pre_vote_request, m_vote.term + 1);
}

void core::start_election(time_point now)
{
    m_role = role::candidate;
    m_leader = 0;
    m_vote = {m_vote.term + 1, m_self};
    m_votes = {{m_self, true}};
    reset_election_timer(now);
    if (membership().quorum() == 1) {
        become_leader(now);
        return;
    }
    request_votes(message_kind::vote_request, m_vote.term);
}

void core::request_votes(message_kind kind, term_number term)
{
    for (const member& peer : membership().members) {
        if (peer.voter && peer.id != m_self) {
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
    bool granted = may_grant() && log_is_current(input);
    if (pre_vote) {
        granted = granted && input.term > m_vote.term && !hears_leader(now);
    } else {
        granted = granted && (m_vote.vote == 0 || m_vote.vote == input.from);
    }
    if (granted && !pre_vote) {
        m_vote.vote = input.from;
        reset_election_timer(now);
    }
    send({.kind = pre_vote ? message_kind::pre_vote_reply : message_kind::vote_reply,
          .to = input.from,
          .term = granted ? input.term : m_vote.term,
          .reject = !granted});
}

void core::on_vote_reply(const message& input, time_point now)
{
    const bool pre_vote = input.kind == message_kind::pre_vote_reply;
    const raft::role wanted = pre_vote ? role::pre_candidate : role::candidate;
    const term_number asked = pre_vote ? m_vote.term + 1 : m_vote.term;
    if (m_role != wanted || (!input.reject && input.term != asked) ||
        !membership().is_voter(input.from, input.folder)) {
        return;
    }
    m_votes[input.from] = !input.reject;
    const auto granted = static_cast<std::size_t>(
        std::count_if(m_votes.begin(), m_votes.end(), [](const auto& item) { return item.second; }));
    if (granted < membership().quorum()) {
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
    m_rounds.clear();
    m_transfer_to = 0;
    m_uncommitted = 0;
    for (log_index i = m_commit + 1; i <= m_log.last(); ++i) {
        m_uncommitted += cost(m_log.at(i));
    }
    sync_progress();
    m_term_start = m_log.last() + 1;
    // An entry of the own term lets the entries of earlier terms commit.
    append_own(entry_kind::no_op, {});
    start_round(now);
}

} // namespace verbena::raft
