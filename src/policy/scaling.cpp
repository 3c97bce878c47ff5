#include "policy/scaling.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbena::policy {

namespace {

// Part of the places that is taken on average. The rest is for the variation of arrivals within seconds, and
// for a part of the load of a failure domain that is lost.
constexpr double occupancy = 0.7;
// Part of late and refused requests, and of waiting ones, from which on callers lack room. Single endpoints
// that crash or stall make some requests late at any size of the service.
constexpr double tolerated_failures = 0.02;
constexpr double tolerated_waiting = 0.1;
// Late and refused requests that count as evidence.
constexpr double min_failures = 3;
// Least and largest growth for one observed overload.
constexpr double min_growth = 0.1;
constexpr double max_growth = 1.0;
// Largest rise of the load that is extrapolated.
constexpr double max_forecast = 1.5;
// Least part of its slots that an endpoint is assumed to take. Late answers at lower load have other causes.
constexpr double min_capacity = 0.25;
// The capacity learned from late answers doubles in this time, since requests and endpoints change.
constexpr std::chrono::minutes capacity_doubling{10};
// Schedulers report every second or more often.
constexpr milliseconds sample_timeout{5'000};
// A domain that nobody reports of any more has lost its endpoints or its connections: callers use the others.
constexpr milliseconds domain_timeout{15'000};
constexpr std::chrono::minutes forget_time{10};
constexpr milliseconds min_hold_time{30'000};
// Endpoints announce themselves every 1 to 2 s, so by then all of a domain are known. A number that is
// ordered before would take away those that are not known yet.
constexpr milliseconds observation_time{10'000};
// Time for the backlog of an overload to be served when the new endpoints take requests.
constexpr milliseconds settle_time{5'000};
// Part of the endpoints of a domain by which its number falls at a time.
constexpr std::uint32_t reduction_divisor = 5;
// Room above the recent need that is given up only after the long hold time. Random arrivals need it again
// within minutes.
constexpr double reduction_reserve = 0.1;
constexpr std::chrono::minutes long_hold_minutes{10};
// A domain that is out of service for less keeps its endpoints for its return.
constexpr std::chrono::minutes maintenance_time{5};

std::uint32_t to_count(double value)
{
    constexpr double max_count = 1e6;
    return static_cast<std::uint32_t>(std::ceil(std::clamp(value, 0.0, max_count) - 1e-9));
}

double seconds_of(clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

service_scaling::service_scaling(const scaling_limits& limits) : m_limits(limits) {}

void service_scaling::set_limits(const scaling_limits& limits)
{
    m_limits = limits;
}

milliseconds service_scaling::hold_time() const
{
    return std::max(2 * reaction_time(), min_hold_time);
}

milliseconds service_scaling::long_hold_time() const
{
    return std::max<milliseconds>(long_hold_minutes, 2 * hold_time());
}

std::uint32_t service_scaling::clamped(std::uint32_t count) const
{
    return std::clamp(count, m_limits.min, std::max(m_limits.min, m_limits.max));
}

void service_scaling::restore(const std::string& domain, std::uint32_t desired, time_point now)
{
    domain_state& state = m_domains[domain];
    state.desired = desired;
    state.restored = true;
    state.last_with_endpoints = now;
    state.needs.assign(1, {now, desired});
}

void service_scaling::record(const std::string& domain, const scaling_sample& sample, time_point now)
{
    domain_state& state = m_domains[domain];
    const time_point sampled = now - sample.age;
    if (state.known && sampled <= state.sampled) {
        return;
    }
    const std::uint32_t endpoints = sample.ready + sample.starting;
    if (!state.known) {
        state.known = true;
        state.reduced = now;
        state.observed_until = state.restored ? now : now + observation_time;
    }
    if (now < state.observed_until) {
        // Endpoints that are there are kept until it is known that they are not needed.
        state.desired = std::max(state.desired, endpoints);
        state.needs.assign(1, {now, state.desired});
    }
    if (sample.in_service || state.last.in_service) {
        state.out_since = now;
    }
    state.last = sample;
    state.sampled = sampled;
    if (endpoints != 0 || state.last_with_endpoints == time_point{}) {
        state.last_with_endpoints = now;
    }
    m_outcomes.answered += sample.answered;
    m_outcomes.late += sample.late;
    m_outcomes.refused += sample.refused;
    if (sample.ready != 0 && sample.slots != 0) {
        m_slots = std::max<std::uint32_t>(sample.slots / sample.ready, 1);
    }
}

bool service_scaling::takes_load(const domain_state& domain, time_point now)
{
    return domain.known && domain.last.in_service && now - domain.sampled < domain_timeout &&
           domain.last.ready + domain.last.starting != 0;
}

void service_scaling::forget_empty_domains(time_point now)
{
    std::erase_if(m_domains,
                  [now](const auto& item) { return now - item.second.last_with_endpoints >= forget_time; });
}

service_scaling::total service_scaling::sum(time_point now) const
{
    total result;
    for (const auto& [name, domain] : m_domains) {
        const clock::duration age = now - domain.sampled;
        result.complete = result.complete && domain.known && age < sample_timeout;
        if (!domain.known || age >= domain_timeout) {
            continue;
        }
        result.in_work += domain.last.in_work;
        result.waiting += domain.last.waiting;
        if (takes_load(domain, now)) {
            result.ready += domain.last.ready;
        }
    }
    // A backlog that has built up needs no more room than to be served in about the time of one request.
    result.work = result.in_work + std::min<double>(result.waiting, result.in_work);
    if (result.in_work == 0) {
        result.work = result.waiting;
    }
    return result;
}

// Extrapolates a steady rise to the time at which endpoints that are ordered now take requests. The load must
// have risen from each quarter of the reaction time to the next: a single step does not go on rising.
double service_scaling::forecast(double work, time_point now)
{
    constexpr std::size_t parts = 4;
    m_work.push_back({now, work});
    while (now - m_work.front().at > reaction_time()) {
        m_work.pop_front();
    }
    std::array<double, parts> sums{};
    std::array<double, parts> counts{};
    for (const timed_work& item : m_work) {
        const double age = seconds_of(now - item.at) / std::max(seconds_of(reaction_time()), 1e-3);
        const auto part = static_cast<std::size_t>(std::clamp((1 - age) * parts, 0.0, parts - 1.0));
        sums.at(part) += item.work;
        counts.at(part) += 1;
    }
    double rise = max_forecast * work;
    for (std::size_t part = 0; part < parts; ++part) {
        if (counts.at(part) == 0) {
            return work;
        }
        sums.at(part) /= counts.at(part);
        rise = part == 0 ? rise : std::min(rise, sums.at(part) - sums.at(part - 1));
    }
    // A rise within the usual variation of the number of requests does not count.
    if ((parts - 1) * rise < 2 * std::sqrt(std::max(sums.front(), 1.0))) {
        return work;
    }
    // The last mean is half a part old, and the rise goes on for all parts of the reaction time.
    return std::clamp(sums.back() + (parts + 0.5) * rise, work, max_forecast * work);
}

double service_scaling::overload(const total& load)
{
    const double failures = m_outcomes.late + m_outcomes.refused;
    const double requests = m_outcomes.answered + m_outcomes.refused;
    const double failed = failures >= min_failures ? failures / std::max(requests, failures) : 0;
    const double wanted = load.in_work + load.waiting;
    const double waiting = wanted > 0 ? load.waiting / wanted : 0;
    const bool lacks_room = failed > tolerated_failures ||
                            (waiting > tolerated_waiting && load.waiting >= std::max(m_slots / 2.0, 1.0));
    m_outcomes = {};
    return lacks_room ? std::clamp(failed + waiting, min_growth, max_growth) : 0;
}

void service_scaling::learn_capacity(const total& load, double overload, time_point now)
{
    if (m_slots == 0) {
        return;
    }
    const auto slots = static_cast<double>(m_slots);
    double capacity = m_capacity.value_or(slots);
    capacity *= std::exp2(seconds_of(now - m_capacity_updated) /
                          seconds_of(std::chrono::duration_cast<clock::duration>(capacity_doubling)));
    if (overload > 0 && load.ready != 0 && now >= m_growth_end) {
        capacity = std::min(capacity, load.in_work / load.ready);
    }
    m_capacity = std::clamp(capacity, min_capacity * slots, slots);
    m_capacity_updated = now;
}

std::uint32_t service_scaling::total_need(const total& load, time_point now)
{
    const double lack = overload(load);
    learn_capacity(load, lack, now);
    const double work = forecast(load.work, now);
    std::uint32_t need = m_capacity ? to_count(work / (*m_capacity * occupancy)) : 0;
    if (lack > 0) {
        if (now >= m_growth_end) {
            m_growth_base = load.ready;
            m_growth_end = now + reaction_time() + settle_time;
        }
        need = std::max(need, m_growth_base + std::max(to_count(m_growth_base * lack), 1U));
    }
    return need;
}

// All domains have the same limits, so equal parts fit each of them or none.
std::map<std::string, std::uint32_t> service_scaling::spread(std::uint32_t need, time_point now) const
{
    std::map<std::string, std::uint32_t> shares;
    for (const auto& [name, domain] : m_domains) {
        if (takes_load(domain, now)) {
            shares[name] = 0;
        }
    }
    if (!shares.empty()) {
        const auto domains = static_cast<std::uint32_t>(shares.size());
        const std::uint32_t share = need / domains + (need % domains != 0 ? 1 : 0);
        for (auto& [name, value] : shares) {
            value = std::min(share, m_limits.max);
        }
    }
    return shares;
}

void service_scaling::apply_need(domain_state& domain, std::uint32_t need, time_point now) const
{
    while (!domain.needs.empty() && domain.needs.back().need <= need) {
        domain.needs.pop_back();
    }
    domain.needs.push_back({now, need});
    while (domain.needs.size() > 1 && now - domain.needs.front().at > long_hold_time()) {
        domain.needs.pop_front();
    }
    const std::uint32_t highest = clamped(domain.needs.front().need);
    const auto recent =
        std::find_if(domain.needs.begin(), domain.needs.end(),
                     [this, now](const timed_need& item) { return now - item.at <= hold_time(); });
    const std::uint32_t recent_need = recent->need;
    domain.desired = std::max(domain.desired, clamped(recent_need));
    const std::uint32_t reserve = std::max(to_count(recent_need * reduction_reserve), 1U);
    const std::uint32_t kept =
        std::min(clamped(recent_need + reserve), std::max(highest, clamped(recent_need)));
    if (kept < domain.desired && now - domain.reduced >= hold_time() / 2) {
        const std::uint32_t step = std::max(domain.desired / reduction_divisor, 1U);
        domain.desired = std::max(kept, domain.desired - step);
        domain.reduced = now;
    }
}

std::map<std::string, std::uint32_t> service_scaling::desired(time_point now)
{
    forget_empty_domains(now);
    std::map<std::string, std::uint32_t> result;
    const total load = sum(now);
    const std::map<std::string, std::uint32_t> shares = spread(total_need(load, now), now);
    for (auto& [name, domain] : m_domains) {
        if (!domain.known) {
            continue;
        }
        const auto share = shares.find(name);
        // A domain that has lost its endpoints, or is out of service for a short time, keeps its number.
        const bool emptied = !domain.last.in_service && now - domain.out_since >= maintenance_time;
        std::uint32_t need = share != shares.end() ? share->second : emptied ? m_limits.min : domain.desired;
        if (!load.complete) {
            need = std::max(need, domain.desired);
        }
        apply_need(domain, need, now);
        if (now >= domain.observed_until) {
            domain.desired = clamped(domain.desired);
            result[name] = domain.desired;
        }
    }
    return result;
}

} // namespace verbena::policy
