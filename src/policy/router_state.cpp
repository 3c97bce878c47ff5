#include "policy/router_state.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace verbena::policy::detail {

namespace {

// Prompt tokens that add as much load as one more short request.
constexpr double tokens_per_request = 4'000;

// Weight of the work of longer length classes, which are scheduled after the request's own.
constexpr double longer_class_weight = 0.1;

// Rounds a fraction of the endpoints to a whole number, at least one.
std::size_t rounded_fraction(std::size_t count, double share)
{
    const auto rounded = std::lround(share * static_cast<double>(count));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(rounded, 1L)), 1, count);
}

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

double waiting_weight(const route_request& request)
{
    return 1.0 + request.prompt_tokens / tokens_per_request;
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

void refresh_subsets(service_state& service, const router_options& options)
{
    if (service.subset_generation == service.generation) {
        return;
    }
    service.subset_generation = service.generation;
    service.long_members.clear();
    service.medium_members.clear();
    service.short_members.clear();
    std::unordered_map<const domain_state*, std::vector<endpoint_state*>> by_domain;
    for (endpoint_state* endpoint : service.members) {
        by_domain[endpoint->domain].push_back(endpoint);
    }
    const std::uint64_t salt = stable_hash(service.name);
    const auto higher = [salt](const endpoint_state* left, const endpoint_state* right) {
        return mix(left->hash, salt) > mix(right->hash, salt);
    };
    for (auto& [domain, endpoints] : by_domain) {
        std::sort(endpoints.begin(), endpoints.end(), higher);
        const std::size_t long_count = rounded_fraction(endpoints.size(), options.long_subset_share);
        const std::size_t medium_count = rounded_fraction(endpoints.size(), options.medium_subset_share);
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            if (i < long_count) {
                service.long_members.push_back(endpoints[i]);
            }
            (i < medium_count ? service.medium_members : service.short_members).push_back(endpoints[i]);
        }
    }
    for (auto* subset : {&service.long_members, &service.medium_members, &service.short_members}) {
        std::sort(subset->begin(), subset->end(),
                  [](const endpoint_state* left, const endpoint_state* right) {
                      return left->info.name < right->info.name;
                  });
    }
}

double competing_work(const endpoint_state& endpoint, length_class length)
{
    double sum = 0;
    for (std::size_t i = 0; i < length_class_count; ++i) {
        sum += endpoint.work[i] * (i <= static_cast<std::size_t>(length) ? 1 : longer_class_weight);
    }
    return sum;
}

double decayed_load(const endpoint_state& endpoint, time_point now, clock::duration half_life)
{
    const double load = answering_weight * endpoint.load.running + endpoint.load.queued;
    if (load <= 0) {
        return 0;
    }
    const std::chrono::duration<double> age = now - endpoint.reported;
    const double half_lives = std::max(0.0, age / std::chrono::duration<double>(half_life));
    return half_lives > 30 ? 0 : load * std::exp2(-half_lives);
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
