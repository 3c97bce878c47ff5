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
    std::array<double, length_class_count>
        work{};                 // outstanding by length class, in requests of a short prompt
    std::uint32_t requests = 0; // outstanding
    load_report load;
    time_point reported{};
    std::uint32_t failures = 0;  // consecutive
    std::uint32_t ejections = 0; // since the last success
    time_point ejected_until{};
};

// Mean load of a service's endpoints as a length class sees it.
struct mean_value {
    double load = 0;
    time_point at{};
};

struct affinity_entry {
    std::uint64_t prefix_hash = 0;
    std::uint64_t generation = 0;
    endpoint_state* endpoint = nullptr;
};

struct service_state {
    std::string name;
    std::vector<endpoint_state*> members;
    std::vector<endpoint_state*> long_members;   // first part of each failure domain by rendezvous score
    std::vector<endpoint_state*> medium_members; // larger first part
    std::vector<endpoint_state*> short_members;  // the rest
    std::uint64_t generation = 1;                // changes with the members
    std::uint64_t subset_generation = 0;
    std::size_t next = 0; // round robin
    std::array<mean_value, length_class_count> means{};
    std::vector<affinity_entry> affinity; // direct-mapped cache of rendezvous choices
};

// Mixes two 64-bit values into one that is evenly spread.
std::uint64_t mix(std::uint64_t left, std::uint64_t right);

// Hash of a name that is the same in every process and version.
std::uint64_t stable_hash(std::string_view name);

// Outstanding work of the request's length class.
inline double& work_of(endpoint_state& endpoint, const route_request& request)
{
    return endpoint.work[static_cast<std::size_t>(classify(request.prompt_tokens))];
}

// Outstanding work of a request before its first token: one, plus the share of its prompt.
double waiting_weight(const route_request& request);

// Outstanding work of a request after its first token: decoding costs the endpoint little beside prefill.
constexpr double answering_weight = 0.2;

// Endpoint with the highest rendezvous score for the hash; null for an empty pool.
endpoint_state* rendezvous(std::span<endpoint_state* const> pool, std::uint64_t hash);

// Rebuilds the subsets when the members changed: the same shares of each failure domain by rendezvous score.
void refresh_subsets(service_state& service, const router_options& options);

// Outstanding work that competes with a request of this length class: its own class and those that go before
// it, and a small part of the others, which share the engine's steps.
double competing_work(const endpoint_state& endpoint, length_class length);

// Running and queued requests of the last report, halved with each half-life of its age. Running ones mostly
// decode.
double decayed_load(const endpoint_state& endpoint, time_point now, clock::duration half_life);

// Ejects the endpoint unless too many of its service already are.
void eject(endpoint_state& endpoint, const router_options& options, time_point now);

} // namespace verbena::policy::detail
