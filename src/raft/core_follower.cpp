#include "raft/core.h"
#include "raft/encoding.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::raft {

void core::follow(const message& input, time_point now)
{
    if (m_role != role::follower || m_leader != input.from) {
        become_follower(input.term, input.from, now);
    }
    m_heard_leader_at = now;
    reset_election_timer(now);
}

void core::on_append_request(const message& input, time_point now)
{
    if (m_role == role::leader) {
        fail("member " + std::to_string(input.from) + " leads the same term " + std::to_string(input.term));
        return;
    }
    follow(input, now);
    // What lies at or before the base is committed and therefore equal in both logs.
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
            return; // a malformed message; the leader sends again
        }
        last = value.index;
        if (value.index <= m_log.base() || m_log.term_at(value.index) == value.term) {
            continue;
        }
        if (value.index <= m_commit) {
            fail("the leader replaces the committed entry at index " + std::to_string(value.index));
            return;
        }
        if (value.index <= m_log.last()) {
            m_log.truncate_from(value.index);
            std::erase_if(m_memberships,
                          [&](const membership_point& point) { return point.index >= value.index; });
            m_handed = std::min(m_handed, value.index - 1);
            m_saved = std::min(m_saved, value.index - 1);
        }
        append_to_log(value);
    }
    commit_to(std::min(input.commit, last));
    reply_match(input, std::max(last, m_commit));
}

// Names the newest entry that may agree with the leader's log, so that it does not go back one entry a time.
void core::reject_append(const message& input)
{
    log_index hint = std::min(input.index, m_log.last());
    while (hint > m_log.base() && *m_log.term_at(hint) > input.log_term) {
        --hint;
    }
    hint = std::max(hint, m_log.base());
    send({.kind = message_kind::append_reply,
          .to = input.from,
          .term = m_vote.term,
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
          .term = m_vote.term,
          .index = match,
          .context = input.context});
}

void core::on_snapshot_chunk(const message& input, time_point now)
{
    if (m_role == role::leader) {
        fail("member " + std::to_string(input.from) + " leads the same term " + std::to_string(input.term));
        return;
    }
    follow(input, now);
    if (input.snapshot_index <= m_commit) {
        m_incoming.reset();
        reply_match(input, m_commit);
        return;
    }
    if (input.snapshot_total > m_options.snapshot_bytes_max) {
        return;
    }
    const bool known = m_incoming && m_incoming->from == input.from &&
                       m_incoming->index == input.snapshot_index && m_incoming->term == input.snapshot_term;
    if (!known) {
        m_incoming = incoming_snapshot{input.from, input.snapshot_index, input.snapshot_term, {}};
    }
    bytes& image = m_incoming->image;
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
          .term = m_vote.term,
          .hint = image.size(),
          .context = input.context,
          .snapshot_index = input.snapshot_index});
}

void core::finish_snapshot(const message& input)
{
    snapshot_image image{m_incoming->index, m_incoming->term, std::move(m_incoming->image)};
    m_incoming.reset();
    byte_reader reader(image.image);
    auto members = decode_membership(reader.raw(reader.number<std::uint32_t>()));
    if (!members || XXH3_64bits(image.image.data(), image.image.size()) != input.hint) {
        return; // damaged on the way; the leader starts again with the next chunk request
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
    m_commit = m_applied = m_saved = m_handed = image.index;
    m_install = std::move(image);
}

} // namespace verbena::raft
