#pragma once

#include "base/metrics.h"
#include "base/settings.h"
#include "net/asio.h"

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

// Bounds on what one caller can make the server hold or wait for.
struct http_limits {
    std::uint32_t max_header = 16 * 1024;
    std::uint64_t max_body = 8 * 1024 * 1024;
    // Bodies of all connections together that are still being received, in bytes.
    std::uint64_t max_total_body = 512 * 1024 * 1024;
    milliseconds header_timeout{10'000};
    milliseconds body_timeout{60'000};
    // Upload rate in bytes per second below which a sender is refused.
    std::uint32_t min_body_rate = 4'096;
    // The rate counts only after this time, so that a pause at the start of a body does no harm.
    milliseconds body_rate_grace{5'000};
    // A reader that takes no byte for this long is disconnected.
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

    // Value of a header, empty when it is absent.
    std::string_view header(std::string_view name) const;
};

struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    http_header_list headers;
};

class http_server;

// One request and the way to answer it, either by reply() or by start_stream(), write() and finish(). A
// handler that returns without finishing closes the connection without the last chunk, so a caller never
// takes a part for the whole.
class http_exchange {
public:
    http_exchange(http_server& server, boost::beast::tcp_stream& stream, http_request request,
                  bool keep_alive);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange() = default;

    const http_request& request() const { return m_request; }
    http_request& request() { return m_request; }

    task<result<void>> reply(http_response response);
    task<result<void>> start_stream(unsigned status, std::string content_type, http_header_list headers);
    // Writes one chunk. Returns when the socket has taken it; fails when the reader takes nothing for the
    // write timeout.
    task<result<void>> write(std::string_view data);
    task<result<void>> finish();

    bool started() const { return m_started; }
    bool finished() const { return m_finished; }
    bool keep_alive() const { return m_finished && m_keep_alive; }

    // Completes when the caller has closed its side; used to cancel work nobody waits for. Ends early, with
    // false, when the caller sends more data instead.
    // `ended` is set by the caller of this function before the exchange is destroyed; cancel_wait() then ends
    // the wait.
    task<bool> wait_closed(std::shared_ptr<bool> ended);
    void cancel_wait();

private:
    task<result<void>> write_all(std::string_view data);
    std::string head_text(unsigned status, std::string_view content_type,
                          const http_header_list& headers) const;

    http_server& m_server;
    boost::beast::tcp_stream& m_stream;
    http_request m_request;
    bool m_keep_alive;
    bool m_started = false;
    bool m_finished = false;
};

// Answers requests. Called on the connection's strand, from several connections at once.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    virtual task<void> handle(http_exchange& exchange) = 0;

    // Reply for a request that the server itself refuses (malformed, too large, too slow).
    virtual http_response refuse(unsigned status, const std::string& kind, const std::string& message,
                                 const std::string& remedy);
};

// HTTP/1.1 server on Boost.Beast with bounds for slow and large callers. Each connection runs on its own
// strand.
class http_server : public std::enable_shared_from_this<http_server> {
public:
    static result<std::shared_ptr<http_server>> create(asio::io_context& io, const host_port& address,
                                                       const http_limits& limits, http_handler& handler,
                                                       metrics& counters, std::string name);

    void start();

    // Closes the listener and the connections without a request; open exchanges go on, and their connections
    // close after the current answer.
    void stop_accepting();

    // Exchanges that are being answered.
    std::size_t active_requests() const { return m_active.load(); }
    std::size_t connections() const { return m_connections.load(); }
    http_limits limits() const;
    // Applies to what is read from now on.
    void set_limits(const http_limits& limits);

    // Open connections close after their next answer; new ones are still taken.
    void close_after_responses() { m_closing = true; }
    bool stopping() const { return m_stopping.load() || m_closing.load(); }
    std::uint16_t port() const { return m_port; }

    http_server(asio::io_context& io, tcp::acceptor acceptor, const http_limits& limits,
                http_handler& handler, metrics& counters, std::string name);

private:
    enum class next_step { next_request, close, drain_and_close };

    struct connection_state;
    struct refusal;
    struct upload;

    task<void> accept_loop();
    void close_idle();
    task<void> serve(tcp::socket socket);
    // Reads and answers one request.
    task<next_step> serve_one(connection_state& connection);
    // Waits for the first bytes of a request; false when the connection ends instead.
    task<bool> wait_request(connection_state& connection);
    // The refusal of a body that is too large, malformed or too slow; nothing when the body is complete.
    task<std::optional<refusal>> read_body(connection_state& connection, upload& received);
    task<next_step> refuse(connection_state& connection, refusal text);
    // Reads and discards what a refused caller still sends.
    static task<void> drain(connection_state& connection);
    void count(const char* event);

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    // Guards the connections that wait for a request. Last in the lock order.
    std::mutex m_idle_mutex;
    std::unordered_map<connection_state*, asio::any_io_executor> m_idle;
    mutable std::mutex m_limits_mutex;
    http_limits m_limits;
    http_handler& m_handler;
    metrics& m_metrics;
    std::string m_name;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_closing{false};
    std::atomic<std::size_t> m_active{0};
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::uint64_t> m_body_bytes{0};
};

} // namespace verbena::net
