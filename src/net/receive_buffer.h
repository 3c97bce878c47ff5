#pragma once

#include "net/asio.h"

namespace verbena::net {

// Receive buffers of the kernel, in bytes. They count for the memory that a process may use, and the kernel
// lets one grow to several MB if it is left to choose. It reserves twice the set size for its own overhead.
inline constexpr int http_receive_buffer = 32 * 1024;
inline constexpr int peer_receive_buffer = 128 * 1024;

// Bounds the bytes that wait to be read from a connection while this process is late. Set before the
// connection is made, or on the acceptor, whose connections inherit it. Errors are ignored: without the bound
// the kernel chooses the size.
template <typename Socket>
void set_receive_buffer(Socket& socket, int bytes)
{
    error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

} // namespace verbena::net
