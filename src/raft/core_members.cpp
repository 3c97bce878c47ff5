#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

namespace {

error not_leader(member_id leader)
{
    const std::string known =
        leader == 0 ? "no leader is known" : "the leader is member " + std::to_string(leader);
    return make_error(error_kind::not_leader, "this member is not the leader; " + known,
                      "send the request to the leader");
}

} // namespace

result<proposal_token> core::propose(bytes data)
{
    if (m_role != role::leader || m_fault) {
        return not_leader(m_leader);
    }
    if (m_transfer_target != 0) {
        return make_error(error_kind::unavailable, "leadership is being transferred", "retry the request");
    }
    if (data.size() > m_options.entry_bytes) {
        return make_error(error_kind::too_large,
                          "a log entry of " + std::to_string(data.size()) + " bytes is too large",
                          "keep it within " + std::to_string(m_options.entry_bytes) + " bytes");
    }
    if (m_uncommitted_bytes > m_options.uncommitted_bytes) {
        return make_error(error_kind::overloaded, "too many proposals are not yet committed",
                          "retry the request later");
    }
    const proposal_token token = append_new_entry(entry_kind::command, std::move(data));
    m_proposals.push_back(token);
    return token;
}

proposal_token core::append_new_entry(entry_kind kind, bytes data)
{
    entry value{m_log.last() + 1, m_hard_state.term, kind, std::move(data)};
    const proposal_token token{value.term, value.index};
    m_uncommitted_bytes += cost(value);
    append_to_log(std::move(value));
    return token;
}

result<void> core::check_change(const membership_change& change, time_point now) const
{
    if (m_role != role::leader || m_fault) {
        return not_leader(m_leader);
    }
    if (!committed_in_term() || m_memberships.back().index > m_commit || m_transfer_target != 0) {
        return make_error(error_kind::conflict,
                          "another membership change, an election or a leadership transfer is in progress",
                          "retry the request later");
    }
    if (change.action == membership_change::kind::add) {
        return success();
    }
    if (change.id == m_self) {
        return make_error(error_kind::conflict, "the leader cannot remove itself",
                          "stop this member first, which transfers leadership, then remove it");
    }
    // Members that do not answer may be down. The active voters must be a quorum with and without the removed
    // member.
    const member* removed = membership().find(change.id);
    if (removed == nullptr || !removed->voter) {
        return success();
    }
    BOOST_OUTCOME_TRY(const raft::membership changed, apply_change(membership(), change));
    std::set<member_id> active;
    for (const member_status& line : status(now).members) {
        if (line.active) {
            active.insert(line.member.id);
        }
    }
    const electorate deciding(changed, &membership(), m_lost_before_election);
    if (!deciding.decides([&active](const member& voter) { return active.contains(voter.id); })) {
        return make_error(error_kind::conflict, "the remaining active members would not form a quorum",
                          "restart the members that are down first");
    }
    return success();
}

result<proposal_token> core::change_membership(const membership_change& change, time_point now)
{
    BOOST_OUTCOME_TRYV2(auto&&, check_change(change, now));
    BOOST_OUTCOME_TRY(const raft::membership changed, apply_change(membership(), change));
    const proposal_token token = append_new_entry(entry_kind::membership, encode(changed));
    m_proposals.push_back(token);
    return token;
}

// Updates the table of followers after a membership change. A member that is being removed still receives
// entries, as its acknowledgement may be needed.
void core::sync_progress()
{
    std::erase_if(m_peers, [this](const auto& item) { return find_member(item.first) == nullptr; });
    std::vector<member> recipients = voters().voters();
    recipients.insert(recipients.end(), membership().members.begin(), membership().members.end());
    for (const member& value : recipients) {
        if (value.id != m_self && !m_peers.contains(value.id)) {
            progress fresh;
            fresh.next = m_log.last() + 1;
            m_peers.emplace(value.id, fresh);
        }
    }
}

// Appends a committed membership once more if its voters differ from those of the one before. Members that
// have this entry know, also after a restart, that the membership before need not agree any more.
void core::complete_membership_change()
{
    if (m_memberships.size() < 2 || m_memberships.back().index > m_commit) {
        return;
    }
    const raft::membership& before = m_memberships[m_memberships.size() - 2].value;
    if (before.voter_count() > 0 && !membership().has_same_voters(before)) {
        append_new_entry(entry_kind::membership, encode(membership()));
    }
}

// Promotes a learner to voter once it holds every committed entry. The membership entry records its folder
// id, so that a folder that later replaces it under the same member id does not count as a voter.
void core::promote_caught_up(time_point now)
{
    if (!committed_in_term() || m_memberships.back().index > m_commit || m_transfer_target != 0) {
        return;
    }
    raft::membership changed = membership();
    for (member& value : changed.members) {
        const auto peer = m_peers.find(value.id);
        if (value.voter || peer == m_peers.end()) {
            continue;
        }
        const bool recently_active =
            peer->second.contacted && now - peer->second.last_contact < m_options.election_timeout_min;
        if (recently_active && peer->second.match >= m_commit && peer->second.folder != 0) {
            value.voter = true;
            value.folder = peer->second.folder;
            append_new_entry(entry_kind::membership, encode(changed));
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
        if (line.member.voter && line.active && line.member.id != m_self && line.match >= best_match) {
            best = line.member.id;
            best_match = line.match;
        }
    }
    if (best == 0) {
        return make_error(error_kind::unavailable, "no other voter is reachable",
                          "stop this member without a transfer");
    }
    m_transfer_target = best;
    m_transfer_sent = false;
    m_transfer_deadline = now + m_options.election_timeout_min;
    continue_transfer(now);
    return success();
}

void core::continue_transfer(time_point now)
{
    const auto peer = m_peers.find(m_transfer_target);
    if (m_transfer_target == 0) {
        return;
    }
    if (now >= m_transfer_deadline || peer == m_peers.end()) {
        m_transfer_target = 0;
        return;
    }
    if (!m_transfer_sent && peer->second.match == m_log.last()) {
        m_transfer_sent = true;
        send({.kind = message_kind::transfer, .to = m_transfer_target, .term = m_hard_state.term});
    }
}

} // namespace verbena::raft
