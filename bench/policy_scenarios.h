#pragma once

#include "bench/policy_cluster.h"

#include <string>
#include <vector>

namespace verbena::bench {

// One measured value and, when the design sets one, its target.
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

// A scenario runs one setup under the conditions that its name says.
struct scenario {
    std::string name;
    std::vector<figure> (*run)(const setup&, const scenario_size&);
};

// Time to first token by prompt length at 0.7 of the capacity.
std::vector<figure> plain_load(const setup& chosen, const scenario_size& size);
// Short requests beside medium and long ones at 0.7 of the capacity, against the same short load alone.
std::vector<figure> short_beside_long(const setup& chosen, const scenario_size& size);
// Long requests beside short and medium ones at 0.7 of the capacity, against the same long load alone, in
// three times the length of the other scenarios.
std::vector<figure> long_beside_short(const setup& chosen, const scenario_size& size);
// 1.5 times the capacity.
std::vector<figure> overload(const setup& chosen, const scenario_size& size);
// A failure domain leaves after a third of the run and returns after two thirds, at 0.8 of the capacity.
std::vector<figure> domain_out(const setup& chosen, const scenario_size& size);
// Six endpoints turn cold at different times, at 0.6 of the capacity.
std::vector<figure> turning_cold(const setup& chosen, const scenario_size& size);
// Load reports arrive 2 s late and half of them never, at 0.7 of the capacity.
std::vector<figure> lagging_reports(const setup& chosen, const scenario_size& size);
// A large team reads its answers at 20 B/s, at 0.7 of the capacity.
std::vector<figure> slow_readers(const setup& chosen, const scenario_size& size);
// One large team at twice its share beside teams at 0.9 of theirs, against the same run without it.
std::vector<figure> team_over_share(const setup& chosen, const scenario_size& size);

std::vector<scenario> all_scenarios();

// The baselines and policies that the bench compares.
std::vector<setup> all_setups();
setup design_setup();

} // namespace verbena::bench
