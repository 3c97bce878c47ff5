#pragma once

#include "base/settings.h"
#include "net/asio.h"

namespace verbena::net {

// Converts a configured address to a TCP endpoint. The host must be an IP address; names are not resolved.
result<tcp::endpoint> to_tcp_endpoint(const host_port& address);

// Opens a listening socket with SO_REUSEADDR.
result<tcp::acceptor> open_acceptor(asio::io_context& io, const host_port& address);

} // namespace verbena::net
