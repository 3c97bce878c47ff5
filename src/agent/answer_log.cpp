#include "agent/answer_log.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::agent {

answer_log::~answer_log()
{
    if (m_held_bytes) {
        *m_held_bytes -= m_bytes.size();
    }
}

void answer_log::signal()
{
    m_changed.try_send(net::error_code());
}

void answer_log::set_head(unsigned status, std::string content_type)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_has_head) {
            return;
        }
        m_has_head = true;
        m_status = status;
        m_content_type = std::move(content_type);
    }
    signal();
}

void answer_log::append(std::string_view bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        m_bytes.append(bytes);
        if (m_held_bytes) {
            *m_held_bytes += bytes.size();
        }
    }
    signal();
}

void answer_log::finish(std::uint32_t tokens)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != state::open) {
            return;
        }
        m_state = state::done;
        m_tokens = tokens;
        m_hash = XXH3_64bits(m_bytes.data(), m_bytes.size());
    }
    signal();
}

void answer_log::fail(attempt_outcome outcome, std::string message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != state::open) {
            return;
        }
        m_state = state::failed;
        m_outcome = outcome;
        m_message = std::move(message);
    }
    signal();
}

void answer_log::refuse(wire::refusal reason, std::string message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != state::open) {
            return;
        }
        m_reason = reason;
    }
    fail(attempt_outcome::not_run, std::move(message));
}

answer_log::slice answer_log::read(std::uint64_t offset, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    slice view;
    view.current_state = m_state;
    view.has_head = m_has_head;
    view.status = m_status;
    view.content_type = m_content_type;
    view.total = m_bytes.size();
    view.hash = m_hash;
    view.tokens = m_tokens;
    view.outcome = m_outcome;
    view.reason = m_reason;
    view.message = m_message;
    if (offset < m_bytes.size()) {
        view.bytes = m_bytes.substr(offset, limit);
    }
    return view;
}

net::task<void> answer_log::wait_changed()
{
    co_await m_changed.async_receive(net::no_throw);
}

std::size_t answer_log::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes.size();
}

bool answer_log::is_open() const
{
    const std::lock_guard lock(m_mutex);
    return m_state == state::open;
}

} // namespace verbena::agent
