#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>

namespace verbena::test {

// Reads a number from an environment variable.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t standard)
{
    const char* text = std::getenv(name);
    return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

template <typename Counts>
struct schedule_totals {
    std::uint64_t schedules = 0; // number of seeds that were asked for
    Counts counts;
};

// Runs the schedules of the first `standard_count` seeds and reports what each of them violates; stops after
// five that fail. VERBENA_RAFT_SEED and VERBENA_RAFT_COUNT select other seeds for longer manual runs.
template <typename Schedule, typename Counts>
schedule_totals<Counts> run_schedules(std::uint64_t standard_count)
{
    const std::uint64_t first = number_from_environment("VERBENA_RAFT_SEED", 1);
    schedule_totals<Counts> total{number_from_environment("VERBENA_RAFT_COUNT", standard_count), {}};
    int failures = 0;
    for (std::uint64_t seed = first; seed < first + total.schedules && failures < 5; ++seed) {
        Schedule schedule(seed);
        const auto violations = schedule.run();
        for (const std::string& line : violations) {
            BOOST_ERROR("seed " << seed << ": " << line);
        }
        failures += violations.empty() ? 0 : 1;
        total.counts.add(schedule.counts());
    }
    return total;
}

} // namespace verbena::test
