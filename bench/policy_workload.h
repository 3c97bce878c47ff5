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
    bool order = false; // a call to the order service, which must not be repeated
    length_class length = length_class::short_prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t output_tokens = 1;
    std::uint64_t prefix_hash = 0;
    double reader_bytes_per_second = 0; // 0: reads without delay
    clock::duration arrival{};          // since the start of the run
    clock::duration time_limit{};
};

inline constexpr std::uint32_t team_count = 10;

// Weight of the team's share. The first three teams are large.
inline double team_weight(std::uint32_t team)
{
    return team < 3 ? 4.0 : 1.0;
}

std::string team_name(std::uint32_t team);

// Rates are in requests per second. With equal seeds, the requests of one kind and team do not depend on the
// rates of the others.
struct workload_options {
    std::uint64_t seed = 1;
    clock::duration length = std::chrono::seconds(120);
    double short_rate = 0;
    double medium_rate = 0;
    double long_rate = 0;
    double order_rate = 0;
    // Load of each team relative to its share; 0 excludes the team.
    std::vector<double> team_factors = std::vector<double>(team_count, 1.0);
};

// Requests in the order of arrival. Prompt lengths are log-uniform within their class: 1k to 8k, 8k to 100k,
// 100k to 1M tokens.
std::vector<job_spec> make_workload(const workload_options& options);

// Options with a mix of 80% short, 18% medium and 2% long requests at the given total rate, in requests per
// second.
workload_options mixed_load(std::uint64_t seed, clock::duration length, double rate);

// Prefill throughput of one endpoint: chunks of 512 tokens in steps of 35 ms.
inline constexpr double endpoint_tokens_per_second = 512 / 0.035;

// Rate of the mix, in requests per second, that this many endpoints can serve.
double mixed_capacity(double endpoints);

} // namespace verbena::bench
