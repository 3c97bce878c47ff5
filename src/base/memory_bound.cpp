#include "base/memory_bound.h"

#include <algorithm>

namespace verbena {

namespace {

// The part of the memory, as its divisor, for answers; as much again is for request bodies.
constexpr std::uint64_t held_share_divisor = 6;

} // namespace

std::uint64_t held_bytes_bound(std::uint64_t wanted, std::uint64_t memory)
{
    return memory == 0 ? wanted : std::min(wanted, std::max<std::uint64_t>(memory / held_share_divisor, 1));
}

} // namespace verbena
