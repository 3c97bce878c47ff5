#pragma once

#include "net/asio.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

// A client on a plain socket: HTTP client libraries hide how a connection ends.
class raw_client {
public:
    explicit raw_client(verbena::net::asio::io_context& io) : m_socket(io) {}

    // `receive_buffer` limits what the kernel takes of a response that is not read; 0 leaves its size as it
    // is.
    verbena::net::task<void> connect(std::uint16_t port, int receive_buffer = 0)
    {
        const verbena::net::tcp::endpoint peer(verbena::net::asio::ip::make_address("127.0.0.1"), port);
        verbena::net::error_code ignored;
        m_socket.open(verbena::net::tcp::v4(), ignored);
        if (receive_buffer != 0) {
            m_socket.set_option(verbena::net::tcp::socket::receive_buffer_size(receive_buffer), ignored);
        }
        co_await m_socket.async_connect(peer, verbena::net::no_throw);
    }

    // Returns false when the connection fails before all bytes are sent.
    verbena::net::task<bool> send(std::string bytes)
    {
        auto [failure, size] = co_await verbena::net::asio::async_write(
            m_socket, verbena::net::asio::buffer(bytes), verbena::net::no_throw);
        co_return !failure;
    }

    // Reads until the received text contains `end`. Returns false when the connection ends first.
    verbena::net::task<bool> read_until(std::string end)
    {
        while (text.find(end) == std::string::npos) {
            const bool has_data = co_await read_some();
            if (!has_data) {
                co_return false;
            }
        }
        co_return true;
    }

    // Reads until the connection ends. Returns true when the server has closed it gracefully, without a
    // reset.
    verbena::net::task<bool> read_to_end()
    {
        while (true) {
            const bool has_data = co_await read_some();
            if (!has_data) {
                co_return m_failure == verbena::net::asio::error::eof;
            }
        }
    }

    std::string text;

private:
    verbena::net::task<bool> read_some()
    {
        std::array<char, 4096> bytes{};
        auto [failure, size] =
            co_await m_socket.async_read_some(verbena::net::asio::buffer(bytes), verbena::net::no_throw);
        m_failure = failure;
        text.append(bytes.data(), size);
        co_return !failure;
    }

    verbena::net::tcp::socket m_socket;
    verbena::net::error_code m_failure;
};
