#include "policy/memory_account.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace verbena::policy {

namespace {

// Makes results independent of the iteration order of the hash table.
void sort_attempts(std::vector<attempt_id>& attempts)
{
    std::sort(attempts.begin(), attempts.end(), [](const attempt_id& left, const attempt_id& right) {
        return std::tie(left.request.high, left.request.low, left.number) <
               std::tie(right.request.high, right.request.low, right.number);
    });
}

} // namespace

memory_account::memory_account(std::uint64_t capacity_tokens, double protected_share)
    : m_protected_share(std::clamp(protected_share, 0.0, 1.0))
{
    set_capacity(capacity_tokens);
}

void memory_account::set_capacity(std::uint64_t capacity_tokens)
{
    m_capacity = capacity_tokens;
    const double usable = (1.0 - m_protected_share) * static_cast<double>(capacity_tokens);
    m_long_capacity = std::min(m_capacity, static_cast<std::uint64_t>(usable));
}

bool memory_account::fits(std::uint64_t tokens, length_class length, std::uint64_t held) const
{
    const std::uint64_t available = free();
    const std::uint64_t reserve = short_reserve();
    std::uint64_t kept_free = held;
    if (length == length_class::short_prompt) {
        kept_free = m_short_used + tokens <= reserve ? 0 : held;
    } else if (!m_reservations.empty()) {
        kept_free += reserve > m_short_used ? reserve - m_short_used : 0;
    }
    if (kept_free > available || tokens > available - kept_free) {
        return false;
    }
    if (length != length_class::long_prompt) {
        return true;
    }
    return m_long_used <= m_long_capacity && tokens <= m_long_capacity - m_long_used;
}

bool memory_account::can_ever_fit(std::uint64_t tokens, length_class length) const
{
    return tokens <= (length == length_class::long_prompt ? m_long_capacity : m_capacity);
}

bool memory_account::reserve(const attempt_id& attempt, std::uint64_t tokens, length_class length,
                             incarnation owner)
{
    if (!fits(tokens, length) ||
        !m_reservations.try_emplace(attempt, reservation{tokens, length, owner}).second) {
        return false;
    }
    m_used += tokens;
    if (length == length_class::long_prompt) {
        m_long_used += tokens;
    } else if (length == length_class::short_prompt) {
        m_short_used += tokens;
    }
    return true;
}

bool memory_account::release(const attempt_id& attempt)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end()) {
        return false;
    }
    m_used -= found->second.tokens;
    if (found->second.length == length_class::long_prompt) {
        m_long_used -= found->second.tokens;
    } else if (found->second.length == length_class::short_prompt) {
        m_short_used -= found->second.tokens;
    }
    m_reservations.erase(found);
    return true;
}

std::vector<attempt_id> memory_account::clear()
{
    std::vector<attempt_id> dropped;
    dropped.reserve(m_reservations.size());
    for (const auto& [attempt, value] : m_reservations) {
        dropped.push_back(attempt);
    }
    sort_attempts(dropped);
    m_reservations.clear();
    m_used = 0;
    m_long_used = 0;
    m_short_used = 0;
    m_unaccounted = 0;
    return dropped;
}

std::vector<attempt_id> memory_account::owned_by(incarnation owner) const
{
    std::vector<attempt_id> attempts;
    for (const auto& [attempt, value] : m_reservations) {
        if (value.owner == owner) {
            attempts.push_back(attempt);
        }
    }
    sort_attempts(attempts);
    return attempts;
}

std::uint32_t memory_account::largest_prompt(std::uint32_t max_tokens) const
{
    constexpr std::uint64_t max_prompt = std::numeric_limits<std::uint32_t>::max();
    const std::uint64_t long_limit = m_long_capacity > max_tokens ? m_long_capacity - max_tokens : 0;
    if (long_limit > medium_prompt_limit) {
        return static_cast<std::uint32_t>(std::min(long_limit, max_prompt));
    }
    const std::uint64_t other_limit = m_capacity > max_tokens ? m_capacity - max_tokens : 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(other_limit, medium_prompt_limit));
}

} // namespace verbena::policy
