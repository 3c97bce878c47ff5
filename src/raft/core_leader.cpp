#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

void core::tick_leader(time_point now)
{
    // A leader that is being removed leads until the change is complete and the others know it.
    const bool removed = m_memberships.back().index <= m_commit && !membership().is_voter(m_self, m_folder);
    if (removed || !quorum_active(now)) {
        become_follower(m_hard_state.term, 0, now);
        return;
    }
    continue_transfer(now);
    promote_caught_up(now);
    if (now >= m_next_heartbeat) {
        start_heartbeat_round(now);
    }
}

// Sends a heartbeat to every member. Replies from a quorum confirm that this member was the leader at `now`.
void core::start_heartbeat_round(time_point now)
{
    // Rounds older than the confirm limit cannot confirm anything.
    constexpr std::size_t max_rounds = 16;
    m_next_heartbeat = now + m_options.heartbeat_interval;
    m_heartbeat_rounds.push_back({++m_heartbeat_round, now});
    if (m_heartbeat_rounds.size() > max_rounds) {
        m_heartbeat_rounds.pop_front();
    }
    for (auto& [id, peer] : m_peers) {
        send_heartbeat(id, peer, now);
    }
}

// Whether the member replied within one election timeout. A member that has not replied yet counts as active
// for one election timeout after this leader was elected.
bool core::recently_active(const progress& peer, time_point now) const
{
    return now - (peer.contacted ? peer.last_contact : m_leader_since) < m_options.election_timeout_min;
}

void core::send_heartbeat(member_id to, progress& peer, time_point now)
{
    // An inactive member gets no entries and no chunks, which would only accumulate in send buffers.
    const bool inactive = !recently_active(peer, now);
    // A chunk that was not answered within two heartbeat rounds is treated as lost.
    if (peer.state == progress::phase::snapshot && !inactive &&
        m_heartbeat_round >= peer.snapshot_round + 2) {
        send_snapshot_chunk(to, peer);
    }
    if (peer.state == progress::phase::probe && !inactive) {
        peer.paused = false;
        send_append(to, peer);
        return;
    }
    const bool match_in_log = m_log.term_at(peer.match).has_value();
    const log_index previous = match_in_log ? peer.match : 0;
    send({.kind = message_kind::append_request,
          .to = to,
          .term = m_hard_state.term,
          .index = previous,
          .log_term = match_in_log ? *m_log.term_at(peer.match) : 0,
          .commit = std::min(m_commit, previous),
          .context = m_heartbeat_round});
}

void core::broadcast()
{
    for (auto& [id, peer] : m_peers) {
        send_entries(id, peer);
    }
}

// Sends entries as far as the follower's flow-control window allows.
void core::send_entries(member_id to, progress& peer)
{
    if (peer.state == progress::phase::probe && !peer.paused && peer.next <= m_log.last()) {
        send_append(to, peer);
    }
    while (peer.state == progress::phase::replicate && peer.next <= m_log.last() &&
           peer.window_bytes < m_options.inflight_bytes) {
        send_append(to, peer);
    }
}

void core::send_append(member_id to, progress& peer)
{
    const log_index previous = peer.next - 1;
    const auto previous_term = m_log.term_at(previous);
    if (!previous_term) {
        peer.become_snapshot(m_snapshot->index);
        send_snapshot_chunk(to, peer);
        return;
    }
    message output{.kind = message_kind::append_request,
                   .to = to,
                   .term = m_hard_state.term,
                   .index = previous,
                   .log_term = *previous_term,
                   .commit = m_commit,
                   .context = m_heartbeat_round};
    output.entries = m_log.slice(peer.next, m_log.last(), m_options.append_bytes);
    if (peer.state == progress::phase::probe) {
        peer.paused = true;
    } else if (!output.entries.empty()) {
        std::size_t size = 0;
        for (const entry& value : output.entries) {
            size += cost(value);
        }
        peer.sent(output.entries.back().index, size, m_heartbeat_round);
    }
    send(std::move(output));
}

// The replica fills in the chunk's bytes from storage.
void core::send_snapshot_chunk(member_id to, progress& peer)
{
    peer.snapshot_round = m_heartbeat_round;
    send({.kind = message_kind::snapshot_chunk,
          .to = to,
          .term = m_hard_state.term,
          .hint = m_snapshot->image_hash,
          .context = m_heartbeat_round,
          .snapshot_index = m_snapshot->index,
          .snapshot_term = m_snapshot->term,
          .snapshot_offset = peer.snapshot_offset,
          .snapshot_total = m_snapshot->image_size});
}

// Records a reply and returns the member's progress. Returns null for a reply to be dropped, such as one from
// a folder that replaced a lost one: `match` refers to entries that were durable in the lost folder.
progress* core::record_contact(const message& input, time_point now)
{
    const auto found = m_peers.find(input.from);
    const member* listed = find_member(input.from);
    if (m_role != role::leader || found == m_peers.end() || listed == nullptr) {
        return nullptr;
    }
    progress& peer = found->second;
    if (listed->voter && listed->folder != input.folder) {
        return nullptr;
    }
    if (!listed->voter && peer.folder != input.folder) {
        peer = progress{};
        peer.folder = input.folder;
    }
    peer.contacted = true;
    peer.last_contact = now;
    peer.round = std::max(peer.round, input.context);
    return &peer;
}

void core::on_append_reply(const message& input, time_point now)
{
    progress* peer = record_contact(input, now);
    if (peer == nullptr) {
        return;
    }
    if (input.reject) {
        on_append_rejected(input, *peer);
    } else if (input.index <= m_log.last()) {
        on_append_accepted(input, *peer);
        continue_transfer(now);
        promote_caught_up(now);
    }
}

void core::on_append_accepted(const message& input, progress& peer)
{
    peer.match = std::max(peer.match, input.index);
    peer.next = std::max(peer.next, peer.match + 1);
    if (peer.state == progress::phase::probe && input.index + 1 >= peer.next) {
        peer.become_replicate();
    }
    if (peer.state == progress::phase::snapshot && m_log.term_at(peer.match)) {
        peer.become_replicate();
    }
    peer.acknowledge(peer.match);
    // The follower answered a later heartbeat round but not this message, so the message was lost.
    if (!peer.window.empty() && input.context > peer.window.front().round) {
        peer.become_replicate();
    }
    advance_commit();
    // A commit that completes the removal of this member ends its progress.
    if (const auto found = m_peers.find(input.from); found != m_peers.end()) {
        send_entries(input.from, found->second);
    }
}

void core::on_append_rejected(const message& input, progress& peer)
{
    if (peer.state == progress::phase::snapshot || input.index <= peer.match) {
        return;
    }
    if (peer.state == progress::phase::replicate) {
        peer.become_probe();
    } else if (peer.next - 1 != input.index) {
        return; // reply to an earlier probe
    }
    log_index probe_index = std::min<log_index>(input.hint, input.index - 1);
    while (probe_index > m_log.base() && m_log.term_at(probe_index).value_or(0) > input.log_term) {
        --probe_index;
    }
    peer.next = std::max(peer.match, probe_index) + 1;
    peer.paused = false;
    send_append(input.from, peer);
}

void core::on_snapshot_reply(const message& input, time_point now)
{
    progress* peer = record_contact(input, now);
    if (peer == nullptr || peer->state != progress::phase::snapshot || !m_snapshot ||
        input.snapshot_index != peer->snapshot_index || input.hint > m_snapshot->image_size) {
        return;
    }
    if (input.hint != peer->snapshot_offset) {
        peer->snapshot_offset = input.hint;
        send_snapshot_chunk(input.from, *peer);
    }
}

bool core::committed_in_term() const
{
    return m_commit >= m_term_start_index;
}

// Advances the commit index to the highest index that enough voters have synced, if that entry is of the
// current term.
void core::advance_commit()
{
    const log_index majority = voters().reached([this](const member& voter) {
        const auto peer = m_peers.find(voter.id);
        return voter.id == m_self ? m_last_saved : peer == m_peers.end() ? 0 : peer->second.match;
    });
    if (majority <= m_commit || m_log.term_at(majority) != m_hard_state.term) {
        return;
    }
    for (log_index i = m_commit + 1; i <= majority; ++i) {
        m_uncommitted_bytes -= std::min(m_uncommitted_bytes, cost(m_log.at(i)));
    }
    commit_to(majority);
    complete_membership_change();
}

bool core::quorum_active(time_point now) const
{
    return voters().decides([this, now](const member& voter) {
        const auto peer = m_peers.find(voter.id);
        return voter.id == m_self || (peer != m_peers.end() && recently_active(peer->second, now));
    });
}

std::optional<milliseconds> core::confirm_age(time_point now) const
{
    if (m_role != role::leader || m_fault || !committed_in_term()) {
        return std::nullopt;
    }
    const std::uint64_t confirmed_round = voters().reached([this](const member& voter) {
        const auto peer = m_peers.find(voter.id);
        return voter.id == m_self ? m_heartbeat_round : peer == m_peers.end() ? 0 : peer->second.round;
    });
    for (const heartbeat_round& round : m_heartbeat_rounds) {
        if (round.number == confirmed_round) {
            // Rounded up: the reported age may be too high but never too low.
            const auto age = std::chrono::ceil<milliseconds>(now - round.started_at);
            return age <= m_options.confirm_limit ? std::optional(age) : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace verbena::raft
