#include "net/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace verbena::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A body of up to this size, in bytes, is copied behind its head to be written with one system call.
constexpr std::size_t max_joined_body = 64 * 1024;

} // namespace

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
    const bool small = response.body.size() <= max_joined_body;
    if (small) {
        text += response.body;
    }
    result<void> written = co_await write_all(text);
    if (written && !small) {
        written = co_await write_all(response.body);
    }
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

} // namespace verbena::net
