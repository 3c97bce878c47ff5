#pragma once

#include "net/http_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <optional>

// The state of one connection of an HTTP server.
namespace verbena::net {

namespace detail {

// Cancellation has no effect between two reads of one composed operation, so it is repeated at this interval.
inline constexpr milliseconds cancel_interval{10};

using body_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

// Accounts for the bytes of one growing request body in the total over all connections.
class body_reservation {
public:
    explicit body_reservation(std::atomic<std::uint64_t>& total) : m_total(total) {}
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;
    ~body_reservation() { m_total -= m_held; }

    std::uint64_t set(std::uint64_t bytes)
    {
        m_total += bytes - m_held;
        m_held = bytes;
        return m_total.load();
    }

private:
    std::atomic<std::uint64_t>& m_total;
    std::uint64_t m_held = 0;
};

// Cancels the reads of a connection at a deadline but leaves the socket open, so that a response can still be
// written; the timeout of beast::tcp_stream would close the socket. Used on the strand of the connection.
class read_deadline {
public:
    explicit read_deadline(boost::beast::tcp_stream& stream) : m_state(std::make_shared<state>(stream))
    {
        asio::co_spawn(
            stream.get_executor(), [shared = m_state] { return watch(shared); }, asio::detached);
    }
    read_deadline(const read_deadline&) = delete;
    read_deadline& operator=(const read_deadline&) = delete;
    ~read_deadline()
    {
        m_state->ended = true;
        m_state->timer.cancel();
    }

    void set(time_point deadline)
    {
        m_state->expired = false;
        m_state->deadline = deadline;
        // A later deadline needs no new wait: watch() checks it when the timer fires.
        if (deadline < m_state->timer.expiry()) {
            m_state->timer.cancel();
        }
    }

    void clear() { set(time_point::max()); }

    bool expired() const { return m_state->expired; }

private:
    struct state {
        explicit state(boost::beast::tcp_stream& read_stream)
            : stream(read_stream), timer(read_stream.get_executor())
        {
        }

        boost::beast::tcp_stream& stream;
        steady_timer timer;
        time_point deadline = time_point::max();
        bool expired = false;
        bool ended = false;
    };

    static task<void> watch(std::shared_ptr<state> shared)
    {
        while (!shared->ended) {
            shared->timer.expires_at(shared->deadline);
            co_await shared->timer.async_wait(no_throw);
            if (!shared->ended && clock::now() >= shared->deadline) {
                shared->expired = true;
                shared->deadline = clock::now() + cancel_interval;
                error_code ignored;
                shared->stream.socket().cancel(ignored);
            }
        }
    }

    std::shared_ptr<state> m_state;
};

} // namespace detail

struct http_server::connection_state {
    connection_state(tcp::socket socket, std::size_t buffer_limit, request_gate::pass entered)
        : stream(std::move(socket)), buffer(buffer_limit), deadline(stream), pass(std::move(entered))
    {
    }

    // Counts the connection as busy.
    void enter(request_gate& gate)
    {
        if (!pass) {
            pass = gate.enter();
        }
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    detail::read_deadline deadline;
    std::optional<request_gate::pass> pass; // empty while the connection is idle
    bool answered = false;
};

// A request whose body is being received.
struct http_server::upload {
    explicit upload(std::atomic<std::uint64_t>& total) : reservation(total) {}

    detail::body_parser parser;
    detail::body_reservation reservation;
};

struct http_server::refusal {
    unsigned status;
    const char* kind;
    const char* message;
    const char* remedy;

    static refusal stopping()
    {
        return {503, "stopping", "the request has not run: this server is stopping",
                "send the request again"};
    }

    static refusal slow(const char* message)
    {
        return {408, "slow_sender", message, "send the request faster"};
    }

    static refusal for_failure(const error_code& failure)
    {
        if (failure == boost::beast::http::error::header_limit) {
            return {431, "headers_too_large", "the request headers are too large",
                    "send fewer or shorter headers"};
        }
        if (failure == boost::beast::http::error::body_limit) {
            return {413, "body_too_large", "the request body is too large", "send a shorter prompt"};
        }
        return {400, "malformed_http", "the request is not valid HTTP",
                "check the client's HTTP implementation"};
    }
};

} // namespace verbena::net
