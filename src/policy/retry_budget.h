#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <array>
#include <string_view>

namespace verbena::policy {

struct retry_budget_options {
    double share = 0.1;      // retries per first attempt
    std::uint32_t least = 3; // retries that are always allowed per window
};

// Bounds retries to a share of the requests of the last 10 s, per team and per service, so that retries
// cannot multiply an overload. The state is bounded by the teams and services that were active in the last
// window.
class retry_budget {
public:
    static constexpr std::size_t window_seconds = 10;

    explicit retry_budget(const retry_budget_options& options = {});

    // Changes what is allowed from now on; what has been counted stays.
    void set_options(const retry_budget_options& options) { m_options = options; }

    // Counts a first attempt.
    void record_request(std::string_view team, std::string_view service, time_point now);

    // True, and counted, when the budgets of the team and of the service both allow one more retry.
    bool try_retry(std::string_view team, std::string_view service, time_point now);

    std::size_t tracked() const { return m_teams.size() + m_services.size(); }

private:
    // Requests and retries of the last window in buckets of one second.
    struct window {
        std::array<std::uint32_t, window_seconds> requests{};
        std::array<std::uint32_t, window_seconds> retries{};
        std::int64_t second = 0; // newest second that the buckets cover
    };

    window& advance(name_map<window>& table, std::string_view name, std::int64_t second);
    bool allows(const window& value) const;
    void prune(std::int64_t second);

    retry_budget_options m_options;
    std::int64_t m_pruned = 0;
    name_map<window> m_teams;
    name_map<window> m_services;
};

} // namespace verbena::policy
