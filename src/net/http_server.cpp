#include "net/http_server.h"

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cstdio>
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

// Cancellation has no effect between two reads of one composed operation, so it is repeated at this interval.
constexpr milliseconds cancel_interval{10};

using body_parser = http::request_parser<http::string_body>;

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

// Cancels the reads of a connection at a deadline but leaves the socket open, so that a response can still be
// written; the timeout of beast::tcp_stream would close the socket. Used on the strand of the connection.
class read_deadline {
public:
    explicit read_deadline(beast::tcp_stream& stream) : m_state(std::make_shared<state>(stream))
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
        explicit state(beast::tcp_stream& read_stream)
            : stream(read_stream), timer(read_stream.get_executor())
        {
        }

        beast::tcp_stream& stream;
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

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    read_deadline deadline;
    std::optional<request_gate::pass> pass; // empty while the connection is idle
    bool answered = false;
};

// A request whose body is being received.
struct http_server::upload {
    explicit upload(std::atomic<std::uint64_t>& total) : reservation(total) {}

    body_parser parser;
    body_reservation reservation;
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
        if (failure == http::error::header_limit) {
            return {431, "headers_too_large", "the request headers are too large",
                    "send fewer or shorter headers"};
        }
        if (failure == http::error::body_limit) {
            return {413, "body_too_large", "the request body is too large", "send a shorter prompt"};
        }
        return {400, "malformed_http", "the request is not valid HTTP",
                "check the client's HTTP implementation"};
    }
};

http_response http_handler::refuse(unsigned status, const std::string& kind, const std::string& message,
                                   const std::string& remedy)
{
    const boost::json::value body = {
        {"error", {{"type", kind}, {"message", message}, {"remedy", remedy}, {"outcome", "not_run"}}}};
    return http_response{status, "application/json", boost::json::serialize(body) + "\n", {}};
}

http_exchange::http_exchange(http_server& server, beast::tcp_stream& stream, http_request request,
                             bool keep_alive)
    : m_server(server), m_stream(stream), m_request(std::move(request)), m_keep_alive(keep_alive)
{
}

std::string http_exchange::head_text(unsigned status, std::string_view content_type,
                                     const http_header_list& headers)
{
    m_keep_alive = m_keep_alive && !m_server.stopping();
    const auto reason_phrase = http::obsolete_reason(static_cast<http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason_phrase) + "\r\n";
    if (!content_type.empty()) {
        text += "Content-Type: " + std::string(content_type) + "\r\n";
    }
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!m_keep_alive) {
        text += "Connection: close\r\n";
    }
    return text;
}

task<result<void>> http_exchange::write_all(std::string_view data)
{
    while (!data.empty()) {
        m_stream.expires_after(m_server.limits().write_timeout);
        auto [failure, written] =
            co_await m_stream.async_write_some(asio::buffer(data.data(), data.size()), no_throw);
        if (failure) {
            co_return failure == beast::error::timeout
                ? make_error(error_kind::timeout, "the client read nothing within the write timeout",
                             "read faster")
                : io_error("write", failure);
        }
        data.remove_prefix(written);
    }
    co_return success();
}

task<result<void>> http_exchange::reply(http_response response)
{
    if (m_started) {
        co_return make_error(error_kind::conflict, "the response has already started",
                             "end the started response");
    }
    m_started = true;
    std::string text = head_text(response.status, response.content_type, response.headers);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body;
    const result<void> written = co_await write_all(text);
    m_finished = written.has_value();
    co_return written;
}

task<result<void>> http_exchange::start_stream(unsigned status, std::string content_type,
                                               http_header_list headers)
{
    if (m_started) {
        co_return make_error(error_kind::conflict, "the response has already started",
                             "end the started response");
    }
    m_started = true;
    const std::string text = head_text(status, content_type, headers) + "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await write_all(text);
}

task<result<void>> http_exchange::write(std::string_view data)
{
    if (data.empty()) {
        // A chunk of length 0 would end the body and make a partial response look complete.
        co_return success();
    }
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string text;
    text.reserve(data.size() + static_cast<std::size_t>(length) + 2);
    text.append(size, static_cast<std::size_t>(length)).append(data).append("\r\n");
    co_return co_await write_all(text);
}

task<result<void>> http_exchange::finish()
{
    const result<void> written = co_await write_all("0\r\n\r\n");
    m_finished = written.has_value();
    co_return written;
}

task<bool> http_exchange::wait_closed(std::shared_ptr<bool> ended)
{
    beast::tcp_stream& stream = m_stream;
    while (true) {
        auto [failure] = co_await stream.socket().async_wait(tcp::socket::wait_read, no_throw);
        if (*ended || failure) {
            co_return !*ended && failure != asio::error::operation_aborted;
        }
        // The wake-up may be stale, caused by request bytes that have been read since; a peek gives the
        // current state.
        char peeked = 0;
        error_code result;
        stream.socket().non_blocking(true, result);
        const std::size_t size =
            stream.socket().receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, result);
        if (result == asio::error::would_block || result == asio::error::try_again) {
            continue;
        }
        co_return size == 0;
    }
}

void http_exchange::cancel_wait()
{
    error_code ignored;
    m_stream.socket().cancel(ignored);
}

result<std::shared_ptr<http_server>> http_server::create(asio::io_context& io, const host_port& address,
                                                         const http_limits& limits, http_handler& handler,
                                                         metrics& counters, std::string name)
{
    BOOST_OUTCOME_TRY(tcp::acceptor acceptor, open_acceptor(io, address));
    return std::make_shared<http_server>(io, std::move(acceptor), limits, handler, counters, std::move(name));
}

http_server::http_server(asio::io_context& io, tcp::acceptor acceptor, const http_limits& limits,
                         http_handler& handler, metrics& counters, std::string name)
    : m_io(io), m_acceptor(std::move(acceptor)), m_limits(limits), m_handler(handler), m_metrics(counters),
      m_name(std::move(name)), m_port(m_acceptor.local_endpoint().port())
{
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
    for (const auto& [idle, executor] : m_idle) {
        asio::post(executor,
                   [self = shared_from_this(), connection = idle, entered = m_gate.enter()]() mutable {
                       const std::lock_guard recheck_lock(self->m_idle_mutex);
                       if (self->m_idle.contains(connection)) {
                           connection->pass = std::move(entered);
                           error_code ignored;
                           connection->stream.socket().cancel(ignored);
                       }
                   });
    }
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

void http_server::admit(tcp::socket socket)
{
    if (m_connections >= limits().max_connections) {
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
    while (total < linger_bytes && clock::now() < end) {
        const std::size_t now_unsent = unsent_bytes(socket);
        if (now_unsent != unsent) {
            unsent = now_unsent;
            end = clock::now() + (unsent == 0 ? linger_time : write_timeout);
        }
        if (unsent == 0) {
            connection.pass.reset();
        }
        connection.deadline.set(unsent == 0 ? end : std::min(end, clock::now() + unsent_poll_interval));
        auto [failure, size] = co_await connection.stream.async_read_some(asio::buffer(discarded), no_throw);
        total += size;
        const bool half_closed = failure == asio::error::eof && unsent != 0;
        if (half_closed) {
            co_await sleep_for(unsent_poll_interval);
        } else if (failure && !connection.deadline.expired()) {
            co_return;
        }
    }
}

task<http_server::next_step> http_server::refuse(connection_state& connection, refusal reason)
{
    count(reason.kind);
    connection.deadline.clear();
    http_exchange exchange(*this, connection.stream, http_request{}, false);
    http_response response = m_handler.refuse(reason.status, reason.kind, reason.message, reason.remedy);
    const result<void> sent = co_await exchange.reply(std::move(response));
    if (!sent) {
        count("refusal_not_sent");
        co_return next_step::close;
    }
    co_return next_step::linger;
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
            m_idle.emplace(&connection, connection.stream.get_executor());
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
    body_parser& parser = received.parser;
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

task<std::optional<http_server::refusal>> http_server::read_body(connection_state& connection,
                                                                 upload& received)
{
    const time_point start = clock::now();
    const http_limits bounds = limits();
    while (!received.parser.is_done()) {
        connection.deadline.set(std::min(start + bounds.body_timeout, clock::now() + bounds.header_timeout));
        auto [failure, size] =
            co_await http::async_read_some(connection.stream, connection.buffer, received.parser, no_throw);
        if (failure) {
            co_return connection.deadline.expired() ? refusal::slow("the body did not arrive in time")
                                                    : refusal::for_failure(failure);
        }
        const std::uint64_t bytes = received.parser.get().body().size();
        if (received.reservation.set(bytes) > bounds.max_total_body) {
            co_return refusal{503, "upload_memory",
                              "the request bodies being received exceed the memory limit of the server",
                              "retry after a second"};
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - start);
        if (elapsed > bounds.body_rate_grace &&
            bytes * 1000 < static_cast<std::uint64_t>(elapsed.count()) * bounds.min_body_rate) {
            co_return refusal::slow("the body arrives too slowly");
        }
    }
    co_return std::nullopt;
}

} // namespace verbena::net
