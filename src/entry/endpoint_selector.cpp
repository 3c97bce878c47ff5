#include "entry/endpoint_selector.h"

#include <algorithm>

namespace verbena::entry {

namespace {

policy::router_options make_router_options(std::string own_domain)
{
    policy::router_options options;
    options.own_failure_domain = std::move(own_domain);
    return options;
}

constexpr milliseconds buffer_full_retry_after{2'000};

} // namespace

endpoint_selector::endpoint_selector(std::string own_domain, const policy::buffer_caps& buffers,
                                     double retry_share)
    : m_random(make_incarnation()), m_router(make_router_options(std::move(own_domain))),
      m_retries(policy::retry_budget_options{retry_share, 3}), m_buffers(buffers)
{
}

void endpoint_selector::apply(const std::shared_ptr<const node::config_snapshot>& config, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (!config || config == m_config) {
        return;
    }
    if (m_config) {
        for (const auto& team : m_config->document().teams) {
            m_teams.remove(team->name);
        }
    }
    m_config = config;
    for (const auto& team : config->document().teams) {
        m_teams.set(team->name, {team->max_outstanding, static_cast<double>(team->max_tokens_per_s)});
    }
    for (const auto& domain : config->document().failure_domains) {
        m_router.set_domain(domain->name, domain->state == op::admin_state::in, now);
    }
    for (const auto& [name, endpoint] : m_endpoints) {
        upsert(endpoint);
    }
}

void endpoint_selector::upsert(const known_endpoint& endpoint)
{
    const wire::announcementT& value = endpoint.announcement;
    policy::endpoint_info info;
    info.name = value.endpoint;
    info.failure_domain = value.failure_domain;
    info.service = value.service;
    info.capacity_tokens = value.plain ? 0 : value.memory_tokens;
    info.cold = value.cold;
    const bool in_service = !m_config || m_config->endpoint_state(value.endpoint) == op::admin_state::in;
    info.accepts_work = in_service && !value.leaving;
    m_router.upsert(info);
}

void endpoint_selector::on_endpoint(const std::string& name, const wire::announcementT* value)
{
    const std::lock_guard lock(m_mutex);
    if (value == nullptr) {
        m_endpoints.erase(name);
        m_router.remove(name);
        return;
    }
    const result<host_port> address = parse_host_port(value->address);
    if (!address) {
        return;
    }
    known_endpoint& endpoint = m_endpoints[name];
    endpoint = known_endpoint{*value, chosen_endpoint{name, address.value(), value->incarnation}};
    upsert(endpoint);
}

std::vector<std::string> endpoint_selector::endpoints_without_model(const caller_request& request) const
{
    std::vector<std::string> names;
    if (request.plain) {
        return names;
    }
    for (const auto& [name, endpoint] : m_endpoints) {
        const std::vector<std::string>& models = endpoint.announcement.models;
        if (endpoint.announcement.service == request.service &&
            std::find(models.begin(), models.end(), request.model) == models.end()) {
            names.push_back(name);
        }
    }
    return names;
}

policy::route_request endpoint_selector::make_route_request(const caller_request& request,
                                                            const std::vector<std::string>& tried)
{
    policy::route_request route;
    route.service = request.service;
    route.prompt_tokens = request.plain ? 0 : request.prompt_tokens;
    route.max_tokens = request.plain ? 0 : request.max_tokens;
    route.prefix_hash = request.plain ? 0 : request.prefix_hash;
    route.tried = tried;
    return route;
}

std::optional<chosen_endpoint> endpoint_selector::pick(const caller_request& request,
                                                       const std::vector<std::string>& tried, time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> excluded = endpoints_without_model(request);
    excluded.insert(excluded.end(), tried.begin(), tried.end());
    const std::optional<std::string> name =
        m_router.pick(make_route_request(request, excluded), now, m_random);
    if (!name) {
        return std::nullopt;
    }
    return m_endpoints.at(*name).selected;
}

std::optional<chosen_endpoint> endpoint_selector::find(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_endpoints.find(name);
    return it == m_endpoints.end() ? std::nullopt : std::optional<chosen_endpoint>(it->second.selected);
}

void endpoint_selector::started(const std::string& endpoint, const caller_request& request)
{
    const std::lock_guard lock(m_mutex);
    m_router.started(endpoint, make_route_request(request, {}));
}

void endpoint_selector::first_token(const std::string& endpoint, const caller_request& request)
{
    const std::lock_guard lock(m_mutex);
    m_router.first_token(endpoint, make_route_request(request, {}));
}

void endpoint_selector::finished(const std::string& endpoint, const caller_request& request,
                                 policy::attempt_end end, time_point now, bool answering)
{
    const std::lock_guard lock(m_mutex);
    m_router.finished(endpoint, make_route_request(request, {}), end, now, answering);
}

void endpoint_selector::report(const std::string& endpoint, const wire::load_summary* load, time_point now)
{
    if (load == nullptr) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_router.report(endpoint, {load->running(), load->queued(), load->limit(), load->cold()}, now);
}

void endpoint_selector::count_request(const caller_request& request, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_retries.record_request(request.team, request.service, now);
}

bool endpoint_selector::allow_retry(const caller_request& request, time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_retries.try_retry(request.team, request.service, now);
}

std::optional<caller_error> endpoint_selector::admit(const caller_request& request, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t tokens = std::uint64_t{request.prompt_tokens} + request.max_tokens;
    const policy::team_decision decision = m_teams.admit(request.team, tokens, now);
    if (!decision.admitted()) {
        return caller_error{429,
                            "team_limit",
                            std::string("team limit reached: ") + policy::to_string(decision.verdict),
                            "retry later or ask the operators for a higher limit",
                            attempt_outcome::not_run,
                            decision.retry_after};
    }
    const policy::buffer_verdict verdict = m_buffers.reserve(request.id, request.team, request.max_tokens);
    if (verdict == policy::buffer_verdict::reserved) {
        return std::nullopt;
    }
    m_teams.release(request.team, tokens, now);
    const bool team_buffer_full = verdict == policy::buffer_verdict::team_full;
    return caller_error{team_buffer_full ? 429U : 503U,
                        "answer_buffer_full",
                        "response buffer full: clients read too slowly",
                        "read responses faster and retry",
                        attempt_outcome::not_run,
                        buffer_full_retry_after};
}

void endpoint_selector::release(const caller_request& request, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_teams.release(request.team, 0, now);
    m_buffers.release(request.id);
}

std::uint64_t endpoint_selector::largest_capacity(const std::string& service) const
{
    const std::lock_guard lock(m_mutex);
    return m_router.largest_capacity(service);
}

request_id endpoint_selector::next_request_id()
{
    const std::lock_guard lock(m_mutex);
    return make_request_id(m_random);
}

std::size_t endpoint_selector::endpoints() const
{
    const std::lock_guard lock(m_mutex);
    return m_endpoints.size();
}

std::uint64_t endpoint_selector::reserved_buffer() const
{
    const std::lock_guard lock(m_mutex);
    return m_buffers.reserved();
}

} // namespace verbena::entry
