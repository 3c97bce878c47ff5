#include "forward/endpoint_call.h"

#include "net/address.h"
#include "net/keep_alive.h"
#include "net/receive_buffer.h"
#include "net/sent_data.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <array>

namespace verbena::forward {

namespace http = boost::beast::http;
using net::error_code;
using net::no_throw;

namespace {

constexpr std::size_t read_size = 8 * 1024;

// The connection to an endpoint that has lost power, or that no longer takes packets of this connection, ends
// within 3 s. An endpoint that is only silent answers the probes.
constexpr std::chrono::seconds keep_alive_interval{1};
constexpr int keep_alive_probes = 2;

// How long data that has arrived may stay unread before the inactivity timeout counts.
constexpr milliseconds unread_data_time{10};
constexpr int max_unread_waits = 10;

} // namespace

endpoint_call::endpoint_call(const net::asio::any_io_executor& executor)
    : m_socket(executor), m_timer(executor)
{
}

// One timer serves all operations. On expiry it closes the socket, which ends the pending operation.
void endpoint_call::arm(time_point deadline, deadline_extension extend, int unread_waits)
{
    m_expired = false;
    const std::uint64_t operation = ++m_operation;
    m_timer.expires_at(deadline);
    m_timer.async_wait([self = shared_from_this(), operation, extend = std::move(extend),
                        unread_waits](const error_code& failure) {
        if (failure || operation != self->m_operation) {
            return;
        }
        const time_point now = clock::now();
        error_code unknown;
        if (extend && unread_waits < max_unread_waits && self->m_socket.available(unknown) > 0) {
            // This process was held up, and the pending read takes what has arrived meanwhile. Bytes that
            // never become a part of the answer may arrive without end.
            self->arm(now + unread_data_time, extend, unread_waits + 1);
            return;
        }
        const time_point new_deadline = extend ? extend() : now;
        if (new_deadline > now) {
            self->arm(new_deadline, extend);
            return;
        }
        self->m_expired = true;
        self->close();
    });
}

void endpoint_call::disarm()
{
    ++m_operation;
    m_timer.cancel();
}

void endpoint_call::close()
{
    error_code ignored;
    disarm();
    m_socket.close(ignored);
}

net::task<result<void>> endpoint_call::connect(host_port address, milliseconds timeout)
{
    BOOST_OUTCOME_CO_TRY(const net::tcp::endpoint target, net::to_tcp_endpoint(address));
    error_code ignored;
    m_socket.open(target.protocol(), ignored); // otherwise async_connect() opens it and reports the error
    net::set_receive_buffer(m_socket, net::http_receive_buffer);
    arm(clock::now() + timeout);
    auto [failure] = co_await m_socket.async_connect(target, no_throw);
    disarm();
    if (failure || !m_socket.is_open()) {
        error cause = net::io_error("connect", failure);
        if (failure == net::asio::error::connection_refused) {
            cause.kind = error_kind::unavailable;
        }
        co_return cause;
    }
    m_socket.set_option(net::tcp::no_delay(true), ignored);
    net::set_keep_alive(m_socket, keep_alive_interval, keep_alive_probes);
    co_return success();
}

void endpoint_call::send(std::string head, std::string body)
{
    m_writing = true;
    net::asio::co_spawn(m_socket.get_executor(), write(shared_from_this(), std::move(head), std::move(body)),
                        net::asio::detached);
}

net::task<void> endpoint_call::write(std::shared_ptr<endpoint_call> self, std::string head, std::string body)
{
    head += "\r\n";
    const std::array<net::asio::const_buffer, 2> parts{net::asio::buffer(head), net::asio::buffer(body)};
    auto [failure, size] = co_await net::asio::async_write(self->m_socket, parts, no_throw);
    self->m_write_failure = failure;
    self->m_writing = false;
}

net::task<result<void>> endpoint_call::finish_request(time_point deadline, deadline_extension extend)
{
    arm(deadline, std::move(extend));
    const error_code failure =
        co_await net::await_acknowledgement(m_socket, [this]() -> std::optional<error_code> {
            return m_writing ? std::nullopt : std::optional(m_write_failure);
        });
    disarm();
    if (m_expired) {
        co_return make_error(error_kind::timeout, "the request was not taken before the deadline");
    }
    if (failure) {
        co_return net::io_error("send request", failure);
    }
    co_return success();
}

net::task<result<answer_metadata>> endpoint_call::read_head(const protocol_adapter& protocol,
                                                            time_point deadline, deadline_extension extend)
{
    arm(deadline, std::move(extend));
    const error_code failure = co_await net::read_answer_head(m_socket, m_buffer, m_parser);
    disarm();
    if (failure) {
        co_return m_expired ? make_error(error_kind::timeout, "no response header before the deadline")
                            : net::io_error("read response header", failure);
    }
    co_return protocol.read_answer(m_parser->get().result_int(), m_parser->get().base());
}

net::task<result<std::string>> endpoint_call::read_some(time_point deadline, deadline_extension extend)
{
    std::string chunk;
    arm(deadline, extend);
    while (chunk.empty() && !m_parser->is_done()) {
        chunk.resize(read_size);
        m_parser->get().body().data = chunk.data();
        m_parser->get().body().size = chunk.size();
        auto [failure, size] = co_await http::async_read_some(m_socket, m_buffer, *m_parser, no_throw);
        if (failure && failure != http::error::need_buffer) {
            disarm();
            co_return m_expired ? make_error(error_kind::timeout, "no response data before the deadline")
                                : net::io_error("read response body", failure);
        }
        chunk.resize(chunk.size() - m_parser->get().body().size);
    }
    disarm();
    if (chunk.empty() && ends_with_connection()) {
        BOOST_OUTCOME_CO_TRY(co_await finish_request(deadline, std::move(extend)));
    }
    co_return chunk;
}

} // namespace verbena::forward
