#pragma once

#include <cstddef>

namespace verbena {

// Connections of callers that a process may hold, of `wanted`: three quarters of its file descriptors. The
// rest is left for endpoints, peers and files, without which it could serve none of them. `descriptors`: as
// in the settings; 0 = the limit of the process.
std::size_t caller_connections(std::size_t wanted, std::size_t descriptors);

} // namespace verbena
