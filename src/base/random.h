#pragma once

#include "base/types.h"

#include <random>

namespace verbena {

// Seeded generator passed to every module that needs randomness, so that tests are reproducible.
using random_engine = std::mt19937_64;

// A 64-bit number from the operating system's entropy source; never 0, which means "any" in frames.
inline incarnation make_incarnation()
{
    std::random_device device;
    const std::uint64_t value = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return value == 0 ? 1 : value;
}

inline request_id make_request_id(random_engine& engine)
{
    return request_id{engine(), engine()};
}

} // namespace verbena
