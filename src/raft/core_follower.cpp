#include "raft/core.h"
#include "raft/encoding.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::raft {

void core::accept_leader(const message& input, time_point now)
{
    if (m_role != role::follower || m_leader != input.from) {
        become_follower(input.term, input.from, now);
    }
    m_last_leader_contact = now;
    reset_election_timer(now);
}

void core::on_append_request(const message& input, time_point now)
{
    if (m_role == role::leader) {
        set_fault("member " + std::to_string(input.from) + " also claims leadership of term " +
                  std::to_string(input.term));
        return;
    }
    accept_leader(input, now);
    // Entries up to the base are committed and therefore identical in both logs.
    if (input.index >= m_log.base() && m_log.term_at(input.index) != input.log_term) {
        reject_append(input);
        return;
    }
    accept_entries(input);
}

void core::accept_entries(const message& input)
{
    log_index last = input.index;
    for (const entry& value : input.entries) {
        if (value.index != last + 1) {
            return; // malformed message; the leader retransmits
        }
        last = value.index;
        if (value.index <= m_log.base() || m_log.term_at(value.index) == value.term) {
            continue;
        }
        if (value.index <= m_commit) {
            set_fault("the leader sent a conflicting entry for the committed index " +
                      std::to_string(value.index));
            return;
        }
        if (value.index <= m_log.last()) {
            m_log.truncate_from(value.index);
            std::erase_if(m_memberships,
                          [&](const membership_point& point) { return point.index >= value.index; });
            m_last_emitted = std::min(m_last_emitted, value.index - 1);
            m_last_saved = std::min(m_last_saved, value.index - 1);
        }
        append_to_log(value);
    }
    commit_to(std::min(input.commit, last));
    reply_match(input, std::max(last, m_commit));
}

// Replies with the newest index that may match the leader's log, so that the leader need not probe backwards
// one entry at a time.
void core::reject_append(const message& input)
{
    log_index hint = std::min(input.index, m_log.last());
    while (hint > m_log.base() && *m_log.term_at(hint) > input.log_term) {
        --hint;
    }
    hint = std::max(hint, m_log.base());
    send({.kind = message_kind::append_reply,
          .to = input.from,
          .term = m_hard_state.term,
          .index = input.index,
          .log_term = m_log.term_at(hint).value_or(0),
          .reject = true,
          .hint = hint,
          .context = input.context});
}

void core::reply_match(const message& input, log_index match)
{
    send({.kind = message_kind::append_reply,
          .to = input.from,
          .term = m_hard_state.term,
          .index = match,
          .context = input.context});
}

void core::on_snapshot_chunk(const message& input, time_point now)
{
    if (m_role == role::leader) {
        set_fault("member " + std::to_string(input.from) + " also claims leadership of term " +
                  std::to_string(input.term));
        return;
    }
    accept_leader(input, now);
    if (input.snapshot_index <= m_commit) {
        m_incoming_snapshot.reset();
        reply_match(input, m_commit);
        return;
    }
    if (input.snapshot_total > m_options.snapshot_bytes_max) {
        return;
    }
    const bool same_snapshot = m_incoming_snapshot && m_incoming_snapshot->from == input.from &&
                               m_incoming_snapshot->index == input.snapshot_index &&
                               m_incoming_snapshot->term == input.snapshot_term;
    if (!same_snapshot) {
        m_incoming_snapshot = incoming_snapshot{input.from, input.snapshot_index, input.snapshot_term, {}};
    }
    bytes& image = m_incoming_snapshot->image;
    if (input.snapshot_offset == image.size() &&
        image.size() + input.snapshot.size() <= input.snapshot_total) {
        image.insert(image.end(), input.snapshot.begin(), input.snapshot.end());
    }
    if (image.size() == input.snapshot_total) {
        finish_snapshot(input);
        return;
    }
    send({.kind = message_kind::snapshot_reply,
          .to = input.from,
          .term = m_hard_state.term,
          .hint = image.size(),
          .context = input.context,
          .snapshot_index = input.snapshot_index});
}

void core::finish_snapshot(const message& input)
{
    snapshot_image image{m_incoming_snapshot->index, m_incoming_snapshot->term,
                         std::move(m_incoming_snapshot->image)};
    m_incoming_snapshot.reset();
    byte_reader reader(image.image);
    auto members = decode_membership(reader.raw(reader.number<std::uint32_t>()));
    if (!members || XXH3_64bits(image.image.data(), image.image.size()) != input.hint) {
        return; // corrupted in transit; the transfer restarts with the next chunk
    }
    const log_index index = image.index;
    if (m_log.term_at(index) == image.term) {
        commit_to(index);
    } else {
        install(std::move(image), std::move(members.value()));
    }
    reply_match(input, index);
}

void core::install(snapshot_image image, raft::membership members)
{
    m_log.reset(image.index, image.term);
    m_memberships = {{image.index, members}};
    m_snapshot = snapshot_meta{image.index, image.term, std::move(members), image.image.size(),
                               XXH3_64bits(image.image.data(), image.image.size())};
    m_commit = m_applied = m_last_saved = m_last_emitted = image.index;
    m_snapshot_to_install = std::move(image);
}

} // namespace verbena::raft
