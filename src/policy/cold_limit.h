#pragma once

#include "base/types.h"

#include <deque>
#include <optional>

namespace verbena::policy {

// Why the limit of dispatched requests fell.
enum class cold_cause : std::uint8_t { none, new_incarnation, reported_cold, slow_service };

const char* to_string(cold_cause cause);

struct cold_limit_options {
    std::uint32_t cold = 1;
    std::uint32_t warm = 64;
    double slow_factor = 4.0;      // service time per token against the warm value that counts as cold
    std::size_t warm_samples = 64; // requests at the warm limit whose median is the warm value
    std::size_t recent = 3; // newest requests whose median is compared, so that one outlier does not count
};

// Limit of dispatched requests at one endpoint: falls immediately when the engine is cold and doubles after
// as many successes as the current limit.
class cold_limit {
public:
    explicit cold_limit(const cold_limit_options& options = {});

    std::uint32_t limit() const { return m_limit; }
    bool cold() const { return m_limit < m_options.warm; }
    bool allows(std::size_t dispatched) const { return dispatched < m_limit; }

    // Reports the engine's incarnation. The limit starts cold and falls at each change.
    cold_cause observe_incarnation(incarnation engine);

    // Reports whether the engine says it is cold. The limit does not rise while it does.
    cold_cause observe_report(bool cold);

    // Reports a finished request: its service time and its cost by work_units().
    cold_cause record_success(clock::duration service_time, double work);

    // Median service time per unit of work at the warm limit; empty before enough requests.
    std::optional<double> warm_seconds_per_unit() const;

private:
    void fall();
    void learn(double seconds_per_unit);
    bool too_slow() const;

    cold_limit_options m_options;
    std::uint32_t m_limit;
    std::uint32_t m_successes = 0;
    bool m_reported_cold = false;
    std::optional<incarnation> m_engine;
    std::deque<double> m_warm;
    std::deque<double> m_recent;
};

} // namespace verbena::policy
