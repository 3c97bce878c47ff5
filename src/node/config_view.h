#pragma once

#include "base/types.h"
#include "operator_generated.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbena::node {

// New work is accepted only while the held revision was confirmed as the newest less than this time ago. The
// guaranteed limit is 3 s; the margin covers timer delays and a request in flight.
inline constexpr milliseconds freshness_bound{2'500};

// One revision of the configuration with the indexes that request processing needs. Immutable.
class config_snapshot {
public:
    explicit config_snapshot(op::configT config);

    revision number() const { return m_config.revision; }
    const op::configT& document() const { return m_config; }

    // Look-ups return null when there is no such object.
    const op::teamT* team_by_key(const std::string& key) const;
    const op::serviceT* service(const std::string& name) const;
    // The model service that serves a model.
    const op::serviceT* service_for_model(const std::string& model) const;

    // Endpoints and failure domains that the configuration does not list are in.
    op::admin_state endpoint_state(const std::string& name) const;
    op::admin_state domain_state(const std::string& name) const;
    const op::endpointT* endpoint(const std::string& name) const;

private:
    op::configT m_config;
    std::unordered_map<std::string, const op::teamT*> m_teams_by_key;
    std::unordered_map<std::string, const op::serviceT*> m_services;
    std::unordered_map<std::string, const op::serviceT*> m_services_by_model;
    std::unordered_map<std::string, const op::endpointT*> m_endpoints;
    std::unordered_map<std::string, op::admin_state> m_domains;
};

// A confirmed revision and the latest time at which it was known to be the newest.
struct confirmation {
    revision number = 0;
    time_point at;
};

// The configuration held by this process and its freshness. Thread-safe; first in the lock order.
class config_view {
public:
    explicit config_view(milliseconds bound = freshness_bound) : m_bound(bound) {}

    // Replaces the held configuration by a packed op::config with a higher revision; ignores any other.
    // Returns false when the bytes are not valid.
    bool update(std::span<const std::uint8_t> packed);

    // Records that `number` was the newest accepted revision at time `at`. The time is taken from this
    // process's clock before the query was sent, so that a delayed reply only makes the confirmation older.
    void confirm(revision number, time_point at);

    // Whether the held revision was confirmed as the newest less than the freshness bound ago.
    bool is_fresh(time_point now) const;

    // Age of the confirmation of the held revision; empty when it has not been confirmed yet.
    std::optional<milliseconds> age(time_point now) const;

    revision held_revision() const;
    std::shared_ptr<const config_snapshot> current() const;

    // The serialized configuration as received, to pass on to peers that hold an older revision.
    std::shared_ptr<const std::vector<std::uint8_t>> serialized() const;

private:
    const milliseconds m_bound;
    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
    std::shared_ptr<const std::vector<std::uint8_t>> m_packed;
    std::optional<confirmation> m_confirmed;
};

} // namespace verbena::node
