#include "policy/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace verbena::policy {

namespace {

constexpr auto window_length = static_cast<std::int64_t>(retry_budget::window_seconds);

std::int64_t second_of(time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
}

std::size_t bucket_of(std::int64_t second)
{
    return static_cast<std::size_t>(((second % window_length) + window_length) % window_length);
}

} // namespace

retry_budget::retry_budget(const retry_budget_options& options) : m_options(options) {}

retry_budget::window& retry_budget::advance(name_map<window>& table, std::string_view name,
                                            std::int64_t second)
{
    auto found = table.find(name);
    if (found == table.end()) {
        found = table.emplace(std::string(name), window{}).first;
        found->second.second = second;
    }
    window& value = found->second;
    const auto steps = std::min(second - value.second, window_length);
    for (std::int64_t i = 0; i < steps; ++i) {
        const auto bucket = bucket_of(second - i);
        value.requests[bucket] = 0;
        value.retries[bucket] = 0;
    }
    value.second = std::max(value.second, second);
    return value;
}

bool retry_budget::allows(const window& value, retry_cause cause) const
{
    const auto requests = std::accumulate(value.requests.begin(), value.requests.end(), std::uint64_t{0});
    const auto retries = std::accumulate(value.retries.begin(), value.retries.end(), std::uint64_t{0});
    const auto share = static_cast<std::uint64_t>(m_options.share * static_cast<double>(requests));
    const auto limit = std::max<std::uint64_t>(share, m_options.min_retries);
    return retries < (cause == retry_cause::silent ? limit / 2 : limit);
}

void retry_budget::prune(std::int64_t second)
{
    if (second - m_last_prune < window_length) {
        return;
    }
    m_last_prune = second;
    const auto idle = [second](const auto& item) { return second - item.second.second >= window_length; };
    std::erase_if(m_teams, idle);
    std::erase_if(m_services, idle);
}

void retry_budget::record_request(std::string_view team, std::string_view service, time_point now)
{
    const auto second = second_of(now);
    prune(second);
    for (auto* value : {&advance(m_teams, team, second), &advance(m_services, service, second)}) {
        ++value->requests[bucket_of(value->second)];
    }
}

bool retry_budget::try_retry(std::string_view team, std::string_view service, time_point now,
                             retry_cause cause)
{
    const auto second = second_of(now);
    window& by_team = advance(m_teams, team, second);
    window& by_service = advance(m_services, service, second);
    if (!allows(by_team, cause) || !allows(by_service, cause)) {
        return false;
    }
    ++by_team.retries[bucket_of(by_team.second)];
    ++by_service.retries[bucket_of(by_service.second)];
    return true;
}

void retry_budget::record_retry(std::string_view team, std::string_view service, time_point now)
{
    const auto second = second_of(now);
    for (auto* value : {&advance(m_teams, team, second), &advance(m_services, service, second)}) {
        ++value->retries[bucket_of(value->second)];
    }
}

retry_budget::counts retry_budget::service_counts(std::string_view service, time_point now)
{
    const window& value = advance(m_services, service, second_of(now));
    return {std::accumulate(value.requests.begin(), value.requests.end(), std::uint32_t{0}),
            std::accumulate(value.retries.begin(), value.retries.end(), std::uint32_t{0})};
}

} // namespace verbena::policy
