#pragma once

#include "base/settings.h"
#include "net/asio.h"

namespace verbena::net {

// Converts settings to a TCP endpoint. Only IP addresses are accepted: processes talk by IP number.
result<tcp::endpoint> to_tcp_endpoint(const host_port& address);

// Opens a listening socket with address reuse.
result<tcp::acceptor> open_acceptor(asio::io_context& io, const host_port& address);

} // namespace verbena::net
