#include "policy/first_event_watch.h"

#include <algorithm>

namespace verbena::policy {

namespace {

constexpr std::ptrdiff_t overdue_requests = 3;
constexpr milliseconds counted_for{3'000};

// A first event is overdue after this multiple of the predicted time and an allowance for errors of short
// predictions. Both are less than those of an entry, which has one request as evidence.
constexpr int overdue_factor = 2;
constexpr milliseconds overdue_allowance{300};

} // namespace

void first_event_watch::expect(const std::string& endpoint, const work_key& key, milliseconds predicted,
                               time_point now)
{
    m_endpoints[endpoint].overdue_from[key] = now + predicted * overdue_factor + overdue_allowance;
}

void first_event_watch::begin(const std::string& endpoint, const work_key& key, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.last_begin = now;
        end(endpoint, key);
    }
}

void first_event_watch::end(const std::string& endpoint, const work_key& key)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    found->second.overdue_from.erase(key);
    if (found->second.overdue_from.empty()) {
        m_endpoints.erase(found);
    }
}

bool first_event_watch::is_silent(std::string_view endpoint, time_point now) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return false;
    }
    const endpoint_state& state = found->second;
    const auto overdue =
        std::count_if(state.overdue_from.begin(), state.overdue_from.end(), [&](const auto& item) {
            return now >= item.second && now - item.second < counted_for && state.last_begin < item.second;
        });
    return overdue >= overdue_requests;
}

} // namespace verbena::policy
