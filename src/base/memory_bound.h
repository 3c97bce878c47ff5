#pragma once

#include <cstdint>

namespace verbena {

// Bytes of answers, or of request bodies, that a process may hold for its callers: `wanted`, or less if the
// process may use little memory. `memory`: what it may use, in bytes; 0 = not known. The rest is for unread
// bytes in the kernel, which count as well, and for the process itself.
std::uint64_t held_bytes_bound(std::uint64_t wanted, std::uint64_t memory);

} // namespace verbena
