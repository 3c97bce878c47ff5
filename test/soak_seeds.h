#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

// First and last seed of a soak. VERBENA_SOAK_SEEDS=FIRST-LAST runs other seeds than the default, which CI
// uses.
inline std::pair<std::uint64_t, std::uint64_t> soak_seeds()
{
    const char* range = std::getenv("VERBENA_SOAK_SEEDS"); // NOLINT(concurrency-mt-unsafe): before any thread
    if (range == nullptr) {
        return {1, 3};
    }
    const std::string text(range);
    return {std::stoull(text), std::stoull(text.substr(text.find('-') + 1))};
}

// Runs a soak, which is made from its seed, with each of these seeds.
template <typename Run>
void run_soak()
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        Run(seed).run();
    }
}
