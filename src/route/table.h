#pragma once

#include "base/error.h"
#include "route/document.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace verbena::route {

// A checked document with the look-ups that requests need. Immutable.
class table {
public:
    // Refuses a document that could not be obeyed: a share of an unknown service, two routes for one host and
    // prefix, shares that add up to nothing, a time-out of 0, a key that two teams hold. The error names the
    // object and the remedy.
    static result<std::shared_ptr<const table>> create(document value);

    std::uint64_t version() const { return m_document.version; }
    const document& rules() const { return m_document; }

    // The route of the host with the longest prefix that begins the path; null when there is none.
    const route_rule* find_route(std::string_view host, std::string_view path) const;

    const service_rule* find_service(std::string_view name) const;

    // The team that holds a key; null when there is none.
    const team_rule* find_team(std::string_view key) const;

    // The service that takes a request of the route. `draw` is any number that is spread evenly.
    static const std::string& choose_service(const route_rule& route, std::uint64_t draw);

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

// Host names are compared without case and port.
std::string normalize_host(std::string_view host);

} // namespace verbena::route
