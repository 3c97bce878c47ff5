#include "forward/fleet.h"

#include <algorithm>
#include <cmath>

namespace verbena::forward {

namespace {

// Backoff after a connection was refused or timed out, doubled with each consecutive failure.
constexpr milliseconds initial_backoff{300};
constexpr milliseconds max_backoff{3'000};

// Weight of the newest answer in the moving average of the failure rate, and half-life of its decay to 0.
constexpr double failure_weight = 0.25;
constexpr double failure_half_life_s = 3;

// Weight of the newest measurement in an endpoint's slowdown, and half-life of its decay to 1.
constexpr double slowdown_weight = 0.5;
constexpr double slowdown_half_life_s = 4;
constexpr double max_slowdown = 16;

double seconds(clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

// What an endpoint has answered to this entry holds whatever other entries or control members say of it.
bool fleet::is_blocked(const endpoint_state& state, time_point now) const
{
    return state.announced_leaving || now < state.retry_after;
}

double fleet::slowdown_of(const endpoint_state& state, time_point now) const
{
    const double remaining = std::exp2(-seconds(now - state.slowdown_updated) / slowdown_half_life_s);
    return 1 + (state.slowdown - 1) * remaining;
}

double fleet::failure_rate_of(const endpoint_state& state, time_point now) const
{
    return state.failure_rate * std::exp2(-seconds(now - state.failure_rate_updated) / failure_half_life_s);
}

void fleet::record_health(const std::string& endpoint, attempt_health health, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        apply_health(found->second, health, now);
    }
}

void fleet::apply_health(endpoint_state& state, attempt_health health, time_point now)
{
    if (health == attempt_health::neutral) {
        return;
    }
    if (health == attempt_health::misdirected) {
        state.misdirected = true;
        update_superseded(state.info.address);
        return;
    }
    if (health == attempt_health::stalled) {
        record_failure(state, true, now);
    }
    if (health == attempt_health::unreachable || health == attempt_health::stalled) {
        const auto backoff = initial_backoff * (1U << std::min(state.unreachable_count, 6U));
        state.backoff_until = now + std::min<milliseconds>(backoff, max_backoff);
        ++state.unreachable_count;
        return;
    }
    state.unreachable_count = 0;
    state.backoff_until = {};
    record_failure(state, health == attempt_health::failed, now);
}

void fleet::record_failure(endpoint_state& state, bool failed, time_point now) const
{
    const double previous = failure_rate_of(state, now);
    state.failure_rate = previous + ((failed ? 1 : 0) - previous) * failure_weight;
    state.failure_rate_updated = now;
}

void fleet::record_leaving(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.announced_leaving = true;
    }
}

void fleet::record_retry_after(const std::string& endpoint, milliseconds time, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.retry_after = std::max(found->second.retry_after, now + time);
    }
}

std::set<std::string> fleet::blocked(const std::string& service, time_point now) const
{
    std::set<std::string> names;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, state] : m_endpoints) {
        if (state.info.service == service && is_blocked(state, now)) {
            names.insert(name);
        }
    }
    return names;
}

// Derives an endpoint's slowdown from the measured and the predicted time between events of an answer.
void fleet::apply_interval(endpoint_state& state, std::chrono::microseconds interval, time_point now)
{
    const auto engine = m_engines.find(state.info.service);
    if (interval <= std::chrono::microseconds::zero() || engine == m_engines.end()) {
        return;
    }
    const double predicted_ms =
        policy::engine_cost(engine->second)
            .event_interval_ms(state.load.decoding_requests(), state.load.context_tokens());
    if (predicted_ms <= 0) {
        return;
    }
    const double measured = static_cast<double>(interval.count()) / 1000 / predicted_ms;
    const double previous = slowdown_of(state, now);
    state.slowdown = previous + (std::clamp(measured, 1.0, max_slowdown) - previous) * slowdown_weight;
    state.slowdown_updated = now;
}

} // namespace verbena::forward
