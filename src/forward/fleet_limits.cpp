#include "base/event_log.h"
#include "forward/fleet_detail.h"

#include <algorithm>

// Limits of endpoints on the requests a second of all entries together.
namespace verbena::forward {

using namespace detail;

namespace {

// Bounds of the interval at which a request that waits for a limited endpoint tries again.
constexpr milliseconds min_permit_wait{4};
constexpr milliseconds max_permit_wait{40};

// Refused callers are told to return within this time.
constexpr milliseconds longest_return{3'000};

// Limits that are kept for endpoints that no control member has listed yet.
constexpr std::size_t max_unlisted_limits = 4'096;

double milliseconds_of(clock::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

clock::duration from_milliseconds(double value)
{
    constexpr double longest = 1e9;
    return std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double, std::milli>(std::min(value, longest)));
}

} // namespace

void fleet::set_limit_shares(const policy::limit_shares& shares)
{
    const std::lock_guard lock(m_mutex);
    m_limit_shares = shares;
}

void fleet::set_scheduling(bool scheduling, time_point now)
{
    const std::lock_guard lock(m_mutex);
    update_scheduling(scheduling, now);
}

void fleet::update_scheduling(bool scheduling, time_point now)
{
    if (scheduling && !m_scheduling) {
        m_retry_grants.begin(now);
        for (auto& [name, state] : m_endpoints) {
            if (state.limit.rate()) {
                state.limit.use_up(m_limit_shares, now);
            }
        }
    }
    m_scheduling = scheduling;
}

bool fleet::at_request_limit(endpoint_state& state, const dispatch_request& request, time_point now)
{
    if (!state.limit.rate() || state.limit.allows(m_limit_shares, request.alone, now, m_random)) {
        return false;
    }
    ++m_limit_skips;
    return true;
}

std::size_t fleet::requests_ahead(const dispatch_request& request, double interval_ms, double first_permit_ms,
                                  time_point now) const
{
    if (request.answer_started) {
        return 0;
    }
    const policy::work_key own_key = request.wait.value_or(policy::work_key{m_self, 0});
    std::vector<policy::waiting_prompt> waiting{to_waiting_prompt(request, own_key, now)};
    for (const auto& [key, other] : m_waiting) {
        if (key != own_key && other.service == request.service->name) {
            waiting.push_back(other.prompt);
        }
    }
    for (policy::waiting_prompt& prompt : waiting) {
        prompt.prefill_ms = interval_ms; // one request each, whatever its length
    }
    // The first request goes when the permit comes, not an interval later. Of equally valuable requests the
    // first stays the first: one that is overtaken by each later one would leave the permit unused.
    const std::vector<policy::work_key> order = policy::serving_order(
        std::move(waiting), 1, first_permit_ms - interval_ms, now, policy::deferred_prompt::latest_due);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), own_key) - order.begin());
}

std::optional<dispatch_result> fleet::await_permit(const dispatch_request& request,
                                                   const std::vector<endpoint_state*>& found, time_point now)
{
    const auto is_free = [](const endpoint_state* state) { return !state->limit.rate(); };
    if (std::any_of(found.begin(), found.end(), is_free)) {
        return std::nullopt;
    }
    double rate = 0;
    time_point next = time_point::max();
    for (const auto& [name, state] : m_endpoints) {
        if (!is_candidate(state, request, now) || now < state.backoff_until) {
            continue;
        }
        if (!state.limit.rate()) {
            return std::nullopt;
        }
        rate += state.limit.permitted_rate(m_limit_shares, request.alone);
        next = std::min(next, state.limit.next(request.alone));
    }
    if (rate <= 0) {
        return std::nullopt;
    }
    const double interval_ms = 1000 / rate;
    const double first_permit_ms = found.empty() ? std::max(milliseconds_of(next - now), 0.0)
                                                 : (1 - static_cast<double>(found.size())) * interval_ms;
    const std::size_t ahead = requests_ahead(request, interval_ms, first_permit_ms, now);
    if (ahead < found.size()) {
        return std::nullopt;
    }
    const double predicted_ms = first_permit_ms + static_cast<double>(ahead) * interval_ms;
    const time_point permit = now + from_milliseconds(predicted_ms);
    const milliseconds predicted = std::chrono::duration_cast<milliseconds>(permit - now);
    dispatch_result outcome;
    outcome.refusal.why = dispatch_refusal::reason::rate_limited;
    outcome.refusal.predicted = predicted;
    const bool in_time =
        predicted < std::min(request.model.objective - request.model.used, request.time_left);
    if (request.may_wait && (request.answer_started || in_time)) {
        outcome.wait = std::clamp(predicted, min_permit_wait, max_permit_wait);
        return outcome;
    }
    // The next refused caller is told to return one request later, so that they come back at the rate.
    time_point& booked = m_returns[request.service->name];
    booked = std::min(std::max(booked, permit) + from_milliseconds(interval_ms), now + longest_return);
    outcome.refusal.retry_after = std::chrono::duration_cast<milliseconds>(booked - now);
    return outcome;
}

void fleet::take_permit(endpoint_state& state, bool alone, time_point now)
{
    if (state.limit.rate()) {
        state.limit.take(m_limit_shares, alone, now);
    }
}

void fleet::record_limit(const std::string& endpoint, std::optional<double> rate, time_point sent,
                         const std::string& request, time_point now)
{
    std::vector<limit_change> changed;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end()) {
            return;
        }
        policy::request_limit& limit = found->second.limit;
        const limit_change before{
            {endpoint, found->second.info.born_ms, {}}, limit.rate(), limit.known_since()};
        if (limit.observe(rate, sent, m_self, m_limit_shares, now)) {
            changed.push_back(before);
            changed.back().now.statement = limit.statement();
        }
    }
    publish_limits(changed, "answer", request, now);
}

void fleet::apply_limits(const std::vector<endpoint_limit>& received, time_point now)
{
    std::vector<limit_change> changed;
    {
        const std::lock_guard lock(m_mutex);
        for (const endpoint_limit& value : received) {
            if (const auto merged = merge_limit(value, now)) {
                changed.push_back(*merged);
            }
        }
    }
    publish_limits(changed, "report", {}, now);
}

std::optional<fleet::limit_change> fleet::merge_limit(const endpoint_limit& value, time_point now)
{
    const auto found = m_endpoints.find(value.endpoint);
    if (found == m_endpoints.end() || value.born_ms > found->second.info.born_ms) {
        keep_limit(value);
        return std::nullopt;
    }
    policy::request_limit& limit = found->second.limit;
    const limit_change change{value, limit.rate(), limit.known_since()};
    const bool is_new =
        value.born_ms == found->second.info.born_ms && limit.merge(value.statement, m_limit_shares, now);
    return is_new ? std::optional(change) : std::nullopt;
}

void fleet::keep_limit(const endpoint_limit& value)
{
    const auto found = m_unlisted_limits.find(value.endpoint);
    if (found == m_unlisted_limits.end()) {
        if (m_unlisted_limits.size() < max_unlisted_limits) {
            m_unlisted_limits.emplace(value.endpoint, value);
        }
        return;
    }
    const auto order = [](const endpoint_limit& item) {
        return std::make_tuple(item.born_ms, item.statement.changes, item.statement.observer);
    };
    if (order(value) > order(found->second)) {
        found->second = value;
    }
}

void fleet::apply_kept_limit(const std::string& endpoint, time_point now)
{
    const auto found = m_unlisted_limits.find(endpoint);
    if (found != m_unlisted_limits.end()) {
        const endpoint_limit value = std::move(found->second);
        m_unlisted_limits.erase(found);
        merge_limit(value, now);
    }
}

std::vector<endpoint_limit> fleet::limits() const
{
    std::vector<endpoint_limit> found;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, state] : m_endpoints) {
        if (state.limit.statement().changes != 0) {
            found.push_back({name, state.info.born_ms, state.limit.statement()});
        }
    }
    return found;
}

std::optional<known_limit> fleet::limit_of(const std::string& endpoint, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.limit.rate()) {
        return std::nullopt;
    }
    const policy::request_limit& limit = found->second.limit;
    return known_limit{*limit.rate(), std::chrono::duration_cast<milliseconds>(now - limit.known_since())};
}

limit_summary fleet::summarize_limits(time_point now) const
{
    limit_summary summary;
    const std::lock_guard lock(m_mutex);
    summary.skips = m_limit_skips;
    for (const auto& [name, state] : m_endpoints) {
        if (state.limit.rate()) {
            ++summary.endpoints;
            summary.rate += *state.limit.rate();
            const auto age = std::chrono::duration_cast<milliseconds>(now - state.limit.known_since());
            summary.oldest = std::max(summary.oldest, age);
        }
    }
    return summary;
}

void fleet::publish_limits(const std::vector<limit_change>& changed, const char* cause,
                           const std::string& request, time_point now)
{
    std::vector<endpoint_limit> limits;
    for (const limit_change& change : changed) {
        limits.push_back(change.now);
        const std::optional<double>& rate = change.now.statement.rate;
        if (rate == change.previous) {
            continue;
        }
        event::endpoint_limitT line;
        line.endpoint = change.now.endpoint;
        line.born_ms = change.now.born_ms;
        line.state = !change.previous ? "begun" : rate ? "changed" : "ended";
        line.rate = rate.value_or(0);
        line.previous = change.previous.value_or(0);
        line.cause = cause;
        line.request = request;
        line.known_ms = change.previous ? to_u32(now - change.known_since) : 0;
        event_log::write(line);
    }
    if (m_on_limits && !limits.empty()) {
        m_on_limits(limits);
    }
}

} // namespace verbena::forward
