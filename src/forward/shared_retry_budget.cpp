#include "forward/shared_retry_budget.h"

#include <algorithm>

namespace verbena::forward {

policy::retry_budget_options entry_retry_options(const settings::entry_settingsT& settings,
                                                 std::size_t entries)
{
    // The budget counts in windows of fixed length. If the window in the settings is longer, it spans several
    // of them, and the slack is divided between them.
    constexpr milliseconds budget_window = std::chrono::seconds(policy::retry_budget::window_seconds);
    const double windows = std::max(1.0, static_cast<double>(settings.retry_window) / budget_window.count());
    const double slack = settings.retry_slack / windows;
    policy::retry_budget_options options;
    options.share = settings.retry_ratio / 1000.0 * shared_limit_fraction;
    options.min_retries = static_cast<std::uint32_t>(slack * shared_limit_fraction /
                                                     static_cast<double>(std::max<std::size_t>(entries, 1)));
    return options;
}

void shared_retry_budget::set_options(const policy::retry_budget_options& options)
{
    const std::lock_guard lock(m_mutex);
    m_budget.set_options(options);
}

void shared_retry_budget::record_request(const std::string& service, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_budget.record_request("", service, now);
}

bool shared_retry_budget::try_retry(const std::string& service, time_point now, policy::retry_cause cause)
{
    const std::lock_guard lock(m_mutex);
    return m_budget.try_retry("", service, now, cause);
}

} // namespace verbena::forward
