#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <array>
#include <string_view>

namespace verbena::policy {

// What has become of the attempt after which a request is sent once more.
enum class retry_cause : std::uint8_t {
    lost,   // it has ended without an answer
    silent, // it may still answer
};

struct retry_budget_options {
    double share = 0.1;            // retries per first attempt, as a fraction
    std::uint32_t min_retries = 3; // retries per window that are always allowed
};

// Limits retries to a fraction of the requests of the last 10 s, per team and per service, so that retries
// cannot amplify an overload. The state is bounded by the number of teams and services active in the
// last window.
class retry_budget {
public:
    static constexpr std::size_t window_seconds = 10;

    explicit retry_budget(const retry_budget_options& options = {});

    // Changes the limits for later retries and keeps the counts.
    void set_options(const retry_budget_options& options) { m_options = options; }

    // Counts a first attempt.
    void record_request(std::string_view team, std::string_view service, time_point now);

    // Counts a retry and returns true if the budgets of both the team and the service allow it. Requests
    // whose attempt is silent may use only the first half of a budget, so that they leave some for lost
    // answers.
    bool try_retry(std::string_view team, std::string_view service, time_point now,
                   retry_cause cause = retry_cause::lost);

    // Counts a retry that another process has allowed.
    void record_retry(std::string_view team, std::string_view service, time_point now);

    // Requests and retries of the service in the last window.
    struct counts {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    counts service_counts(std::string_view service, time_point now);

    std::size_t tracked() const { return m_teams.size() + m_services.size(); }

private:
    // Requests and retries of the last window, in one-second buckets.
    struct window {
        std::array<std::uint32_t, window_seconds> requests{};
        std::array<std::uint32_t, window_seconds> retries{};
        std::int64_t second = 0; // newest second that the buckets cover
    };

    window& advance(name_map<window>& table, std::string_view name, std::int64_t second);
    bool allows(const window& value, retry_cause cause) const;
    void prune(std::int64_t second);

    retry_budget_options m_options;
    std::int64_t m_last_prune = 0;
    name_map<window> m_teams;
    name_map<window> m_services;
};

} // namespace verbena::policy
