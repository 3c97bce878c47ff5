#pragma once

#include "net/asio.h"

#include <chrono>

namespace verbena::net {

// Lets the kernel probe a connection that has been idle for `interval`, and end it when `probes` probes in a
// row, `interval` apart, have no answer. Errors are ignored: without probes the connection only ends later.
//
// The kernel sends no probes while bytes are unacknowledged or unsent; the connection to a machine that has
// lost power then ends when the kernel gives up sending them again. TCP_USER_TIMEOUT is left unset: as tcp(7)
// documents, it also bounds the time for which bytes wait because the peer's window is zero, so it would cut
// a peer whose machine acknowledges and whose process does not read.
void set_keep_alive(tcp::socket& socket, std::chrono::seconds interval, int probes);

} // namespace verbena::net
