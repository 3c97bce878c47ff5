#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

core::core(start_state start, const options& settings, random_engine random, time_point now)
    : m_options(settings), m_random(random), m_self(start.self), m_folder(start.folder),
      m_hard_state(start.term_and_vote), m_snapshot(std::move(start.snapshot)),
      m_emitted_hard_state(start.term_and_vote)
{
    m_memberships.push_back({});
    if (m_snapshot) {
        m_log.reset(m_snapshot->index, m_snapshot->term);
        m_memberships.front() = {m_snapshot->index, m_snapshot->membership};
        m_commit = m_applied = m_snapshot->index;
    }
    for (entry& value : start.entries) {
        append_to_log(std::move(value));
    }
    m_last_saved = m_last_emitted = m_log.last();
    // The member may have answered a leader just before the restart, so it refuses pre-votes for one minimum
    // election timeout as if it had.
    m_last_leader_contact = now;
    // The first election timer is drawn from the lower third of its range, but is never shorter than that
    // minimum: if all members restart together, there is no leader to wait for, and if one member restarts
    // alone, pre-votes keep it from disturbing the leader.
    reset_election_timer(now);
    m_election_deadline = now + m_options.election_timeout_min +
                          (m_election_deadline - now - m_options.election_timeout_min) / 3;
}

void core::step(const message& input, time_point now)
{
    if (m_fault || input.to != m_self || input.from == m_self) {
        return;
    }
    // A granted pre-vote carries the requested term, which its sender has not entered.
    const bool is_pre_vote = input.kind == message_kind::pre_vote_request ||
                             (input.kind == message_kind::pre_vote_reply && !input.reject);
    if (input.term > m_hard_state.term && !is_pre_vote) {
        const bool from_leader =
            input.kind == message_kind::append_request || input.kind == message_kind::snapshot_chunk;
        become_follower(input.term, from_leader ? input.from : 0, now);
    }
    if (input.term < m_hard_state.term) {
        reject_old_term(input);
        return;
    }
    step_current_term(input, now);
}

void core::step_current_term(const message& input, time_point now)
{
    switch (input.kind) {
    case message_kind::pre_vote_request:
    case message_kind::vote_request:
        return on_vote_request(input, now);
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
        return on_vote_reply(input, now);
    case message_kind::append_request:
        return on_append_request(input, now);
    case message_kind::append_reply:
        return on_append_reply(input, now);
    case message_kind::snapshot_chunk:
        return on_snapshot_chunk(input, now);
    case message_kind::snapshot_reply:
        return on_snapshot_reply(input, now);
    case message_kind::transfer:
        if (can_campaign()) {
            start_election(now);
        }
        return;
    }
}

// Replies to a sender of an older term with the current term, so that it steps down.
void core::reject_old_term(const message& input)
{
    message reply{.to = input.from, .term = m_hard_state.term, .reject = true};
    switch (input.kind) {
    case message_kind::pre_vote_request:
        reply.kind = message_kind::pre_vote_reply;
        break;
    case message_kind::vote_request:
        reply.kind = message_kind::vote_reply;
        break;
    case message_kind::append_request:
    case message_kind::snapshot_chunk:
        reply.kind = message_kind::append_reply;
        break;
    default:
        return;
    }
    send(std::move(reply));
}

void core::tick(time_point now)
{
    if (m_fault) {
        return;
    }
    if (m_role == role::leader) {
        tick_leader(now);
        return;
    }
    if (now < m_election_deadline) {
        return;
    }
    if (can_campaign()) {
        start_pre_vote(now);
    } else {
        m_leader = 0;
        reset_election_timer(now);
    }
}

void core::become_follower(term_number term, member_id leader, time_point now)
{
    if (m_role == role::leader) {
        report_unknown_outcomes();
        m_peers.clear();
        m_heartbeat_rounds.clear();
        m_transfer_target = 0;
    }
    if (term > m_hard_state.term) {
        m_hard_state = {term, 0};
        m_incoming_snapshot.reset();
    }
    m_role = role::follower;
    m_leader = leader;
    m_votes.clear();
    reset_election_timer(now);
}

void core::reset_election_timer(time_point now)
{
    std::uniform_int_distribution<std::int64_t> range(m_options.election_timeout_min.count(),
                                                      m_options.election_timeout_max.count());
    m_election_deadline = now + milliseconds(range(m_random));
}

// Proposals above the commit index may still be committed by the next leader, so their outcome is unknown.
void core::report_unknown_outcomes()
{
    while (!m_proposals.empty() && m_proposals.back().index > m_commit) {
        m_outcomes.push_back({m_proposals.back(), proposal_status::unknown});
        m_proposals.pop_back();
    }
}

void core::send(message output)
{
    output.from = m_self;
    output.folder = m_folder;
    m_messages.push_back(std::move(output));
}

void core::set_fault(std::string what)
{
    m_fault = make_error(error_kind::corrupt, std::move(what),
                         "stop this member, remove it and add it again under a new member id");
}

void core::track_membership(const entry& value)
{
    if (value.kind != entry_kind::membership) {
        return;
    }
    auto decoded = decode_membership(value.data);
    if (!decoded) {
        set_fault("the membership entry at index " + std::to_string(value.index) + " is malformed");
        return;
    }
    m_memberships.push_back({value.index, std::move(decoded.value())});
    if (m_role == role::leader) {
        sync_progress();
    }
}

void core::append_to_log(entry value)
{
    track_membership(value);
    m_log.append(std::move(value));
}

void core::commit_to(log_index index)
{
    m_commit = std::max(m_commit, std::min(index, m_log.last()));
    if (m_incoming_snapshot && m_incoming_snapshot->index <= m_commit) {
        m_incoming_snapshot.reset();
    }
}

bool core::has_ready() const
{
    return m_hard_state != m_emitted_hard_state || m_snapshot_to_install || m_last_emitted < m_log.last() ||
           !m_messages.empty() || m_applied < m_commit || !m_outcomes.empty();
}

ready core::take_ready()
{
    ready effects;
    if (m_role == role::leader && m_last_emitted < m_log.last()) {
        broadcast(); // once per ready instead of once per proposal, so that proposals are batched
    }
    if (m_hard_state != m_emitted_hard_state) {
        effects.term_and_vote = m_hard_state;
        m_emitted_hard_state = m_hard_state;
    }
    effects.install = std::exchange(m_snapshot_to_install, std::nullopt);
    effects.append = m_log.slice(m_last_emitted + 1, m_log.last(), SIZE_MAX);
    m_last_emitted = m_log.last();
    effects.messages = std::exchange(m_messages, {});
    effects.committed = m_log.slice(m_applied + 1, m_commit, m_options.apply_bytes);
    if (!effects.committed.empty()) {
        m_applied = effects.committed.back().index;
    }
    effects.outcomes = std::exchange(m_outcomes, {});
    while (!m_proposals.empty() && m_proposals.front().index <= m_applied) {
        effects.outcomes.push_back({m_proposals.front(), proposal_status::committed});
        m_proposals.pop_front();
    }
    return effects;
}

void core::saved()
{
    m_last_saved = m_last_emitted;
    if (m_role == role::leader) {
        advance_commit();
    }
}

bool core::snapshot_due(time_point now) const
{
    const std::size_t entry_count = m_log.size();
    const bool exceeds_bound = entry_count > m_options.snapshot_after_entries + m_options.kept_entries ||
                               m_log.byte_size() > m_options.snapshot_after_bytes;
    if (!exceeds_bound || m_applied <= m_log.base() || (m_snapshot && m_snapshot->index >= m_applied)) {
        return false;
    }
    // A newer snapshot restarts snapshot transfers in progress, so the snapshot is delayed until the log
    // exceeds twice the bound.
    const bool exceeds_twice_bound =
        entry_count > 2 * (m_options.snapshot_after_entries + m_options.kept_entries) ||
        m_log.byte_size() > 2 * m_options.snapshot_after_bytes;
    const bool transferring = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        const progress& peer = item.second;
        return peer.state == progress::phase::snapshot && peer.contacted &&
               now - peer.last_contact < m_options.election_timeout_min;
    });
    return exceeds_twice_bound || !transferring;
}

void core::compact(const snapshot_meta& meta)
{
    m_snapshot = meta;
    const log_index kept = std::min<log_index>(m_options.kept_entries, meta.index);
    log_index compact_index = meta.index - kept;
    // Entries kept for slow followers must not use more than half of the limit in bytes.
    if (m_log.byte_size() > m_options.snapshot_after_bytes / 2) {
        compact_index = meta.index;
    }
    m_log.compact_to(std::max(compact_index, m_log.base()));
    while (m_memberships.size() > 1 && m_memberships[1].index <= m_log.base()) {
        m_memberships.erase(m_memberships.begin());
    }
    for (auto& [id, peer] : m_peers) {
        if (peer.state == progress::phase::snapshot) {
            peer.become_snapshot(meta.index);
            send_snapshot_chunk(id, peer);
        }
    }
}

// The membership that has to agree beside the newest one: the one before, unless the newest one is known to
// be committed. An appended membership takes effect at once, and members that do not have it yet still decide
// with the one before.
const membership* core::previous_membership() const
{
    const bool in_progress = m_memberships.size() > 1 && m_memberships.back().index > m_commit;
    return in_progress ? &m_memberships[m_memberships.size() - 2].value : nullptr;
}

electorate core::make_electorate(const lost_folders& lost) const
{
    return {membership(), previous_membership(), lost};
}

const member* core::find_member(member_id id) const
{
    const member* found = membership().find(id);
    const raft::membership* previous = previous_membership();
    return found == nullptr && previous != nullptr ? previous->find(id) : found;
}

const membership& core::membership_at(log_index index) const
{
    auto found = std::find_if(m_memberships.rbegin(), m_memberships.rend(),
                              [index](const membership_point& point) { return point.index <= index; });
    return found == m_memberships.rend() ? m_memberships.front().value : found->value;
}

core_status core::status(time_point now) const
{
    core_status out{m_role, m_leader, m_hard_state.term, m_commit, m_log.last(), {}};
    for (const member& value : membership().members) {
        member_status current{value, 0, false};
        if (m_role == role::leader && value.id == m_self) {
            current.match = m_last_saved;
            current.active = true;
        } else if (const auto peer = m_peers.find(value.id); peer != m_peers.end()) {
            current.match = peer->second.match;
            current.active =
                peer->second.contacted && now - peer->second.last_contact < m_options.election_timeout_min;
        }
        out.members.push_back(std::move(current));
    }
    return out;
}

} // namespace verbena::raft
