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

// New work is accepted only while the newest confirmed revision is younger than this. The promise is 3 s; the
// difference covers timer delays and a request in flight.
inline constexpr milliseconds freshness_bound{2'500};

// One configuration with the look-ups that requests need. Immutable.
class config_snapshot {
public:
    explicit config_snapshot(op::configT config);

    revision number() const { return m_config.revision; }
    const op::configT& document() const { return m_config; }

    // Null when there is no such object.
    const op::teamT* team_by_key(const std::string& key) const;
    const op::serviceT* service(const std::string& name) const;
    // The model service that serves a model.
    const op::serviceT* service_for_model(const std::string& model) const;

    // An endpoint or failure domain without an entry is in.
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

// The newest confirmed revision and when it was known to be the newest.
struct confirmation {
    revision number = 0;
    time_point at;
};

// The configuration that a process holds, and how fresh it is. Thread-safe; first in the lock order.
class config_view {
public:
    explicit config_view(milliseconds bound = freshness_bound) : m_bound(bound) {}

    // Takes over a packed op::config unless the held revision is as high. False when the bytes are not valid.
    bool update(std::span<const std::uint8_t> packed);

    // Notes that `number` was the newest accepted revision at `at`, counted on this process's clock from
    // before the question was sent, so that a delayed answer only looks older.
    void confirm(revision number, time_point at);

    // True while the held revision was confirmed as the newest less than the freshness bound ago.
    bool is_fresh(time_point now) const;

    // Age of the held confirmation; empty before the first one.
    std::optional<milliseconds> age(time_point now) const;

    revision held_revision() const;
    std::shared_ptr<const config_snapshot> current() const;

    // The document as it was received, for peers that hold an older revision.
    std::shared_ptr<const std::vector<std::uint8_t>> serialized() const;

private:
    const milliseconds m_bound;
    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
    std::shared_ptr<const std::vector<std::uint8_t>> m_packed;
    std::optional<confirmation> m_confirmed;
};

} // namespace verbena::node
