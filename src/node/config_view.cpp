#include "node/config_view.h"

namespace verbena::node {

namespace {

template <typename Map>
auto find_or_null(const Map& map, const std::string& key)
{
    const auto place = map.find(key);
    return place == map.end() ? typename Map::mapped_type{} : place->second;
}

} // namespace

config_snapshot::config_snapshot(op::configT config) : m_config(std::move(config))
{
    for (const auto& team : m_config.teams) {
        for (const std::string& key : team->keys) {
            m_teams_by_key.emplace(key, team.get());
        }
    }
    for (const auto& service : m_config.services) {
        m_services.emplace(service->name, service.get());
        for (const std::string& model : service->models) {
            m_services_by_model.emplace(model, service.get());
        }
    }
    for (const auto& endpoint : m_config.endpoints) {
        m_endpoints.emplace(endpoint->name, endpoint.get());
    }
    for (const auto& domain : m_config.failure_domains) {
        m_domains.emplace(domain->name, domain->state);
    }
}

const op::teamT* config_snapshot::team_by_key(const std::string& key) const
{
    return find_or_null(m_teams_by_key, key);
}

const op::serviceT* config_snapshot::service(const std::string& name) const
{
    return find_or_null(m_services, name);
}

const op::serviceT* config_snapshot::service_for_model(const std::string& model) const
{
    return find_or_null(m_services_by_model, model);
}

const op::endpointT* config_snapshot::endpoint(const std::string& name) const
{
    return find_or_null(m_endpoints, name);
}

op::admin_state config_snapshot::endpoint_state(const std::string& name) const
{
    const op::endpointT* found = endpoint(name);
    return found == nullptr ? op::admin_state::in : found->state;
}

op::admin_state config_snapshot::domain_state(const std::string& name) const
{
    const auto place = m_domains.find(name);
    return place == m_domains.end() ? op::admin_state::in : place->second;
}

bool config_view::update(std::span<const std::uint8_t> packed)
{
    flatbuffers::Verifier verifier(packed.data(), packed.size());
    if (!verifier.VerifyBuffer<op::config>(nullptr)) {
        return false;
    }
    const op::config* config = flatbuffers::GetRoot<op::config>(packed.data());
    const std::lock_guard lock(m_mutex);
    if (m_current && config->revision() <= m_current->number()) {
        return true;
    }
    op::configT document;
    config->UnPackTo(&document);
    m_current = std::make_shared<const config_snapshot>(std::move(document));
    m_packed = std::make_shared<const std::vector<std::uint8_t>>(packed.begin(), packed.end());
    return true;
}

void config_view::confirm(revision number, time_point at)
{
    const std::lock_guard lock(m_mutex);
    // A confirmation of an older revision than the held one says nothing: the held one was accepted after it.
    if (!m_current || number != m_current->number()) {
        return;
    }
    if (!m_confirmed || m_confirmed->number < number || m_confirmed->at < at) {
        m_confirmed = confirmation{number, at};
    }
}

std::optional<milliseconds> config_view::age(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_confirmed || m_confirmed->number != m_current->number()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - m_confirmed->at);
}

bool config_view::is_fresh(time_point now) const
{
    const std::optional<milliseconds> current = age(now);
    return current && *current < m_bound;
}

revision config_view::held_revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_current ? m_current->number() : 0;
}

std::shared_ptr<const config_snapshot> config_view::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::shared_ptr<const std::vector<std::uint8_t>> config_view::serialized() const
{
    const std::lock_guard lock(m_mutex);
    return m_packed;
}

} // namespace verbena::node
