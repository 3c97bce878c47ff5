#include "forward/fleet.h"

#include <algorithm>

// How the load spreads over the endpoints of a service when several schedulers, or entries without one,
// choose at the same time.
namespace verbena::forward {

namespace {

// Fraction of the slots of an endpoint that the schedulers of other failure domains leave free in services
// whose configuration does not call for even load.
constexpr double other_domain_slot_reserve = 0.3;

// The longest time for which a scheduler collects notes before it sends them (load_exchange).
constexpr std::chrono::microseconds note_interval{10'000};

// A process that has heard of no other one's choice for this long takes itself for the only one that chooses.
// Entries that lose their scheduler ask it again after 2 s, and choose without it meanwhile.
constexpr milliseconds others_quiet{500};

} // namespace

void fleet::set_sole_scheduler(bool sole)
{
    const std::lock_guard lock(m_mutex);
    m_sole_scheduler = sole;
}

bool fleet::decides_alone(time_point now) const
{
    return m_sole_scheduler && (!m_others_chose || now - *m_others_chose >= others_quiet);
}

const std::string& fleet::domain_of(const dispatch_request& request) const
{
    return request.failure_domain.empty() ? m_own_domain : request.failure_domain;
}

bool fleet::spreads_load(const route::engine_rule& engine) const
{
    return m_parts.even_load && policy::slots_are_scarce(engine);
}

double fleet::unheard_sends(const std::string& failure_domain, const route::engine_rule& engine,
                            time_point now) const
{
    if (!spreads_load(engine)) {
        return 0;
    }
    if (m_unheard_time != now) {
        m_unheard_time = now;
        m_unheard_now.clear();
    }
    const auto [found, is_new] = m_unheard_now.try_emplace(failure_domain);
    if (is_new) {
        found->second = m_unheard.expected(failure_domain, note_interval + engine.domain_delay, now);
    }
    return found->second;
}

std::size_t fleet::domain_size(const endpoint_state& state) const
{
    if (m_domain_sizes.empty()) {
        for (const auto& [name, other] : m_endpoints) {
            ++m_domain_sizes[{other.info.service, other.info.failure_domain}];
        }
    }
    return m_domain_sizes[{state.info.service, state.info.failure_domain}];
}

// Several schedulers may choose the same endpoint before they hear of each other's choice. The room of
// another domain is lent as far as that domain does not need it.
std::uint32_t fleet::usable_slots(const endpoint_state& state, const route::engine_rule& engine,
                                  time_point now) const
{
    const std::uint32_t slots = state.info.slots;
    const std::string& domain = state.info.failure_domain;
    if (domain == m_own_domain || decides_alone(now)) {
        return slots;
    }
    if (!spreads_load(engine)) {
        return slots - static_cast<std::uint32_t>(slots * other_domain_slot_reserve);
    }
    const auto size = static_cast<double>(std::max<std::size_t>(domain_size(state), 1));
    return policy::lent_slots(slots, unheard_sends(domain, engine, now) / size);
}

policy::placement_candidate fleet::to_candidate(const endpoint_state& state, const dispatch_request& request,
                                                time_point now) const
{
    const route::engine_rule& engine = *request.service->engine;
    policy::placement_candidate candidate;
    candidate.load = &state.load;
    candidate.slowdown = slowdown_of(state, now);
    candidate.failure_share = failure_rate_of(state, now);
    candidate.other_domain = state.info.failure_domain != domain_of(request);
    candidate.slots = usable_slots(state, engine, now);
    candidate.unheard = unheard_sends(state.info.failure_domain, engine, now);
    return candidate;
}

policy::placement_options fleet::placement_options(const dispatch_request& request)
{
    policy::placement_options options;
    if (!spreads_load(*request.service->engine)) {
        return options;
    }
    if (request.alone) {
        return policy::options_alone();
    }
    options.draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    return options;
}

void fleet::count_send(const endpoint_state& state, const dispatch_request& request)
{
    const auto& engine = request.service->engine;
    if (engine && policy::slots_are_scarce(*engine)) {
        ++m_even_sends;
        m_even_sends_to_full += state.load.requests() >= state.info.slots ? 1 : 0;
    }
}

load_spread fleet::summarize_load(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    load_spread spread;
    std::set<std::string> over;
    std::set<std::string> domains;
    std::map<std::string, std::size_t> idle;
    std::chrono::microseconds delay = note_interval;
    for (const auto& [name, state] : m_endpoints) {
        const auto engine = m_engines.find(state.info.service);
        if (engine == m_engines.end() || !accepts_work(state, now)) {
            continue;
        }
        delay = std::max(delay, note_interval + engine->second.domain_delay);
        domains.insert(state.info.failure_domain);
        idle[state.info.service] += state.load.requests() == 0 ? 1 : 0;
        if (state.load.requests() > state.info.slots) {
            ++spread.over;
            over.insert(state.info.service);
        }
    }
    for (const std::string& service : over) {
        spread.idle_beside += idle[service];
    }
    for (const std::string& domain : domains) {
        spread.unheard += m_unheard.expected(domain, delay, now);
    }
    spread.sends = m_even_sends;
    spread.sends_to_full = m_even_sends_to_full;
    return spread;
}

} // namespace verbena::forward
