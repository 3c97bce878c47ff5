#pragma once

#include "policy/router.h"

#include <array>
#include <unordered_map>

namespace verbena::policy::detail {

struct domain_state {
    bool in = true;
    bool ramping = false;
    bool open = true; // for the current pick: in, and drawn by its ramp share
    time_point returned{};
};

struct service_state;

struct endpoint_state {
    endpoint_info info;
    std::uint64_t hash = 0;
    domain_state* domain = nullptr;
    service_state* service = nullptr;
    double work = 0;            // outstanding, in requests of a short prompt
    std::uint32_t requests = 0; // outstanding
    load_report load;
    time_point reported{};
    std::uint32_t failures = 0;  // consecutive
    std::uint32_t ejections = 0; // since the last success
    time_point ejected_until{};
};

struct affinity_entry {
    std::uint64_t prefix_hash = 0;
    std::uint64_t generation = 0;
    endpoint_state* endpoint = nullptr;
};

struct service_state {
    std::string name;
    std::vector<endpoint_state*> members;
    std::vector<endpoint_state*> long_members;
    std::uint64_t generation = 1; // changes with the members
    std::uint64_t subset_generation = 0;
    std::size_t next = 0; // round robin
    double mean_load = 0;
    time_point mean_at{};
    std::vector<affinity_entry> affinity; // direct-mapped cache of rendezvous choices
};

// Mixes two 64-bit values into one that is evenly spread.
std::uint64_t mix(std::uint64_t left, std::uint64_t right);

// Hash of a name that is the same in every process and version.
std::uint64_t stable_hash(std::string_view name);

// Outstanding work of a request in requests of a short prompt.
double route_weight(const route_request& request);

// Endpoint with the highest rendezvous score for the hash; null for an empty pool.
endpoint_state* rendezvous(std::span<endpoint_state* const> pool, std::uint64_t hash);

// Rebuilds the long subset when the members changed: the same share of each failure domain by rendezvous
// score.
void refresh_long_subset(service_state& service, double share);

// Running and queued requests of the last report, halved with each half-life of its age.
double decayed_load(const endpoint_state& endpoint, time_point now, clock::duration half_life);

// Ejects the endpoint unless too many of its service already are.
void eject(endpoint_state& endpoint, const router_options& options, time_point now);

} // namespace verbena::policy::detail
