#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

namespace {

error not_leader(member_id leader)
{
    const std::string known =
        leader == 0 ? "no leader is known" : "the leader is member " + std::to_string(leader);
    return make_error(error_kind::not_leader, "this member does not lead; " + known,
                      "send the call to the leader");
}

} // namespace

result<proposal_token> core::propose(bytes data)
{
    if (m_role != role::leader || m_fault) {
        return not_leader(m_leader);
    }
    if (m_transfer_to != 0) {
        return make_error(error_kind::unavailable, "leadership is being transferred", "send the call again");
    }
    if (data.size() > m_options.entry_bytes) {
        return make_error(error_kind::too_large,
                          "a log entry of " + std::to_string(data.size()) + " bytes is too large",
                          "keep it within " + std::to_string(m_options.entry_bytes) + " bytes");
    }
    if (m_uncommitted > m_options.uncommitted_bytes) {
        return make_error(error_kind::overloaded, "too many changes wait for a quorum",
                          "send the call again later");
    }
    const proposal_token token = append_own(entry_kind::command, std::move(data));
    m_proposals.push_back(token);
    return token;
}

proposal_token core::append_own(entry_kind kind, bytes data)
{
    entry value{m_log.last() + 1, m_vote.term, kind, std::move(data)};
    const proposal_token token{value.term, value.index};
    m_uncommitted += cost(value);
    append_to_log(std::move(value));
    return token;
}

result<void> core::check_change(const membership_change& change, time_point now) const
{
    if (m_role != role::leader || m_fault) {
        return not_leader(m_leader);
    }
    if (!committed_in_term() || m_memberships.back().index > m_commit || m_transfer_to != 0) {
        return make_error(error_kind::conflict, "another membership change is in progress",
                          "send the call again later");
    }
    if (change.action == membership_change::kind::add) {
        return success();
    }
    if (change.id == m_self) {
        return make_error(error_kind::conflict, "the leader cannot remove itself",
                          "stop this member first, which hands over leadership, then remove it");
    }
    // Members that do not answer may be down; the rest must be able to go on without the removed one.
    const member* removed = membership().find(change.id);
    if (removed == nullptr || !removed->voter) {
        return success();
    }
    const core_status now_status = status(now);
    const auto answering = static_cast<std::size_t>(
        std::count_if(now_status.members.begin(), now_status.members.end(), [&](const member_status& line) {
            return line.member.voter && line.answering && line.member.id != change.id;
        }));
    if (answering < (membership().voter_count() - 1) / 2 + 1) {
        return make_error(error_kind::conflict, "the remaining members that answer would be no quorum",
                          "bring other members back first");
    }
    return success();
}

result<proposal_token> core::change_membership(const membership_change& change, time_point now)
{
    BOOST_OUTCOME_TRYV2(auto&&, check_change(change, now));
    BOOST_OUTCOME_TRY(const raft::membership changed, apply_change(membership(), change));
    const proposal_token token = append_own(entry_kind::membership, encode(changed));
    m_proposals.push_back(token);
    return token;
}

// Brings the table of followers in line with the membership.
void core::sync_progress()
{
    std::erase_if(m_peers, [this](const auto& item) { return membership().find(item.first) == nullptr; });
    for (const member& value : membership().members) {
        if (value.id != m_self && !m_peers.contains(value.id)) {
            progress fresh;
            fresh.next = m_log.last() + 1;
            m_peers.emplace(value.id, fresh);
        }
    }
}

// A learner becomes a voter once it holds every committed entry. The entry names its folder, so that a folder
// that later takes its place under the same id does not count.
void core::promote_caught_up(time_point now)
{
    if (!committed_in_term() || m_memberships.back().index > m_commit || m_transfer_to != 0) {
        return;
    }
    raft::membership changed = membership();
    for (member& value : changed.members) {
        const auto peer = m_peers.find(value.id);
        if (value.voter || peer == m_peers.end()) {
            continue;
        }
        const bool answers =
            peer->second.heard && now - peer->second.heard_at < m_options.election_timeout_min;
        if (answers && peer->second.match >= m_commit && peer->second.folder != 0) {
            value.voter = true;
            value.folder = peer->second.folder;
            append_own(entry_kind::membership, encode(changed));
            return;
        }
    }
}

result<void> core::transfer_leadership(time_point now)
{
    if (m_role != role::leader || m_fault) {
        return not_leader(m_leader);
    }
    member_id best = 0;
    log_index best_match = 0;
    for (const member_status& line : status(now).members) {
        if (line.member.voter && line.answering && line.member.id != m_self && line.match >= best_match) {
            best = line.member.id;
            best_match = line.match;
        }
    }
    if (best == 0) {
        return make_error(error_kind::unavailable, "no other voter answers",
                          "stop this member without a transfer");
    }
    m_transfer_to = best;
    m_transfer_sent = false;
    m_transfer_until = now + m_options.election_timeout_min;
    continue_transfer(now);
    return success();
}

void core::continue_transfer(time_point now)
{
    const auto peer = m_peers.find(m_transfer_to);
    if (m_transfer_to == 0) {
        return;
    }
    if (now >= m_transfer_until || peer == m_peers.end()) {
        m_transfer_to = 0;
        return;
    }
    if (!m_transfer_sent && peer->second.match == m_log.last()) {
        m_transfer_sent = true;
        send({.kind = message_kind::transfer, .to = m_transfer_to, .term = m_vote.term});
    }
}

} // namespace verbena::raft
