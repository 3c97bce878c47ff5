#include "policy/retry_grants.h"

#include <algorithm>

namespace verbena::policy {

namespace {

constexpr std::chrono::seconds window{retry_budget::window_seconds};

// Entries connect to a new decider within a few hundred milliseconds and ask it with their next request.
constexpr milliseconds settle_time{500};

// The statements of an entry contain a granted attempt when the entry asks next after it has been sent.
constexpr milliseconds statement_delay{1'000};

constexpr std::size_t max_worths = 64;

// Fraction of the budget up to which each request that can still be answered is granted an attempt.
constexpr double unranked_silent = 0.5;
constexpr double unranked_lost = 0.75;

// Part of its value that a request keeps when its first event is late.
constexpr double late_value = 0.25;

// Predictions have errors of the order of a tenth, and of more under trouble: an attempt that may take twice
// the predicted time is sure to be in time, one that has to take less than predicted is not.
double chance(milliseconds predicted, milliseconds left)
{
    if (left <= milliseconds::zero()) {
        return 0;
    }
    const auto needed = static_cast<double>(std::max(predicted, milliseconds(1)).count());
    return std::clamp(static_cast<double>(left.count()) / needed - 1, 0.0, 1.0);
}

} // namespace

double repeat_worth(const model_request& request, milliseconds predicted, milliseconds time_left,
                    bool answer_started)
{
    const milliseconds leaves = request.disconnect_after;
    const milliseconds left = leaves > milliseconds::zero() ? std::min(leaves, time_left) : time_left;
    const double answered = chance(predicted, left);
    if (answer_started) {
        return request.value * answered;
    }
    const double in_time = std::min(chance(predicted, request.objective - request.used), answered);
    return request.value * (late_value * answered + (1 - late_value) * in_time);
}

void retry_grants::begin(time_point now)
{
    m_begun = now;
}

void retry_grants::expire(pool& value, time_point now)
{
    std::erase_if(value.entries, [now](const auto& item) { return now - item.second.heard > window; });
    while (!value.departed.empty() && now - value.departed.front().left > window) {
        value.departed.pop_front();
    }
    while (!value.grants.empty() && now - value.grants.front() > statement_delay) {
        value.grants.pop_front();
    }
    while (!value.worths.empty() &&
           (value.worths.size() > max_worths || now - value.worths.front().first > window)) {
        value.worths.pop_front();
    }
}

void retry_grants::hear(std::string_view service, incarnation entry, const retry_statement& statement,
                        time_point now)
{
    auto found = m_pools.find(service);
    if (found == m_pools.end()) {
        found = m_pools.emplace(std::string(service), pool{}).first;
    }
    found->second.entries[entry] = {statement, now};
}

void retry_grants::remove(incarnation entry, time_point now)
{
    for (auto& [service, value] : m_pools) {
        const auto found = value.entries.find(entry);
        if (found == value.entries.end()) {
            continue;
        }
        value.departed.push_back({found->second.statement.repeats, now});
        value.entries.erase(found);
    }
}

// Grants that a statement may contain already are counted twice for a short time rather than not at all.
retry_pool_state retry_grants::state_of(const pool& value, time_point now) const
{
    retry_pool_state state;
    for (const auto& [entry, heard] : value.entries) {
        if (now - heard.heard <= window) {
            state.limit += m_options.ratio * heard.statement.requests + m_options.slack;
            state.used += heard.statement.repeats;
        }
    }
    for (const departed_entry& entry : value.departed) {
        state.used += now - entry.left <= window ? entry.repeats : 0;
    }
    for (const time_point granted : value.grants) {
        state.used += now - granted <= statement_delay ? 1 : 0;
    }
    return state;
}

retry_verdict retry_grants::decide(std::string_view service, retry_cause cause, double worth, time_point now)
{
    const auto found = m_pools.find(service);
    if (found == m_pools.end() || now - m_begun < settle_time) {
        return retry_verdict::undecided;
    }
    pool& value = found->second;
    expire(value, now);
    value.worths.emplace_back(now, worth);
    const retry_pool_state state = state_of(value, now);
    if (worth <= 0 || state.used + 1 > state.limit) {
        return retry_verdict::refused;
    }
    const double unranked = cause == retry_cause::lost ? unranked_lost : unranked_silent;
    const double needed_rank = (state.used / state.limit - unranked) / (1 - unranked);
    const auto not_above = std::count_if(value.worths.begin(), value.worths.end(),
                                         [worth](const auto& asked) { return asked.second <= worth; });
    const double rank = static_cast<double>(not_above) / static_cast<double>(value.worths.size());
    if (rank < needed_rank) {
        return retry_verdict::refused;
    }
    value.grants.push_back(now);
    return retry_verdict::granted;
}

retry_pool_state retry_grants::state_of(std::string_view service, time_point now) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? retry_pool_state{} : state_of(found->second, now);
}

retry_pool_state retry_grants::state(time_point now) const
{
    retry_pool_state most;
    double least_left = 2;
    for (const auto& [service, value] : m_pools) {
        const retry_pool_state state = state_of(value, now);
        const double left = state.limit > 0 ? 1 - state.used / state.limit : 2;
        if (left < least_left) {
            least_left = left;
            most = state;
        }
    }
    return most;
}

} // namespace verbena::policy
