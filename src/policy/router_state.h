#pragma once

#include "policy/router.h"

#include <array>
#include <unordered_map>

namespace verbena::policy::detail {

struct domain_state {
    bool in = true;
    bool ramping = false;
    bool open = true; // for the current pick: in service and, while ramping, randomly selected
    time_point returned{};
};

struct service_state;

struct endpoint_state {
    endpoint_info info;
    std::uint64_t hash = 0;
    domain_state* domain = nullptr;
    service_state* service = nullptr;
    std::array<double, length_class_count>
        work{};                 // outstanding by length class, in units of one short request
    std::uint32_t requests = 0; // outstanding
    load_report load;
    time_point reported{};
    std::uint32_t failures = 0;  // consecutive
    std::uint32_t ejections = 0; // since the last success
    time_point ejected_until{};
};

// Cached mean load of a service's endpoints for one length class.
struct cached_mean {
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
    std::vector<endpoint_state*> long_members;   // top fraction of each failure domain by rendezvous score
    std::vector<endpoint_state*> medium_members; // the same with the medium fraction
    std::vector<endpoint_state*> short_members;  // all not in medium_members
    std::uint64_t generation = 1;                // incremented when the members change
    std::uint64_t subset_generation = 0;
    std::size_t next = 0; // next index for round robin
    std::array<cached_mean, length_class_count> means{};
    std::vector<affinity_entry> affinity; // direct-mapped cache of rendezvous choices
};

// Hashes two 64-bit values into one with a uniform distribution.
std::uint64_t mix(std::uint64_t left, std::uint64_t right);

// Hash of a name that is the same in all processes and versions.
std::uint64_t stable_hash(std::string_view name);

// The endpoint's outstanding work in the request's length class.
inline double& work_of(endpoint_state& endpoint, const route_request& request)
{
    return endpoint.work[static_cast<std::size_t>(classify(request.prompt_tokens))];
}

// Work of a request before its first token: 1 plus a part proportional to its prompt.
double waiting_weight(const route_request& request);

// Work of a request after its first token. Decoding costs the endpoint little compared with prefill.
constexpr double answering_weight = 0.2;

// Rendezvous hashing: the endpoint with the highest score for the hash; nullptr for an empty pool.
endpoint_state* rendezvous(std::span<endpoint_state* const> pool, std::uint64_t hash);

// Rebuilds the subsets if the members changed. Takes the same fractions of each failure domain by rendezvous
// score.
void refresh_subsets(service_state& service, const router_options& options);

// Outstanding work that competes with a request of this length class: all of its own class and of shorter
// ones, which are scheduled earlier, and a fraction of longer ones, which share the engine's steps.
double competing_work(const endpoint_state& endpoint, length_class length);

// Running and queued requests of the last report, decayed exponentially with the report's age. Running
// requests are weighted by answering_weight, because most of them are decoding.
double decayed_load(const endpoint_state& endpoint, time_point now, clock::duration half_life);

// Ejects the endpoint unless too many endpoints of its service are already ejected.
void eject(endpoint_state& endpoint, const router_options& options, time_point now);

} // namespace verbena::policy::detail
