#include "raft/core.h"

#include <algorithm>

namespace verbena::raft {

void core::tick_leader(time_point now)
{
    if (!quorum_answers(now)) {
        become_follower(m_vote.term, 0, now);
        return;
    }
    continue_transfer(now);
    promote_caught_up(now);
    if (now >= m_heartbeat_at) {
        start_round(now);
    }
}

// A round asks every member whether it still follows this leader. The replies confirm the leader as of `now`.
void core::start_round(time_point now)
{
    // Rounds older than the confirm limit cannot confirm anything.
    constexpr std::size_t rounds_kept = 16;
    m_heartbeat_at = now + m_options.heartbeat_interval;
    m_rounds.push_back({++m_round, now});
    if (m_rounds.size() > rounds_kept) {
        m_rounds.pop_front();
    }
    for (auto& [id, peer] : m_peers) {
        send_heartbeat(id, peer, now);
    }
}

// Whether the member was heard within one election timeout; after an election it is given that time.
bool core::answers(const progress& peer, time_point now) const
{
    return now - (peer.heard ? peer.heard_at : m_leader_since) < m_options.election_timeout_min;
}

void core::send_heartbeat(member_id to, progress& peer, time_point now)
{
    // A member that does not answer gets no entries and chunks, which would only pile up on the way.
    const bool silent = !answers(peer, now);
    // A chunk that was not answered for two rounds was lost.
    if (peer.state == progress::phase::snapshot && !silent && m_round >= peer.snapshot_round + 2) {
        send_chunk(to, peer);
    }
    if (peer.state == progress::phase::probe && !silent) {
        peer.paused = false;
        send_append(to, peer);
        return;
    }
    const bool held = m_log.term_at(peer.match).has_value();
    const log_index previous = held ? peer.match : 0;
    send({.kind = message_kind::append_request,
          .to = to,
          .term = m_vote.term,
          .index = previous,
          .log_term = held ? *m_log.term_at(peer.match) : 0,
          .commit = std::min(m_commit, previous),
          .context = m_round});
}

void core::broadcast()
{
    for (auto& [id, peer] : m_peers) {
        send_entries(id, peer);
    }
}

// Sends what the follower's window allows.
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
        send_chunk(to, peer);
        return;
    }
    message output{.kind = message_kind::append_request,
                   .to = to,
                   .term = m_vote.term,
                   .index = previous,
                   .log_term = *previous_term,
                   .commit = m_commit,
                   .context = m_round};
    output.entries = m_log.slice(peer.next, m_log.last(), m_options.append_bytes);
    if (peer.state == progress::phase::probe) {
        peer.paused = true;
    } else if (!output.entries.empty()) {
        std::size_t size = 0;
        for (const entry& value : output.entries) {
            size += cost(value);
        }
        peer.sent(output.entries.back().index, size, m_round);
    }
    send(std::move(output));
}

// The driver fills in the bytes from storage.
void core::send_chunk(member_id to, progress& peer)
{
    peer.snapshot_round = m_round;
    send({.kind = message_kind::snapshot_chunk,
          .to = to,
          .term = m_vote.term,
          .hint = m_snapshot->image_hash,
          .context = m_round,
          .snapshot_index = m_snapshot->index,
          .snapshot_term = m_snapshot->term,
          .snapshot_offset = peer.snapshot_offset,
          .snapshot_total = m_snapshot->image_size});
}

// Notes that a member answered. Replies from a folder that took the place of a lost one are dropped, because
// this leader counts on what the lost one held.
progress* core::heard_from(const message& input, time_point now)
{
    const auto found = m_peers.find(input.from);
    const member* listed = membership().find(input.from);
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
    peer.heard = true;
    peer.heard_at = now;
    peer.round = std::max(peer.round, input.context);
    return &peer;
}

void core::on_append_reply(const message& input, time_point now)
{
    progress* peer = heard_from(input, now);
    if (peer == nullptr) {
        return;
    }
    if (input.reject) {
        on_rejected(input, *peer);
    } else if (input.index <= m_log.last()) {
        on_accepted(input, *peer);
        continue_transfer(now);
        promote_caught_up(now);
    }
}

void core::on_accepted(const message& input, progress& peer)
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
    // The follower answered a later round, but not this message: it was lost.
    if (!peer.window.empty() && input.context > peer.window.front().round) {
        peer.become_replicate();
    }
    advance_commit();
    send_entries(input.from, peer);
}

void core::on_rejected(const message& input, progress& peer)
{
    if (peer.state == progress::phase::snapshot || input.index <= peer.match) {
        return;
    }
    if (peer.state == progress::phase::replicate) {
        peer.become_probe();
    } else if (peer.next - 1 != input.index) {
        return; // the answer to an earlier probe
    }
    log_index back = std::min<log_index>(input.hint, input.index - 1);
    while (back > m_log.base() && m_log.term_at(back).value_or(0) > input.log_term) {
        --back;
    }
    peer.next = std::max(peer.match, back) + 1;
    peer.paused = false;
    send_append(input.from, peer);
}

void core::on_snapshot_reply(const message& input, time_point now)
{
    progress* peer = heard_from(input, now);
    if (peer == nullptr || peer->state != progress::phase::snapshot || !m_snapshot ||
        input.snapshot_index != peer->snapshot_index || input.hint > m_snapshot->image_size) {
        return;
    }
    if (input.hint != peer->snapshot_offset) {
        peer->snapshot_offset = input.hint;
        send_chunk(input.from, *peer);
    }
}

bool core::committed_in_term() const
{
    return m_commit >= m_term_start;
}

// Commits what a majority of the voters has synced, provided that it reaches into the current term.
void core::advance_commit()
{
    std::vector<log_index> matches;
    for (const member& value : membership().members) {
        if (value.voter) {
            const auto peer = m_peers.find(value.id);
            matches.push_back(value.id == m_self ? m_saved : peer == m_peers.end() ? 0 : peer->second.match);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index majority = matches[membership().quorum() - 1];
    if (majority <= m_commit || m_log.term_at(majority) != m_vote.term) {
        return;
    }
    for (log_index i = m_commit + 1; i <= majority; ++i) {
        m_uncommitted -= std::min(m_uncommitted, cost(m_log.at(i)));
    }
    commit_to(majority);
}

bool core::quorum_answers(time_point now) const
{
    std::size_t count = 0;
    for (const member& value : membership().members) {
        const auto peer = m_peers.find(value.id);
        if (!value.voter) {
            continue;
        }
        if (value.id == m_self) {
            ++count;
        } else if (peer != m_peers.end()) {
            count += answers(peer->second, now) ? 1 : 0;
        }
    }
    return count >= membership().quorum();
}

std::optional<milliseconds> core::confirm_age(time_point now) const
{
    if (m_role != role::leader || m_fault || !committed_in_term()) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> rounds;
    for (const member& value : membership().members) {
        if (value.voter) {
            const auto peer = m_peers.find(value.id);
            rounds.push_back(value.id == m_self ? m_round : peer == m_peers.end() ? 0 : peer->second.round);
        }
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    const std::uint64_t answered = rounds[membership().quorum() - 1];
    for (const round_start& start : m_rounds) {
        if (start.round == answered) {
            // Rounded up: a confirmation may look older than it is, never younger.
            const auto age = std::chrono::ceil<milliseconds>(now - start.at);
            return age <= m_options.confirm_limit ? std::optional(age) : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace verbena::raft
