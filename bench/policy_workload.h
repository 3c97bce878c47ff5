#pragma once

#include "base/random.h"
#include "base/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbena::bench {

// One request of the workload.
struct job_spec {
    std::uint64_t number = 0;
    std::uint32_t team = 0;
    bool order = false; // a call to the order desk, which must not be repeated
    length_class length = length_class::short_prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t output_tokens = 1;
    std::uint64_t prefix_hash = 0;
    double reader_bytes_per_second = 0; // 0: reads at once
    clock::duration arrival{};          // since the start of the run
    clock::duration time_limit{};
};

inline constexpr std::uint32_t team_count = 10;

// Weight of a team's share; the first three teams are large.
inline double team_weight(std::uint32_t team)
{
    return team < 3 ? 4.0 : 1.0;
}

std::string team_name(std::uint32_t team);

// Requests per second by kind; streams of one seed are the same whatever the others are.
struct workload_options {
    std::uint64_t seed = 1;
    clock::duration length = std::chrono::seconds(120);
    double short_rate = 0;
    double medium_rate = 0;
    double long_rate = 0;
    double order_rate = 0;
    // Factor of each team's load against its share; 0 leaves the team out.
    std::vector<double> team_factors = std::vector<double>(team_count, 1.0);
};

// Requests in the order of arrival. Prompts are log-uniform inside their class: 1k to 8k, 8k to 100k, 100k to
// 1M.
std::vector<job_spec> make_workload(const workload_options& options);

// Options with the mix of 80% short, 18% medium and 2% long, scaled to this many requests per second.
workload_options mixed_load(std::uint64_t seed, clock::duration length, double rate);

// Prefill tokens that an endpoint processes per second, and the mean that fit per request of the mix.
inline constexpr double endpoint_tokens_per_second = 512 / 0.035;

// Requests per second of the mix that this many endpoints can carry.
double mixed_capacity(double endpoints);

} // namespace verbena::bench
