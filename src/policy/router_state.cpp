#include "policy/router_state.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace verbena::policy::detail {

namespace {

// Prompt tokens that weigh as much as one more request of a short prompt.
constexpr double tokens_per_unit = 16'000;

} // namespace

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15ULL);
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

std::uint64_t stable_hash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

double route_weight(const route_request& request)
{
    return 1.0 + request.prompt_tokens / tokens_per_unit;
}

endpoint_state* rendezvous(std::span<endpoint_state* const> pool, std::uint64_t hash)
{
    endpoint_state* best = nullptr;
    std::uint64_t best_score = 0;
    for (endpoint_state* endpoint : pool) {
        const std::uint64_t score = mix(endpoint->hash, hash);
        if (best == nullptr || score > best_score) {
            best = endpoint;
            best_score = score;
        }
    }
    return best;
}

void refresh_long_subset(service_state& service, double share)
{
    if (service.subset_generation == service.generation) {
        return;
    }
    service.subset_generation = service.generation;
    service.long_members.clear();
    std::unordered_map<const domain_state*, std::vector<endpoint_state*>> by_domain;
    for (endpoint_state* endpoint : service.members) {
        by_domain[endpoint->domain].push_back(endpoint);
    }
    const std::uint64_t salt = stable_hash(service.name);
    for (auto& [domain, endpoints] : by_domain) {
        const auto count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(endpoints.size())));
        const auto higher = [salt](const endpoint_state* left, const endpoint_state* right) {
            return mix(left->hash, salt) > mix(right->hash, salt);
        };
        std::sort(endpoints.begin(), endpoints.end(), higher);
        endpoints.resize(std::min(endpoints.size(), count));
        service.long_members.insert(service.long_members.end(), endpoints.begin(), endpoints.end());
    }
    const auto by_name = [](const endpoint_state* left, const endpoint_state* right) {
        return left->info.name < right->info.name;
    };
    std::sort(service.long_members.begin(), service.long_members.end(), by_name);
}

double decayed_load(const endpoint_state& endpoint, time_point now, clock::duration half_life)
{
    const std::uint32_t load = endpoint.load.running + endpoint.load.queued;
    if (load == 0) {
        return 0;
    }
    const std::chrono::duration<double> age = now - endpoint.reported;
    const double halves = std::max(0.0, age / std::chrono::duration<double>(half_life));
    return halves > 30 ? 0 : load * std::exp2(-halves);
}

void eject(endpoint_state& endpoint, const router_options& options, time_point now)
{
    const auto& members = endpoint.service->members;
    const auto ejected = std::count_if(members.begin(), members.end(), [now](const endpoint_state* member) {
        return member->ejected_until > now;
    });
    endpoint.failures = 0;
    if (static_cast<double>(ejected + 1) > options.ejected_share * static_cast<double>(members.size())) {
        return;
    }
    const std::uint32_t doublings = std::min(endpoint.ejections, 16U);
    const auto length = options.first_ejection * (std::int64_t{1} << doublings);
    endpoint.ejected_until = now + std::min<clock::duration>(length, options.longest_ejection);
    ++endpoint.ejections;
}

} // namespace verbena::policy::detail
