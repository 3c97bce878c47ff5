#include "forward/endpoint_call.h"

#include "net/address.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <array>

namespace verbena::forward {

namespace http = boost::beast::http;
using net::error_code;
using net::no_throw;

namespace {

constexpr std::size_t read_size = 8 * 1024;

} // namespace

endpoint_call::endpoint_call(const net::asio::any_io_executor& executor)
    : m_socket(executor), m_timer(executor)
{
    m_parser.body_limit(boost::none);
}

// One timer for all steps. It closes the socket, which ends whatever waits.
void endpoint_call::arm(time_point deadline, extension later)
{
    m_expired = false;
    const std::uint64_t step = ++m_step;
    m_timer.expires_at(deadline);
    m_timer.async_wait(
        [self = shared_from_this(), step, later = std::move(later)](const error_code& failure) {
            if (failure || step != self->m_step) {
                return;
            }
            const time_point now = clock::now();
            const time_point extended = later ? later() : now;
            if (extended > now) {
                self->arm(extended, later);
                return;
            }
            self->m_expired = true;
            self->close();
        });
}

void endpoint_call::disarm()
{
    ++m_step;
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
    BOOST_OUTCOME_CO_TRY(const net::tcp::endpoint target, net::to_endpoint(address));
    arm(clock::now() + timeout);
    auto [failure] = co_await m_socket.async_connect(target, no_throw);
    disarm();
    if (failure || !m_socket.is_open()) {
        co_return net::io_error("connect", failure);
    }
    error_code ignored;
    m_socket.set_option(net::tcp::no_delay(true), ignored);
    co_return success();
}

void endpoint_call::send(std::string head, std::string body)
{
    net::asio::co_spawn(m_socket.get_executor(), write(shared_from_this(), std::move(head), std::move(body)),
                        net::asio::detached);
}

net::task<void> endpoint_call::write(std::shared_ptr<endpoint_call> self, std::string head, std::string body)
{
    head += "\r\n";
    const std::array<net::asio::const_buffer, 2> parts{net::asio::buffer(head), net::asio::buffer(body)};
    // A failure shows when the answer is read.
    co_await net::asio::async_write(self->m_socket, parts, no_throw);
}

net::task<result<answer_terms>> endpoint_call::read_head(const dialect& words, time_point deadline)
{
    arm(deadline);
    auto [failure, size] = co_await http::async_read_header(m_socket, m_buffer, m_parser, no_throw);
    disarm();
    if (failure) {
        co_return m_expired ? make_error(error_kind::timeout, "no answer in time")
                            : net::io_error("read head", failure);
    }
    co_return words.read_answer(m_parser.get().result_int(), m_parser.get().base());
}

net::task<result<std::string>> endpoint_call::read_some(time_point deadline, extension later)
{
    std::string piece;
    arm(deadline, std::move(later));
    while (piece.empty() && !m_parser.is_done()) {
        piece.resize(read_size);
        m_parser.get().body().data = piece.data();
        m_parser.get().body().size = piece.size();
        auto [failure, size] = co_await http::async_read_some(m_socket, m_buffer, m_parser, no_throw);
        if (failure && failure != http::error::need_buffer) {
            disarm();
            co_return m_expired ? make_error(error_kind::timeout, "the answer stopped")
                                : net::io_error("read body", failure);
        }
        piece.resize(piece.size() - m_parser.get().body().size);
    }
    disarm();
    co_return piece;
}

} // namespace verbena::forward
