#pragma once

#include "policy/retry_grants.h"
#include "settings_generated.h"

#include <mutex>
#include <string>

namespace verbena::forward {

// Fraction of a limit shared by all entries that they actually use; the rest absorbs differences between
// their counts.
inline constexpr double shared_limit_fraction = 0.8;

// Retry options of one of `entries` entries: its part of the retries that the settings allow all of them
// together.
policy::retry_budget_options entry_retry_options(const settings::entry_settingsT& settings,
                                                 std::size_t entries);

// Parts of the retries allowed in services whose repeated attempts the schedulers grant: of all schedulers
// together, and of all entries together for what no scheduler decides.
inline constexpr double granted_fraction = 0.6;
inline constexpr double own_fraction = shared_limit_fraction - granted_fraction;

// The part of one of `entries` entries, and the options of a scheduler.
policy::retry_budget_options own_retry_options(const settings::entry_settingsT& settings,
                                               std::size_t entries);
policy::retry_grant_options scheduler_retry_options(const settings::entry_settingsT& settings,
                                                    std::size_t entries);

// Retry budget for all requests of one entry, limited to the entry's part of the total. Thread-safe.
class shared_retry_budget {
public:
    explicit shared_retry_budget(const policy::retry_budget_options& options) : m_budget(options) {}

    void set_options(const policy::retry_budget_options& options);
    void record_request(const std::string& service, time_point now);
    bool try_retry(const std::string& service, time_point now, policy::retry_cause cause);

    // Counts a retry that a scheduler has granted.
    void record_retry(const std::string& service, time_point now);

    // What this entry has sent to the service in the last window.
    policy::retry_statement statement(const std::string& service, time_point now);

private:
    std::mutex m_mutex;
    policy::retry_budget m_budget;
};

} // namespace verbena::forward
