#pragma once

#include <cstddef>

namespace verbena::net {

// Bytes of a peer's answer that are held until they can be parsed: its head, the header of a chunk or a
// trailer. More without progress is no answer, and the connection is closed. With all descriptors of a
// process in use for such answers they take 64 MB.
inline constexpr std::size_t max_unparsed_bytes = 16 * 1024;

} // namespace verbena::net
