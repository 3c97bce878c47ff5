#pragma once

#include "base/types.h"

#include <deque>
#include <optional>

namespace verbena::policy {

// Reason for resetting the limit of dispatched requests to the cold limit.
enum class cold_cause : std::uint8_t { none, new_incarnation, reported_cold, slow_service };

const char* to_string(cold_cause cause);

struct cold_limit_options {
    std::uint32_t cold = 1;
    std::uint32_t warm = 64;
    double slow_factor = 4.0;      // multiple of the warm service time per unit of work that counts as cold
    std::size_t warm_samples = 64; // newest requests at the warm limit; their median is the warm value
    std::size_t recent = 3; // newest requests whose median is compared, so that one outlier has no effect
};

// Limits the concurrently dispatched requests at one endpoint. The limit drops to the cold value as soon as
// the engine is found to be cold, and doubles after as many successes as the current limit.
class cold_limit {
public:
    explicit cold_limit(const cold_limit_options& options = {});

    std::uint32_t limit() const { return m_limit; }
    bool cold() const { return m_limit < m_options.warm; }
    bool allows(std::size_t dispatched) const { return dispatched < m_limit; }

    // Reports the engine's incarnation. The limit starts at the cold value and is reset to it at each change.
    cold_cause observe_incarnation(incarnation engine);

    // Reports whether the engine says that it is cold. The limit is not raised while it does.
    cold_cause observe_report(bool cold);

    // Reports a finished request: its service time and its cost by work_units().
    cold_cause record_success(clock::duration service_time, double work);

    // Median service time per unit of work at the warm limit; nullopt until there are enough samples.
    std::optional<double> warm_seconds_per_unit() const;

private:
    void reset_to_cold();
    void record_sample(double seconds_per_unit);
    bool too_slow() const;

    cold_limit_options m_options;
    std::uint32_t m_limit;
    std::uint32_t m_successes = 0;
    bool m_reported_cold = false;
    std::optional<incarnation> m_engine;
    std::deque<double> m_warm_samples;
    std::deque<double> m_recent_samples;
};

} // namespace verbena::policy
