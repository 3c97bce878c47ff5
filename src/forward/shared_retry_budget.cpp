#include "forward/shared_retry_budget.h"

#include <algorithm>

namespace verbena::forward {

namespace {

// The budget counts in windows of fixed length. If the window in the settings is longer, it spans several of
// them, and the slack is divided between them. Returns the part of one entry.
double slack_of(const settings::entry_settingsT& settings, std::size_t entries)
{
    constexpr milliseconds budget_window = std::chrono::seconds(policy::retry_budget::window_seconds);
    const double windows = std::max(1.0, static_cast<double>(settings.retry_window) / budget_window.count());
    return settings.retry_slack / windows / static_cast<double>(std::max<std::size_t>(entries, 1));
}

policy::retry_budget_options retry_options(const settings::entry_settingsT& settings, std::size_t entries,
                                           double fraction)
{
    policy::retry_budget_options options;
    options.share = settings.retry_ratio / 1000.0 * fraction;
    options.min_retries = static_cast<std::uint32_t>(slack_of(settings, entries) * fraction);
    return options;
}

} // namespace

policy::retry_budget_options entry_retry_options(const settings::entry_settingsT& settings,
                                                 std::size_t entries)
{
    return retry_options(settings, entries, shared_limit_fraction);
}

policy::retry_budget_options own_retry_options(const settings::entry_settingsT& settings, std::size_t entries)
{
    return retry_options(settings, entries, own_fraction);
}

policy::retry_grant_options scheduler_retry_options(const settings::entry_settingsT& settings,
                                                    std::size_t entries)
{
    return {settings.retry_ratio / 1000.0 * granted_fraction, slack_of(settings, entries) * granted_fraction};
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

void shared_retry_budget::record_retry(const std::string& service, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_budget.record_retry("", service, now);
}

policy::retry_statement shared_retry_budget::statement(const std::string& service, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const policy::retry_budget::counts counts = m_budget.service_counts(service, now);
    return {counts.requests, counts.retries};
}

} // namespace verbena::forward
