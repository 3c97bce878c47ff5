#pragma once

#include "base/error.h"
#include "route/document.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace verbena::route {

// A validated document with the look-ups needed for routing. Immutable.
class table {
public:
    // Rejects an inconsistent document: an unknown or duplicate service, two routes with the same host and
    // prefix, weights that add up to 0, a timeout of 0, a key used by two teams. The error names the object
    // and the remedy.
    static result<std::shared_ptr<const table>> create(document value);

    std::uint64_t version() const { return m_document.version; }
    const document& rules() const { return m_document; }

    // The route for the host with the longest prefix of the path; null when there is none.
    const route_rule* find_route(std::string_view host, std::string_view path) const;

    const service_rule* find_service(std::string_view name) const;

    // The team that owns the key; null when there is none.
    const team_rule* find_team(std::string_view key) const;

    // Selects a service of the route in proportion to its weight. `hash` is any evenly distributed number.
    static const std::string& choose_service(const route_rule& route, std::uint64_t hash);

private:
    explicit table(document value) : m_document(std::move(value)) {}

    result<void> index();
    result<void> add_route(const route_rule& route);
    result<void> add_team(const team_rule& team);

    document m_document;
    std::unordered_map<std::string, std::map<std::string, const route_rule*, std::less<>>> m_routes;
    std::unordered_map<std::string, const service_rule*> m_services;
    std::unordered_map<std::string, const team_rule*> m_teams_by_key;
};

// Returns the host in lower case and without the port.
std::string normalize_host(std::string_view host);

} // namespace verbena::route
