#include "base/memory_bound.h"

#include <algorithm>

namespace verbena {

namespace {

constexpr std::uint64_t held_share = 6;

} // namespace

std::uint64_t held_bytes_bound(std::uint64_t wanted, std::uint64_t memory)
{
    return memory == 0 ? wanted : std::min(wanted, std::max<std::uint64_t>(memory / held_share, 1));
}

} // namespace verbena
