#pragma once

#include "base/settings.h"
#include "net/asio.h"

namespace verbena::net {

// Converts a configured address to a TCP endpoint. The host must be an IP address; names are not resolved.
result<tcp::endpoint> to_tcp_endpoint(const host_port& address);

// Opens a listening socket with SO_REUSEADDR.
result<tcp::acceptor> open_acceptor(asio::io_context& io, const host_port& address);

// The same for a server process that starts. An address that is still in use is waited for, up to a bound or
// until the process is asked to stop: a predecessor may be in its grace period, or an outgoing connection of
// another process may use the port.
result<tcp::acceptor> await_acceptor(asio::io_context& io, const host_port& address);

} // namespace verbena::net
