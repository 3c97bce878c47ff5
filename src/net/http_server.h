#pragma once

#include "base/metrics.h"
#include "base/settings.h"
#include "net/asio.h"
#include "net/request_gate.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbena::net {

// Limits on the memory and time that clients can take from the server.
struct http_limits {
    std::uint32_t max_header = 16 * 1024;
    std::uint64_t max_body = 8 * 1024 * 1024;
    // Total size of the request bodies held over all connections, in bytes.
    std::uint64_t max_total_body = 512 * 1024 * 1024;
    milliseconds header_timeout{10'000};
    milliseconds body_timeout{60'000};
    // Lowest accepted average upload rate, in bytes per second.
    std::uint32_t min_body_rate = 4'096;
    // The rate is checked only after this time, so that a pause at the start of a body is tolerated.
    milliseconds body_rate_grace{5'000};
    // A client that reads no byte for this long is disconnected.
    milliseconds write_timeout{30'000};
    milliseconds idle_timeout{60'000};
    std::size_t max_connections = 20'000;
};

using http_fields = boost::beast::http::fields;
using http_header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method;
    std::string target;
    http_fields headers;
    std::string body;

    // Returns the value of a header, or an empty string when it is absent.
    std::string_view header(std::string_view name) const;
};

struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    http_header_list headers;
};

class http_server;

// One request and its response, which is sent either by reply() or by start_stream(), write() and finish().
// If a handler returns without finishing, the connection is closed without the last chunk, so a client never
// takes a partial response for a complete one.
class http_exchange {
public:
    http_exchange(http_server& server, boost::beast::tcp_stream& stream, http_request request,
                  bool keep_alive);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange() = default;

    const http_request& request() const { return m_request; }
    http_request& request() { return m_request; }

    // reply() and start_stream() write nothing and fail with `conflict` when a response has started.
    task<result<void>> reply(http_response response);
    task<result<void>> start_stream(unsigned status, std::string content_type, http_header_list headers);
    // Writes one chunk. Returns when the socket has accepted it; fails when the client reads nothing within
    // the write timeout.
    task<result<void>> write(std::string_view data);
    task<result<void>> finish();

    bool started() const { return m_started; }
    bool finished() const { return m_finished; }
    bool keep_alive() const { return m_finished && m_keep_alive; }

    // Completes with true when the client has closed its side, so that work without a recipient can be
    // cancelled. Completes with false when the client sends more data instead. The code that awaits this sets
    // `ended` before the exchange is destroyed and then calls cancel_wait() to end the wait.
    task<bool> wait_closed(std::shared_ptr<bool> ended);
    void cancel_wait();

private:
    task<result<void>> write_all(std::string_view data);
    // Decides whether the connection closes after the response.
    std::string head_text(unsigned status, std::string_view content_type, const http_header_list& headers);

    http_server& m_server;
    boost::beast::tcp_stream& m_stream;
    http_request m_request;
    bool m_keep_alive;
    bool m_started = false;
    bool m_finished = false;
};

// Handles requests. Called on the strand of each connection, for several connections concurrently.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    virtual task<void> handle(http_exchange& exchange) = 0;

    // Builds the response to a request that the server itself refuses (malformed, too large, too slow).
    virtual http_response refuse(unsigned status, const std::string& kind, const std::string& message,
                                 const std::string& remedy);
};

// HTTP/1.1 server on Boost.Beast with limits for slow clients and large requests. Each connection runs on its
// own strand.
class http_server : public std::enable_shared_from_this<http_server> {
public:
    static result<std::shared_ptr<http_server>> create(asio::io_context& io, const host_port& address,
                                                       const http_limits& limits, http_handler& handler,
                                                       metrics& counters, std::string name);

    void start();

    // Accepts the connections that wait in the accept queue, then closes the listener, and closes idle
    // connections. Requests in progress are completed, and their connections close after the response.
    void stop_accepting();

    // Number of requests in work, from the first byte to the time when the client's machine has acknowledged
    // the whole response.
    std::size_t active_requests() const { return m_gate.active(); }

    // Waits until no request is in work, at most until `end`, and then ends the admission of requests: later
    // ones are refused with 503 and do not reach the handler. Returns whether no request was in work then.
    task<bool> close_when_idle(time_point end);

    // Waits until no request is in work, at most until `end`.
    task<bool> wait_idle(time_point end);

    // Number of requests that were refused because the admission had ended.
    std::size_t late_requests() const { return m_late.load(); }
    std::size_t connections() const { return m_connections.load(); }
    http_limits limits() const;
    // Applies to requests and writes that start after the call.
    void set_limits(const http_limits& limits);

    // Open connections close after their next response; new connections are still accepted.
    void close_after_responses() { m_closing = true; }
    bool stopping() const { return m_stopping.load() || m_closing.load(); }
    std::uint16_t port() const { return m_port; }

    http_server(asio::io_context& io, tcp::acceptor acceptor, const http_limits& limits,
                http_handler& handler, metrics& counters, std::string name);

private:
    enum class next_step { next_request, close, linger };

    struct connection_state;
    struct refusal;
    struct upload;

    task<void> accept_loop();
    void accept_waiting();
    void admit(tcp::socket socket);
    void close_idle();
    task<void> serve(tcp::socket socket, request_gate::pass entered);
    // Reads one request and responds to it.
    task<next_step> serve_one(connection_state& connection);
    // Waits for the first bytes of a request. Returns false when the connection ends instead.
    task<bool> wait_request(connection_state& connection);
    // Returns the refusal of a body that is too large, malformed or too slow; empty when the body is
    // complete.
    task<std::optional<refusal>> read_body(connection_state& connection, upload& received);
    task<next_step> refuse(connection_state& connection, refusal reason);
    // Ends a connection after a response: shuts down the sending side, and reads and discards what the client
    // still sends until it closes its side, since the kernel would drop unread parts of the response
    // otherwise.
    task<void> linger(connection_state& connection);
    void count(const char* event);

    // A connection that waits for a request.
    struct idle_connection {
        asio::any_io_executor executor;
        time_point since;
        bool closing = false; // to make room for another one
    };

    void close_idle(connection_state* idle, const asio::any_io_executor& executor);
    // Makes room for a connection that has been accepted at the limit.
    void close_longest_idle();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    // Guards m_idle, the connections that wait for a request. Last in the lock order.
    std::mutex m_idle_mutex;
    std::unordered_map<connection_state*, idle_connection> m_idle;
    mutable std::mutex m_limits_mutex;
    http_limits m_limits;
    http_handler& m_handler;
    metrics& m_metrics;
    std::string m_name;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_closing{false};
    request_gate m_gate;
    // Keeps the server busy while it accepts the last connections; used on the executor of the acceptor.
    std::optional<request_gate::pass> m_accepting;
    std::atomic<std::size_t> m_late{0};
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::uint64_t> m_body_bytes{0};
};

} // namespace verbena::net
