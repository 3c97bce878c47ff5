#include "forward/answer_memory.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace verbena::forward {

answer_memory::account::account(answer_memory& memory, std::string endpoint, std::function<void()> on_give_up)
    : m_memory(memory), m_endpoint(std::move(endpoint)), m_on_give_up(std::move(on_give_up))
{
    const std::lock_guard lock(m_memory.m_mutex);
    m_memory.m_accounts.insert(this);
}

answer_memory::account::~account()
{
    const std::lock_guard lock(m_memory.m_mutex);
    if (m_memory.m_accounts.erase(this) != 0) {
        m_memory.m_held -= m_bytes;
    }
}

void answer_memory::account::set(std::size_t bytes)
{
    std::vector<std::function<void()>> given_up;
    {
        const std::lock_guard lock(m_memory.m_mutex);
        if (m_given_up) {
            return;
        }
        m_memory.m_held += bytes - m_bytes;
        m_bytes = bytes;
        while (m_memory.m_held > m_memory.m_limit) {
            account* found = m_memory.largest();
            found->m_given_up = true;
            m_memory.m_held -= found->m_bytes;
            m_memory.m_accounts.erase(found);
            given_up.push_back(std::move(found->m_on_give_up));
        }
    }
    for (const std::function<void()>& give_up : given_up) {
        give_up();
    }
}

// An endpoint in trouble holds many answers open, each of which may be smaller than a sound one of another.
answer_memory::account* answer_memory::largest() const
{
    std::map<std::string_view, std::size_t> by_endpoint;
    for (const account* item : m_accounts) {
        by_endpoint[item->m_endpoint] += item->m_bytes;
    }
    return *std::max_element(m_accounts.begin(), m_accounts.end(),
                             [&by_endpoint](const account* a, const account* b) {
                                 return std::pair(by_endpoint[a->m_endpoint], a->m_bytes) <
                                        std::pair(by_endpoint[b->m_endpoint], b->m_bytes);
                             });
}

bool answer_memory::account::given_up() const
{
    const std::lock_guard lock(m_memory.m_mutex);
    return m_given_up;
}

void append(std::string& body, std::string_view bytes, answer_memory::account& held)
{
    const std::size_t size = body.size() + bytes.size();
    if (size > body.capacity()) {
        const std::size_t grown = std::max(size, body.capacity() * 2);
        held.set(body.capacity() + grown);
        if (held.given_up()) {
            return;
        }
        body.reserve(grown);
        held.set(body.capacity());
    }
    body += bytes;
}

std::size_t answer_memory::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

} // namespace verbena::forward
