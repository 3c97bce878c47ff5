#include "policy/answer_times.h"

#include <algorithm>

namespace verbena::policy {

namespace {

constexpr milliseconds period{30'000};

} // namespace

answer_times::periods answer_times::at(const periods& value, time_point now)
{
    if (now - value.begin < period) {
        return value;
    }
    const bool adjoins = now - value.begin < 2 * period;
    return {adjoins ? value.begin + period : now, milliseconds::zero(),
            adjoins ? value.current : milliseconds::zero()};
}

void answer_times::record(const std::string& route, milliseconds time, time_point now)
{
    const std::lock_guard lock(m_mutex);
    periods& value = m_routes[route];
    value = at(value, now);
    value.current = std::max(value.current, time);
}

milliseconds answer_times::longest(const std::string& route, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return milliseconds::zero();
    }
    const periods value = at(found->second, now);
    return std::max(value.current, value.previous);
}

} // namespace verbena::policy
