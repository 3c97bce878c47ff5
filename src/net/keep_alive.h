#pragma once

#include "net/asio.h"

#include <chrono>

namespace verbena::net {

// Lets the kernel probe a connection that has been idle for `interval`, and end it when `probes` probes in a
// row, `interval` apart, have no answer. Errors are ignored: without probes the connection only ends later.
void set_keep_alive(tcp::socket& socket, std::chrono::seconds interval, int probes);

} // namespace verbena::net
