#include "net/http_server.h"

#include "net/address.h"
#include "net/http_connection.h"
#include "net/receive_buffer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>

namespace verbena::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Size of the first read of a request, in bytes; the parser reads the rest.
constexpr std::size_t first_read_size = 4'096;

// Limits for reading and discarding input after the last response. Closing a socket with unread bytes makes
// the kernel send a reset, and the client then loses the part of the response that it has not read.
constexpr std::size_t linger_bytes = 1024 * 1024;
constexpr milliseconds linger_time{2'000};

// Interval at which a closing connection is checked for bytes that the client has not acknowledged.
constexpr milliseconds unsent_poll_interval{10};

// Interval at which a stopping server is checked for requests in work.
constexpr milliseconds idle_poll_interval{10};

// Increments a counter for the lifetime of the object.
class scoped_count {
public:
    explicit scoped_count(std::atomic<std::size_t>& counter) : m_counter(counter) { ++m_counter; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    ~scoped_count() { --m_counter; }

private:
    std::atomic<std::size_t>& m_counter;
};

// Returns the number of written bytes that the peer has not acknowledged; 0 once the connection is reset.
std::size_t unsent_bytes(tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        info.tcpi_state == TCP_CLOSE) {
        return 0;
    }
    int bytes = 0;
    return ::ioctl(socket.native_handle(), TIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

bool has_received_bytes(const tcp::socket& socket)
{
    error_code ignored;
    return socket.available(ignored) > 0;
}

http_request to_request(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.headers = std::move(static_cast<http_fields&>(message.base()));
    return request;
}

} // namespace

result<std::shared_ptr<http_server>> http_server::create(asio::io_context& io, const host_port& address,
                                                         const http_limits& limits, http_handler& handler,
                                                         metrics& counters, std::string name)
{
    BOOST_OUTCOME_TRY(tcp::acceptor acceptor, await_acceptor(io, address));
    return std::make_shared<http_server>(io, std::move(acceptor), limits, handler, counters, std::move(name));
}

http_server::http_server(asio::io_context& io, tcp::acceptor acceptor, const http_limits& limits,
                         http_handler& handler, metrics& counters, std::string name)
    : m_io(io), m_acceptor(std::move(acceptor)), m_limits(limits), m_handler(handler), m_metrics(counters),
      m_name(std::move(name)), m_port(m_acceptor.local_endpoint().port())
{
    set_receive_buffer(m_acceptor, http_receive_buffer);
}

http_limits http_server::limits() const
{
    const std::lock_guard lock(m_limits_mutex);
    return m_limits;
}

void http_server::set_limits(const http_limits& limits)
{
    const std::lock_guard lock(m_limits_mutex);
    m_limits = limits;
}

void http_server::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept_loop(); },
        asio::detached);
}

void http_server::stop_accepting()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    asio::post(m_acceptor.get_executor(), [self = shared_from_this(), last = m_gate.enter()]() mutable {
        self->m_accepting = std::move(last);
        error_code ignored;
        self->m_acceptor.cancel(ignored);
    });
    close_idle();
}

task<bool> http_server::close_when_idle(time_point end)
{
    while (!m_gate.close_if_idle()) {
        if (clock::now() >= end) {
            m_gate.close();
            co_return m_gate.active() == 0;
        }
        co_await sleep_for(idle_poll_interval);
    }
    co_return true;
}

task<bool> http_server::wait_idle(time_point end)
{
    while (m_gate.active() != 0) {
        if (clock::now() >= end) {
            co_return false;
        }
        co_await sleep_for(idle_poll_interval);
    }
    co_return true;
}

// A connection is removed from m_idle on its own executor before it ends. Each posted function looks the
// pointer up again, so it uses the connection only while it exists. A connection counts as busy from here on
// until it has ended, since bytes of a request may have arrived meanwhile.
void http_server::close_idle()
{
    const std::lock_guard lock(m_idle_mutex);
    for (const auto& [connection, idle] : m_idle) {
        close_idle(connection, idle.executor);
    }
}

void http_server::close_idle(connection_state* idle, const asio::any_io_executor& executor)
{
    asio::post(executor, [self = shared_from_this(), connection = idle, entered = m_gate.enter()]() mutable {
        const std::lock_guard recheck_lock(self->m_idle_mutex);
        if (self->m_idle.contains(connection)) {
            connection->pass = std::move(entered);
            error_code ignored;
            connection->stream.socket().cancel(ignored);
        }
    });
}

void http_server::count(const char* event)
{
    m_metrics.add("verbena_http_events_total", {{"server", m_name}, {"event", event}});
}

task<void> http_server::accept_loop()
{
    while (!m_stopping) {
        tcp::socket socket(asio::make_strand(m_io));
        auto [failure] = co_await m_acceptor.async_accept(socket, no_throw);
        if (!failure) {
            admit(std::move(socket));
        } else if (!m_stopping) {
            count("accept_failed");
            // Out of file descriptors: wait for connections to close instead of retrying at once.
            co_await sleep_for(milliseconds(50));
        }
    }
    accept_waiting();
    error_code ignored;
    m_acceptor.close(ignored);
    m_accepting.reset();
}

void http_server::accept_waiting()
{
    error_code failure;
    m_acceptor.non_blocking(true, failure);
    while (!failure || failure == asio::error::connection_aborted) {
        tcp::socket socket(asio::make_strand(m_io));
        m_acceptor.accept(socket, failure);
        if (!failure) {
            admit(std::move(socket));
        }
    }
}

void http_server::close_longest_idle()
{
    const std::lock_guard lock(m_idle_mutex);
    const auto longest = std::min_element(m_idle.begin(), m_idle.end(), [](const auto& a, const auto& b) {
        return a.second.closing != b.second.closing ? b.second.closing : a.second.since < b.second.since;
    });
    if (longest != m_idle.end() && !longest->second.closing) {
        longest->second.closing = true;
        count("idle_closed_for_another");
        close_idle(longest->first, longest->second.executor);
    }
}

void http_server::admit(tcp::socket socket)
{
    const std::size_t limit = limits().max_connections;
    // The next connection takes the place of the one that is closed, which may take a moment.
    if (m_connections + 1 >= limit) {
        close_longest_idle();
    }
    if (m_connections >= limit) {
        count("connection_limit");
        return;
    }
    const auto executor = socket.get_executor();
    asio::co_spawn(
        executor,
        [self = shared_from_this(), accepted = std::move(socket), entered = m_gate.enter()]() mutable {
            return self->serve(std::move(accepted), std::move(entered));
        },
        asio::detached);
}

task<void> http_server::serve(tcp::socket socket, request_gate::pass entered)
{
    const scoped_count open_connection(m_connections);
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    connection_state connection(std::move(socket), std::max<std::size_t>(limits().max_header, 64 * 1024) * 2,
                                std::move(entered));
    next_step step = next_step::next_request;
    while (step == next_step::next_request) {
        step = co_await serve_one(connection);
    }
    if (step == next_step::linger) {
        co_await linger(connection);
    } else {
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }
}

task<void> http_server::linger(connection_state& connection)
{
    connection.enter(m_gate);
    tcp::socket& socket = connection.stream.socket();
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_never();
    const milliseconds write_timeout = limits().write_timeout;
    std::vector<char> discarded(first_read_size);
    std::size_t total = 0;
    std::size_t unsent = unsent_bytes(socket);
    time_point end = clock::now() + (unsent == 0 ? linger_time : write_timeout);
    bool client_closed = false; // a read after the end of the input would not return
    while (total < linger_bytes && clock::now() < end) {
        const std::size_t now_unsent = unsent_bytes(socket);
        if (now_unsent != unsent) {
            unsent = now_unsent;
            end = clock::now() + (unsent == 0 ? linger_time : write_timeout);
        }
        if (unsent == 0) {
            connection.pass.reset();
        }
        if (client_closed && unsent == 0) {
            co_return;
        }
        if (client_closed) {
            co_await sleep_for(unsent_poll_interval);
            continue;
        }
        connection.deadline.set(unsent == 0 ? end : std::min(end, clock::now() + unsent_poll_interval));
        auto [failure, size] = co_await connection.stream.async_read_some(asio::buffer(discarded), no_throw);
        total += size;
        client_closed = failure == asio::error::eof;
        if (failure && !client_closed && !connection.deadline.expired()) {
            co_return;
        }
    }
}

task<bool> http_server::wait_request(connection_state& connection)
{
    // The timeout of an earlier write must not close the connection while it is idle.
    connection.stream.expires_never();
    if (connection.buffer.size() > 0) {
        co_return true;
    }
    connection.deadline.set(clock::now() + limits().idle_timeout);
    if (!has_received_bytes(connection.stream.socket())) {
        {
            const std::lock_guard lock(m_idle_mutex);
            m_idle.emplace(&connection, idle_connection{connection.stream.get_executor(), clock::now()});
        }
        // close_idle() has not seen a connection that is added after stop_accepting() was called.
        if (m_stopping) {
            const std::lock_guard lock(m_idle_mutex);
            m_idle.erase(&connection);
            co_return false;
        }
        connection.pass.reset();
    }
    const auto read = [&connection] {
        return connection.stream.async_read_some(connection.buffer.prepare(first_read_size), no_throw);
    };
    auto [failure, size] = co_await read();
    {
        const std::lock_guard lock(m_idle_mutex);
        m_idle.erase(&connection);
    }
    if (failure == asio::error::operation_aborted && has_received_bytes(connection.stream.socket())) {
        // A request arrived as the read was cancelled.
        std::tie(failure, size) = co_await read();
    }
    if (failure) {
        co_return false;
    }
    connection.enter(m_gate);
    connection.buffer.commit(size);
    co_return true;
}

task<http_server::next_step> http_server::serve_one(connection_state& connection)
{
    upload received(m_body_bytes);
    detail::body_parser& parser = received.parser;
    const bool has_request = co_await wait_request(connection);
    if (!has_request) {
        co_return connection.answered ? next_step::linger : next_step::close;
    }
    const http_limits bounds = limits();
    parser.header_limit(bounds.max_header);
    parser.body_limit(bounds.max_body);
    beast::tcp_stream& stream = connection.stream;
    connection.deadline.set(clock::now() + bounds.header_timeout);
    auto [failure, size] = co_await http::async_read_header(stream, connection.buffer, parser, no_throw);
    if (failure == http::error::end_of_stream || failure == asio::error::connection_reset) {
        co_return next_step::close;
    }
    if (failure) {
        const refusal reason = connection.deadline.expired()
                                   ? refusal::slow("the headers did not arrive in time")
                                   : refusal::for_failure(failure);
        co_return co_await refuse(connection, reason);
    }
    if (!m_gate.admits()) {
        ++m_late;
        co_return co_await refuse(connection, refusal::stopping());
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        stream.expires_after(bounds.write_timeout);
        co_await asio::async_write(stream, asio::buffer(continue_response.data(), continue_response.size()),
                                   no_throw);
        stream.expires_never();
    }
    const std::optional<refusal> body_refusal = co_await read_body(connection, received);
    if (body_refusal) {
        co_return co_await refuse(connection, *body_refusal);
    }
    connection.deadline.clear();
    if (!m_gate.admits()) {
        ++m_late;
        co_return co_await refuse(connection, refusal::stopping());
    }
    const bool keep_alive = parser.get().keep_alive();
    http_exchange exchange(*this, stream, to_request(parser.release()), keep_alive);
    co_await m_handler.handle(exchange);
    if (!exchange.finished()) {
        count("unfinished_answer");
        co_return next_step::close;
    }
    connection.answered = true;
    co_return exchange.keep_alive() ? next_step::next_request : next_step::linger;
}

} // namespace verbena::net
