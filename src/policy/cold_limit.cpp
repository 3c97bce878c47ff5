#include "policy/cold_limit.h"

#include <algorithm>
#include <vector>

namespace verbena::policy {

namespace {

// With fewer warm samples the median is too unreliable to compare against.
constexpr std::size_t min_warm_samples = 8;

double median(const std::deque<double>& values)
{
    std::vector<double> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

void push_bounded(std::deque<double>& values, double value, std::size_t bound)
{
    values.push_back(value);
    if (values.size() > bound) {
        values.pop_front();
    }
}

} // namespace

const char* to_string(cold_cause cause)
{
    switch (cause) {
    case cold_cause::none:
        return "none";
    case cold_cause::new_incarnation:
        return "new_incarnation";
    case cold_cause::reported_cold:
        return "reported_cold";
    case cold_cause::slow_service:
        return "slow_service";
    }
    return "unknown";
}

cold_limit::cold_limit(const cold_limit_options& options) : m_options(options), m_limit(0)
{
    m_options.cold = std::max(1U, m_options.cold);
    m_options.warm = std::max(m_options.cold, m_options.warm);
    m_limit = m_options.cold;
}

void cold_limit::reset_to_cold()
{
    m_limit = m_options.cold;
    m_successes = 0;
    m_recent_samples.clear();
}

cold_cause cold_limit::observe_incarnation(incarnation engine)
{
    if (m_engine == engine) {
        return cold_cause::none;
    }
    m_engine = engine;
    m_reported_cold = false;
    m_warm_samples.clear();
    reset_to_cold();
    return cold_cause::new_incarnation;
}

cold_cause cold_limit::observe_report(bool cold)
{
    const bool became_cold = cold && !m_reported_cold;
    m_reported_cold = cold;
    if (!became_cold) {
        return cold_cause::none;
    }
    reset_to_cold();
    return cold_cause::reported_cold;
}

void cold_limit::record_sample(double seconds_per_unit)
{
    push_bounded(m_recent_samples, seconds_per_unit, m_options.recent);
    if (!cold()) {
        push_bounded(m_warm_samples, seconds_per_unit, m_options.warm_samples);
        return;
    }
    if (m_reported_cold) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_limit) {
        m_limit = std::min(m_options.warm, m_limit * 2);
        m_successes = 0;
    }
}

bool cold_limit::too_slow() const
{
    const auto warm = warm_seconds_per_unit();
    return warm && m_recent_samples.size() >= m_options.recent &&
           median(m_recent_samples) > m_options.slow_factor * *warm;
}

cold_cause cold_limit::record_success(clock::duration service_time, double work)
{
    const double seconds = std::chrono::duration<double>(service_time).count();
    record_sample(seconds / std::max(1.0, work));
    if (!too_slow()) {
        return cold_cause::none;
    }
    reset_to_cold();
    return cold_cause::slow_service;
}

std::optional<double> cold_limit::warm_seconds_per_unit() const
{
    if (m_warm_samples.size() < min_warm_samples) {
        return std::nullopt;
    }
    return median(m_warm_samples);
}

} // namespace verbena::policy
