#include "policy/team_limits.h"

#include <algorithm>
#include <cmath>

namespace verbena::policy {

namespace {

constexpr double min_retry_seconds = 0.05;
constexpr double max_retry_seconds = 30;
constexpr auto prune_interval = std::chrono::seconds(60);

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

milliseconds retry_after(double seconds)
{
    const double bounded = std::clamp(seconds, min_retry_seconds, max_retry_seconds);
    return milliseconds(static_cast<std::int64_t>(std::ceil(bounded * 1'000)));
}

} // namespace

const char* to_string(team_verdict verdict)
{
    switch (verdict) {
    case team_verdict::admitted:
        return "admitted";
    case team_verdict::too_many_outstanding:
        return "too_many_outstanding";
    case team_verdict::too_many_tokens:
        return "too_many_tokens";
    }
    return "unknown";
}

void team_limits::set(std::string_view team, const team_limit& limit)
{
    m_limits.insert_or_assign(std::string(team), limit);
}

void team_limits::remove(std::string_view team)
{
    const auto found = m_limits.find(team);
    if (found != m_limits.end()) {
        m_limits.erase(found);
    }
}

team_limit team_limits::limit_of(std::string_view team) const
{
    const auto found = m_limits.find(team);
    return found == m_limits.end() ? m_default : found->second;
}

team_limits::team_state& team_limits::state_of(std::string_view team, const team_limit& limit, time_point now)
{
    auto found = m_states.find(team);
    if (found == m_states.end()) {
        found = m_states.emplace(std::string(team), team_state{}).first;
        found->second.tokens = limit.tokens_per_second;
        found->second.updated = now;
        found->second.released = now;
    }
    team_state& state = found->second;
    const double gained = limit.tokens_per_second * seconds_between(state.updated, now);
    state.tokens = std::min(limit.tokens_per_second, state.tokens + gained);
    state.updated = std::max(state.updated, now);
    return state;
}

void team_limits::prune(time_point now)
{
    if (now - m_last_prune < prune_interval) {
        return;
    }
    m_last_prune = now;
    std::erase_if(m_states, [this, now](const auto& item) {
        const team_state& state = item.second;
        const double rate = limit_of(item.first).tokens_per_second;
        const bool full = state.tokens + rate * seconds_between(state.updated, now) >= rate;
        return state.outstanding == 0 && full && now - state.updated >= prune_interval;
    });
}

team_decision team_limits::admit(std::string_view team, std::uint64_t tokens, time_point now)
{
    prune(now);
    const team_limit limit = limit_of(team);
    team_state& state = state_of(team, limit, now);
    if (limit.outstanding > 0 && state.outstanding >= limit.outstanding) {
        return {team_verdict::too_many_outstanding, retry_after(state.seconds_per_release)};
    }
    if (limit.tokens_per_second > 0 && state.tokens <= 0) {
        return {team_verdict::too_many_tokens, retry_after(-state.tokens / limit.tokens_per_second)};
    }
    if (limit.tokens_per_second > 0) {
        state.tokens -= static_cast<double>(tokens);
    }
    ++state.outstanding;
    return {};
}

void team_limits::release(std::string_view team, std::uint64_t unused_tokens, time_point now)
{
    const auto found = m_states.find(team);
    if (found == m_states.end() || found->second.outstanding == 0) {
        return;
    }
    const team_limit limit = limit_of(team);
    team_state& state = state_of(team, limit, now);
    --state.outstanding;
    if (limit.tokens_per_second > 0) {
        state.tokens = std::min(limit.tokens_per_second, state.tokens + static_cast<double>(unused_tokens));
    }
    const double interval = std::min(max_retry_seconds, seconds_between(state.released, now));
    state.seconds_per_release += 0.2 * (interval - state.seconds_per_release);
    state.released = now;
}

std::uint32_t team_limits::outstanding(std::string_view team) const
{
    const auto found = m_states.find(team);
    return found == m_states.end() ? 0 : found->second.outstanding;
}

} // namespace verbena::policy
