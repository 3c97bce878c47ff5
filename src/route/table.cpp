#include "route/table.h"

#include <algorithm>
#include <cctype>

namespace verbena::route {

namespace {

error invalid(std::string message, std::string remedy)
{
    return make_error(error_kind::invalid_request, std::move(message), std::move(remedy));
}

std::uint64_t total_weight(const route_rule& route)
{
    std::uint64_t total = 0;
    for (const service_share& share : route.shares) {
        total += share.weight;
    }
    return total;
}

} // namespace

std::string normalize_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string name(has_port ? host.substr(0, colon) : host);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

result<std::shared_ptr<const table>> table::create(document value)
{
    std::shared_ptr<table> created(new table(std::move(value)));
    BOOST_OUTCOME_TRYV2(auto&&, created->index());
    return std::shared_ptr<const table>(std::move(created));
}

result<void> table::index()
{
    for (const service_rule& service : m_document.services) {
        if (!m_services.emplace(service.name, &service).second) {
            return invalid("service '" + service.name + "' is declared twice", "remove one of the two");
        }
    }
    for (const route_rule& route : m_document.routes) {
        BOOST_OUTCOME_TRYV2(auto&&, add_route(route));
    }
    if (m_document.teams) {
        for (const team_rule& team : *m_document.teams) {
            BOOST_OUTCOME_TRYV2(auto&&, add_team(team));
        }
    }
    return success();
}

result<void> table::add_route(const route_rule& route)
{
    const std::string label = "route '" + route.name + "'";
    for (const service_share& share : route.shares) {
        if (!m_services.contains(share.service)) {
            return invalid(label + " refers to the unknown service '" + share.service + "'",
                           "declare the service or use a declared one");
        }
    }
    if (total_weight(route) == 0) {
        return invalid(label + " has weights that add up to 0", "give a service a weight above 0");
    }
    if (route.timeout <= milliseconds::zero()) {
        return invalid(label + " has a timeout of 0", "set it to the longest time a caller may wait, in ms");
    }
    const auto added = m_routes[normalize_host(route.host)].emplace(route.path_prefix, &route);
    if (!added.second) {
        return invalid(label + " has the same host and prefix as route '" + added.first->second->name + "'",
                       "give each route a unique combination of host and prefix");
    }
    return success();
}

result<void> table::add_team(const team_rule& team)
{
    for (const std::string& key : team.keys) {
        const auto added = m_teams_by_key.emplace(key, &team);
        if (!added.second && added.first->second->name != team.name) {
            return invalid("teams '" + team.name + "' and '" + added.first->second->name + "' share a key",
                           "give each team different keys");
        }
    }
    return success();
}

// Prefixes begin and end with a slash, so the candidates are the parts of the path up to and including each
// slash.
const route_rule* table::find_route(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(normalize_host(host));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    std::string_view rest = path.substr(0, path.find('?'));
    while (true) {
        const auto slash = rest.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(rest.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        rest = rest.substr(0, slash);
    }
}

const service_rule* table::find_service(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const team_rule* table::find_team(std::string_view key) const
{
    const auto found = m_teams_by_key.find(std::string(key));
    return found == m_teams_by_key.end() ? nullptr : found->second;
}

const std::string& table::choose_service(const route_rule& route, std::uint64_t hash)
{
    std::uint64_t position = hash % total_weight(route);
    for (const service_share& share : route.shares) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace verbena::route
