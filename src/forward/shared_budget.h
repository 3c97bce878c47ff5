#pragma once

#include "policy/retry_budget.h"
#include "settings_generated.h"

#include <mutex>
#include <string>

namespace verbena::forward {

// Share of what all entries may do together that they use; the rest covers what they count differently.
inline constexpr double common_share = 0.8;

// What one of `entries` entries may spend of the retries that the settings allow all of them together.
policy::retry_budget_options entry_budget(const settings::entry_settingsT& settings, std::size_t entries);

// Retries of all requests of an entry, within its share of what all entries may spend. Thread-safe.
class shared_budget {
public:
    explicit shared_budget(const policy::retry_budget_options& options) : m_budget(options) {}

    void set_options(const policy::retry_budget_options& options);
    void record_request(const std::string& service, time_point now);
    bool try_retry(const std::string& service, time_point now);

private:
    std::mutex m_mutex;
    policy::retry_budget m_budget;
};

} // namespace verbena::forward
