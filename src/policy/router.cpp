#include "policy/router.h"

#include "policy/router_state.h"

#include <algorithm>

namespace verbena::policy {

namespace {

using detail::domain_state;
using detail::endpoint_state;
using detail::service_state;

constexpr std::size_t affinity_slots = 1'024;
constexpr std::size_t sample_tries = 8;

// Extra work that an idle failure domain attracts through load comparison, as a fraction of its share.
constexpr double idle_domain_bias = 1.5;

constexpr auto mean_load_max_age = milliseconds(50);

// Optional eligibility conditions, relaxed one after the other if no endpoint satisfies them all.
struct pick_rules {
    bool respect_ramp = true;
    bool respect_cold = true;
};

// Endpoints that a length class prefers, and those that it uses at an additional cost.
struct candidate_pools {
    std::span<endpoint_state* const> preferred;
    std::span<endpoint_state* const> spill;
    double spill_penalty = 0;
};

struct candidate_pair {
    endpoint_state* first = nullptr;
    endpoint_state* second = nullptr;
};

} // namespace

struct router::implementation {
    router_options options;
    choice_rule rule;
    name_map<std::unique_ptr<endpoint_state>> endpoints;
    name_map<std::unique_ptr<service_state>> services;
    name_map<std::unique_ptr<domain_state>> domains;

    endpoint_state* find(std::string_view name) const
    {
        const auto found = endpoints.find(name);
        return found == endpoints.end() ? nullptr : found->second.get();
    }

    domain_state& domain(std::string_view name)
    {
        auto found = domains.find(name);
        if (found == domains.end()) {
            found = domains.emplace(std::string(name), std::make_unique<domain_state>()).first;
        }
        return *found->second;
    }

    service_state& service(const std::string& name)
    {
        auto& state = services[name];
        if (!state) {
            state = std::make_unique<service_state>();
            state->name = name;
        }
        return *state;
    }

    void attach(endpoint_state& endpoint)
    {
        endpoint.domain = &domain(endpoint.info.failure_domain);
        endpoint.service = &service(endpoint.info.service);
        endpoint.service->members.push_back(&endpoint);
        ++endpoint.service->generation;
    }

    void detach(endpoint_state& endpoint)
    {
        service_state& owner = *endpoint.service;
        std::erase(owner.members, &endpoint);
        std::erase(owner.long_members, &endpoint);
        std::erase(owner.medium_members, &endpoint);
        std::erase(owner.short_members, &endpoint);
        ++owner.generation;
        owner.affinity.clear();
        if (owner.members.empty()) {
            services.erase(services.find(owner.name));
        }
    }

    void select_open_domains(time_point now, random_engine& random)
    {
        for (auto& [name, state] : domains) {
            state->open = state->in;
            if (!state->in || !state->ramping) {
                continue;
            }
            const double done = std::chrono::duration<double>(now - state->returned) /
                                std::chrono::duration<double>(options.ramp);
            const double share = options.first_ramp_share + (1.0 - options.first_ramp_share) * done;
            state->ramping = share < 1.0;
            // An idle failure domain wins most load comparisons, so it is opened for fewer picks than its
            // share.
            const double chance = share / (1.0 + idle_domain_bias * (1.0 - share));
            state->open = std::uniform_real_distribution<double>(0, 1)(random) < chance;
        }
    }

    static bool eligible(const endpoint_state& endpoint, const route_request& request, pick_rules rules,
                         time_point now)
    {
        const endpoint_info& info = endpoint.info;
        const std::uint64_t tokens = std::uint64_t{request.prompt_tokens} + request.max_tokens;
        if (!info.accepts_work || !endpoint.domain->in || endpoint.ejected_until > now ||
            (info.capacity_tokens > 0 && tokens > info.capacity_tokens)) {
            return false;
        }
        if (rules.respect_ramp && !endpoint.domain->open) {
            return false;
        }
        const bool cold = info.cold || endpoint.load.cold;
        if (rules.respect_cold && cold && endpoint.requests >= std::max(1U, endpoint.load.limit)) {
            return false;
        }
        return std::find(request.tried.begin(), request.tried.end(), info.name) == request.tried.end();
    }

    double load(const endpoint_state& endpoint, length_class length, time_point now) const
    {
        return detail::competing_work(endpoint, length) +
               detail::decayed_load(endpoint, now, options.load_half_life);
    }

    double cost(const endpoint_state& endpoint, length_class length, time_point now) const
    {
        const bool own = endpoint.info.failure_domain == options.own_failure_domain;
        return load(endpoint, length, now) + (own ? 0 : options.other_domain_penalty);
    }

    double mean_load(service_state& state, length_class length, time_point now) const
    {
        detail::cached_mean& mean = state.means[static_cast<std::size_t>(length)];
        if (now - mean.at < mean_load_max_age && mean.at != time_point{}) {
            return mean.load;
        }
        double sum = 0;
        std::size_t count = 0;
        for (const endpoint_state* member : state.members) {
            if (member->domain->in && member->info.accepts_work) {
                sum += load(*member, length, now);
                ++count;
            }
        }
        mean.at = now;
        mean.load = count == 0 ? 0 : sum / static_cast<double>(count);
        return mean.load;
    }

    endpoint_state* affinity(service_state& state, std::span<endpoint_state* const> pool, std::uint64_t hash)
    {
        if (state.affinity.empty()) {
            state.affinity.resize(affinity_slots);
        }
        detail::affinity_entry& slot = state.affinity[hash % affinity_slots];
        const std::uint64_t key = detail::mix(hash, pool.size());
        if (slot.prefix_hash != key || slot.generation != state.generation) {
            slot = {key, state.generation, detail::rendezvous(pool, hash)};
        }
        return slot.endpoint;
    }

    candidate_pair scan(std::span<endpoint_state* const> pool, const route_request& request, pick_rules rules,
                        time_point now, random_engine& random) const
    {
        candidate_pair found;
        std::uint64_t seen = 0;
        for (endpoint_state* endpoint : pool) {
            if (!eligible(*endpoint, request, rules, now)) {
                continue;
            }
            ++seen;
            if (seen <= 2) {
                (seen == 1 ? found.first : found.second) = endpoint;
            } else if (const std::uint64_t slot = random() % seen; slot < 2) {
                (slot == 0 ? found.first : found.second) = endpoint;
            }
        }
        return found;
    }

    candidate_pair sample(std::span<endpoint_state* const> pool, const route_request& request,
                          pick_rules rules, time_point now, random_engine& random) const
    {
        candidate_pair found;
        for (std::size_t i = 0; i < sample_tries && found.second == nullptr; ++i) {
            endpoint_state* endpoint = pool[random() % pool.size()];
            if (endpoint == found.first || !eligible(*endpoint, request, rules, now)) {
                continue;
            }
            (found.first == nullptr ? found.first : found.second) = endpoint;
        }
        return found.second == nullptr ? scan(pool, request, rules, now, random) : found;
    }

    endpoint_state* two_candidates(std::span<endpoint_state* const> pool, const route_request& request,
                                   pick_rules rules, time_point now, random_engine& random) const
    {
        if (pool.empty()) {
            return nullptr;
        }
        const candidate_pair found = sample(pool, request, rules, now, random);
        if (found.first == nullptr || found.second == nullptr) {
            return found.first;
        }
        const auto length = classify(request.prompt_tokens);
        return cost(*found.second, length, now) < cost(*found.first, length, now) ? found.second
                                                                                  : found.first;
    }

    // Short requests avoid the medium subset only while its endpoints carry longer requests.
    double short_spill_penalty(service_state& state, time_point now) const
    {
        const double all_work = mean_load(state, length_class::long_prompt, now);
        const double short_work = mean_load(state, length_class::short_prompt, now);
        return options.short_spill_penalty * std::clamp(all_work - short_work, 0.0, 1.0);
    }

    candidate_pools select_pools(service_state& state, length_class length, time_point now) const
    {
        detail::refresh_subsets(state, options);
        switch (length) {
        case length_class::short_prompt:
            return {state.short_members, state.medium_members, short_spill_penalty(state, now)};
        case length_class::medium_prompt:
            return {state.medium_members, state.short_members, options.medium_spill_penalty};
        case length_class::long_prompt:
            break;
        }
        return {state.long_members, {}, 0};
    }

    endpoint_state* affinity_choice(service_state& state, const candidate_pools& pools,
                                    const route_request& request, pick_rules rules, time_point now)
    {
        if (request.prefix_hash == 0 || pools.preferred.empty()) {
            return nullptr;
        }
        const auto length = classify(request.prompt_tokens);
        endpoint_state* home = affinity(state, pools.preferred, request.prefix_hash);
        const double bound = options.affinity_bound * mean_load(state, length, now) + 1;
        return eligible(*home, request, rules, now) && load(*home, length, now) <= bound ? home : nullptr;
    }

    endpoint_state* choose(service_state& state, const candidate_pools& pools, const route_request& request,
                           pick_rules rules, time_point now, random_engine& random)
    {
        if (endpoint_state* home = affinity_choice(state, pools, request, rules, now)) {
            return home;
        }
        endpoint_state* first = two_candidates(pools.preferred, request, rules, now, random);
        endpoint_state* other = two_candidates(pools.spill, request, rules, now, random);
        if (first == nullptr || other == nullptr) {
            return first == nullptr ? other : first;
        }
        const auto length = classify(request.prompt_tokens);
        return cost(*other, length, now) + pools.spill_penalty < cost(*first, length, now) ? other : first;
    }

    endpoint_state* choose_with_fallbacks(service_state& state, const route_request& request, time_point now,
                                          random_engine& random)
    {
        select_open_domains(now, random);
        const candidate_pools pools = select_pools(state, classify(request.prompt_tokens), now);
        for (const pick_rules rules :
             {pick_rules{true, true}, pick_rules{false, true}, pick_rules{false, false}}) {
            if (endpoint_state* chosen = choose(state, pools, request, rules, now, random)) {
                return chosen;
            }
        }
        return choose(state, {state.members, {}, 0}, request, {false, false}, now, random);
    }

    endpoint_state* round_robin(service_state& state, const route_request& request, time_point now) const
    {
        for (std::size_t i = 0; i < state.members.size(); ++i) {
            endpoint_state* endpoint = state.members[state.next % state.members.size()];
            state.next = (state.next + 1) % state.members.size();
            if (eligible(*endpoint, request, {false, false}, now)) {
                return endpoint;
            }
        }
        return nullptr;
    }

    static endpoint_state* least_outstanding(const service_state& state, const route_request& request,
                                             time_point now)
    {
        endpoint_state* best = nullptr;
        for (endpoint_state* endpoint : state.members) {
            const bool fewer = best == nullptr || endpoint->requests < best->requests;
            if (fewer && eligible(*endpoint, request, {false, false}, now)) {
                best = endpoint;
            }
        }
        return best;
    }

    endpoint_state* pick(service_state& state, const route_request& request, time_point now,
                         random_engine& random)
    {
        switch (rule) {
        case choice_rule::round_robin:
            return round_robin(state, request, now);
        case choice_rule::least_outstanding:
            return least_outstanding(state, request, now);
        case choice_rule::two_candidates:
            break;
        }
        return choose_with_fallbacks(state, request, now, random);
    }
};

router::router(router_options options, choice_rule rule)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
    m_implementation->rule = rule;
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::upsert(const endpoint_info& info)
{
    auto& impl = *m_implementation;
    endpoint_state* known = impl.find(info.name);
    if (known == nullptr) {
        auto state = std::make_unique<endpoint_state>();
        state->info = info;
        state->hash = detail::stable_hash(info.name);
        known = impl.endpoints.emplace(info.name, std::move(state)).first->second.get();
        impl.attach(*known);
        return;
    }
    const bool moved =
        known->info.service != info.service || known->info.failure_domain != info.failure_domain;
    if (moved) {
        impl.detach(*known);
    }
    known->info = info;
    if (moved) {
        impl.attach(*known);
    }
}

void router::remove(std::string_view endpoint)
{
    auto& impl = *m_implementation;
    const auto found = impl.endpoints.find(endpoint);
    if (found == impl.endpoints.end()) {
        return;
    }
    impl.detach(*found->second);
    impl.endpoints.erase(found);
}

void router::set_domain(std::string_view failure_domain, bool in, time_point now)
{
    domain_state& state = m_implementation->domain(failure_domain);
    if (in && !state.in) {
        state.ramping = true;
        state.returned = now;
    }
    state.in = in;
}

std::optional<std::string> router::pick(const route_request& request, time_point now, random_engine& random)
{
    const auto found = m_implementation->services.find(request.service);
    if (found == m_implementation->services.end()) {
        return std::nullopt;
    }
    const endpoint_state* chosen = m_implementation->pick(*found->second, request, now, random);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return chosen->info.name;
}

void router::started(std::string_view endpoint, const route_request& request)
{
    if (endpoint_state* state = m_implementation->find(endpoint)) {
        ++state->requests;
        detail::work_of(*state, request) += detail::waiting_weight(request);
    }
}

void router::first_token(std::string_view endpoint, const route_request& request)
{
    if (endpoint_state* state = m_implementation->find(endpoint)) {
        const double change = detail::answering_weight - detail::waiting_weight(request);
        double& work = detail::work_of(*state, request);
        work = std::max(0.0, work + change);
    }
}

void router::finished(std::string_view endpoint, const route_request& request, attempt_end end,
                      time_point now, bool answering)
{
    endpoint_state* state = m_implementation->find(endpoint);
    if (state == nullptr || state->requests == 0) {
        return;
    }
    --state->requests;
    const double weight = answering ? detail::answering_weight : detail::waiting_weight(request);
    double& work = detail::work_of(*state, request);
    work = std::max(0.0, work - weight);
    if (state->requests == 0) {
        state->work = {};
    }
    if (end == attempt_end::success) {
        state->failures = 0;
        state->ejections = 0;
    }
    if (end != attempt_end::failure) {
        return;
    }
    ++state->failures;
    if (state->failures >= m_implementation->options.failures_to_eject && state->ejected_until <= now) {
        detail::eject(*state, m_implementation->options, now);
    }
}

void router::report(std::string_view endpoint, const load_report& load, time_point now)
{
    if (endpoint_state* state = m_implementation->find(endpoint)) {
        state->load = load;
        state->reported = now;
    }
}

std::size_t router::size() const
{
    return m_implementation->endpoints.size();
}

bool router::ejected(std::string_view endpoint, time_point now) const
{
    const endpoint_state* state = m_implementation->find(endpoint);
    return state != nullptr && state->ejected_until > now;
}

double router::outstanding(std::string_view endpoint) const
{
    const endpoint_state* state = m_implementation->find(endpoint);
    return state == nullptr ? 0 : state->requests;
}

std::uint64_t router::largest_capacity(std::string_view service) const
{
    std::uint64_t largest = 0;
    const auto found = m_implementation->services.find(service);
    if (found != m_implementation->services.end()) {
        for (const endpoint_state* member : found->second->members) {
            largest = std::max(largest, member->info.capacity_tokens);
        }
    }
    return largest;
}

std::vector<std::string> router::long_subset(std::string_view service)
{
    std::vector<std::string> names;
    const auto found = m_implementation->services.find(service);
    if (found == m_implementation->services.end()) {
        return names;
    }
    detail::refresh_subsets(*found->second, m_implementation->options);
    for (const endpoint_state* member : found->second->long_members) {
        names.push_back(member->info.name);
    }
    return names;
}

} // namespace verbena::policy
