#include "forward/shared_budget.h"

#include <algorithm>

namespace verbena::forward {

policy::retry_budget_options entry_budget(const settings::entry_settingsT& settings, std::size_t entries)
{
    // The budget counts windows of its own length; a longer window of the settings spans several of them.
    constexpr milliseconds counted = std::chrono::seconds(policy::retry_budget::window_seconds);
    const double windows = std::max(1.0, static_cast<double>(settings.retry_window) / counted.count());
    const double slack = settings.retry_slack / windows;
    policy::retry_budget_options options;
    options.share = settings.retry_ratio / 1000.0 * common_share;
    options.least = static_cast<std::uint32_t>(slack * common_share /
                                               static_cast<double>(std::max<std::size_t>(entries, 1)));
    return options;
}

void shared_budget::set_options(const policy::retry_budget_options& options)
{
    const std::lock_guard lock(m_mutex);
    m_budget.set_options(options);
}

void shared_budget::record_request(const std::string& service, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_budget.record_request("", service, now);
}

bool shared_budget::try_retry(const std::string& service, time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_budget.try_retry("", service, now);
}

} // namespace verbena::forward
