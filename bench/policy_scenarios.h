#pragma once

#include "bench/policy_cluster.h"

#include <string>
#include <vector>

namespace verbena::bench {

// One measured value and its target, if the design sets one.
struct figure {
    std::string name;
    double value = 0;
    enum class target : std::uint8_t { none, at_most, at_least } kind = target::none;
    double bound = 0;

    bool met() const;
};

struct scenario_size {
    std::uint64_t seed = 1;
    clock::duration length = std::chrono::seconds(300);
    std::uint32_t endpoints = 20;
};

// Runs one setup under the conditions described by the name.
struct scenario {
    std::string name;
    std::vector<figure> (*run)(const setup&, const scenario_size&);
};

// Time to first token by prompt length at 0.7 of the capacity.
std::vector<figure> plain_load(const setup& chosen, const scenario_size& size);
// Latency of short requests next to medium and long ones at 0.7 of the capacity, relative to the same short
// load alone.
std::vector<figure> short_beside_long(const setup& chosen, const scenario_size& size);
// Throughput of long requests next to short and medium ones at 0.7 of the capacity, relative to the same long
// load alone. Runs three times as long as the other scenarios.
std::vector<figure> long_beside_short(const setup& chosen, const scenario_size& size);
// Load of 1.5 times the capacity.
std::vector<figure> overload(const setup& chosen, const scenario_size& size);
// A failure domain is taken out after a third of the run and returns after two thirds, at 0.8 of the
// capacity.
std::vector<figure> domain_out(const setup& chosen, const scenario_size& size);
// Six endpoints become cold at different times, at 0.6 of the capacity.
std::vector<figure> turning_cold(const setup& chosen, const scenario_size& size);
// Load reports are delayed by 2 s and half of them are lost, at 0.7 of the capacity.
std::vector<figure> lagging_reports(const setup& chosen, const scenario_size& size);
// One large team reads its answers at 20 B/s, at 0.7 of the capacity.
std::vector<figure> slow_readers(const setup& chosen, const scenario_size& size);
// One large team sends twice its share while the others send 0.9 of theirs; compared with the same run
// without the large team.
std::vector<figure> team_over_share(const setup& chosen, const scenario_size& size);

std::vector<scenario> all_scenarios();

// Baselines and policies that the bench compares.
std::vector<setup> all_setups();
setup design_setup();

} // namespace verbena::bench
