#include "forward/answer_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace verbena::forward {

answer_memory::account::account(answer_memory& memory, std::function<void()> on_give_up)
    : m_memory(memory), m_on_give_up(std::move(on_give_up))
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
            account* largest =
                *std::max_element(m_memory.m_accounts.begin(), m_memory.m_accounts.end(),
                                  [](const account* a, const account* b) { return a->m_bytes < b->m_bytes; });
            largest->m_given_up = true;
            m_memory.m_held -= largest->m_bytes;
            m_memory.m_accounts.erase(largest);
            given_up.push_back(std::move(largest->m_on_give_up));
        }
    }
    for (const std::function<void()>& give_up : given_up) {
        give_up();
    }
}

bool answer_memory::account::given_up() const
{
    const std::lock_guard lock(m_memory.m_mutex);
    return m_given_up;
}

std::size_t answer_memory::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

} // namespace verbena::forward
