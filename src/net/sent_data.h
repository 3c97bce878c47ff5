#pragma once

#include "base/types.h"
#include "net/asio.h"

#include <functional>
#include <optional>

namespace verbena::net {

// Waits until the peer's machine has acknowledged all bytes of the connection; an error if the connection has
// ended before. Tells a peer that has ended its own side and goes on reading from one that has closed the
// connection: the latter's machine answers the next byte with a reset. `written` returns how the last write
// has ended, and nothing while it is pending. Ends with an error when the socket is closed, or at the
// deadline.
task<error_code> await_acknowledgement(tcp::socket& socket,
                                       std::function<std::optional<error_code>()> written,
                                       time_point deadline = time_point::max());

} // namespace verbena::net
