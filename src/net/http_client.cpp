#include "net/http_client.h"

#include "net/address.h"
#include "net/answer_head.h"
#include "net/answer_limits.h"
#include "net/checked_call.h"
#include "net/keep_alive.h"
#include "net/receive_buffer.h"
#include "net/sent_data.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace verbena::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_size = 16 * 1024;

// The connection to a peer that has lost power, or that no longer takes packets of this connection, ends
// within 3 s. A peer that is only silent answers the probes.
constexpr std::chrono::seconds keep_alive_interval{1};
constexpr int keep_alive_probes = 2;

error stream_error(const char* operation, const error_code& cause)
{
    if (cause == beast::error::timeout) {
        return make_error(error_kind::timeout, std::string(operation) + ": no answer in time",
                          "check that the peer runs and is reachable");
    }
    error failure = io_error(operation, cause);
    if (cause == asio::error::connection_refused) {
        failure.kind = error_kind::unavailable;
    }
    return failure;
}

std::string request_text(const host_port& address, const http_call& call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + address.host + ':' +
                       std::to_string(address.port) + "\r\nConnection: close\r\n";
    for (const auto& [name, value] : call.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
    return text;
}

class client_stream : public http_stream {
public:
    // All operations fail after `end`.
    client_stream(const asio::any_io_executor& executor, time_point end) : m_stream(executor), m_end(end) {}

    task<result<void>> connect(tcp::endpoint endpoint, milliseconds timeout)
    {
        error_code ignored;
        m_stream.socket().open(endpoint.protocol(), ignored); // otherwise async_connect() reports the error
        set_receive_buffer(m_stream.socket(), http_receive_buffer);
        expires_after(timeout);
        auto [failure] = co_await m_stream.async_connect(endpoint, no_throw);
        if (failure) {
            co_return stream_error("connect", failure);
        }
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        set_keep_alive(m_stream.socket(), keep_alive_interval, keep_alive_probes);
        co_return success();
    }

    task<result<void>> send(std::string head, std::string body)
    {
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
        auto [failure, written] = co_await asio::async_write(m_stream, buffers, no_throw);
        if (failure) {
            co_return stream_error("send", failure);
        }
        co_return success();
    }

    task<result<void>> read_head(milliseconds timeout)
    {
        expires_after(timeout);
        const error_code failure = co_await read_answer_head(m_stream, m_buffer, m_parser);
        if (failure) {
            co_return stream_error("read response head", failure);
        }
        co_return success();
    }

    void expires_after(milliseconds timeout)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(m_end - clock::now());
        m_stream.expires_after(std::clamp(left, milliseconds::zero(), timeout));
    }

    unsigned status() const override { return m_parser->get().result_int(); }

    std::string content_type() const override
    {
        return std::string(m_parser->get()[http::field::content_type]);
    }

    std::string header(const std::string& name) const override { return std::string(m_parser->get()[name]); }

    http_header_list headers() const override
    {
        http_header_list found;
        for (const auto& field : m_parser->get()) {
            found.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        return found;
    }

    task<result<std::string>> read_some(milliseconds inactivity_timeout) override
    {
        std::string chunk;
        // Bytes that add nothing to the body, such as a chunk header, do not extend the time.
        expires_after(inactivity_timeout);
        while (chunk.empty() && !m_parser->is_done()) {
            chunk.resize(read_size);
            m_parser->get().body().data = chunk.data();
            m_parser->get().body().size = chunk.size();
            auto [failure, size] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, no_throw);
            if (failure && failure != http::error::need_buffer) {
                co_return stream_error("read response body", failure);
            }
            chunk.resize(chunk.size() - m_parser->get().body().size);
        }
        if (chunk.empty() && m_parser->need_eof()) {
            const error_code failure = co_await await_acknowledgement(
                m_stream.socket(), [] { return error_code(); },
                std::min(m_end, clock::now() + inactivity_timeout));
            if (failure) {
                co_return stream_error("send", failure);
            }
        }
        co_return chunk;
    }

    void close() override
    {
        error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    beast::tcp_stream m_stream;
    const time_point m_end;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    std::optional<answer_parser> m_parser; // set while a head is read, and after it
};

// Bounds of the steps of one call, and of the whole call.
struct open_limits {
    milliseconds connect;
    milliseconds head;
    time_point end = time_point::max();
};

task<result<std::unique_ptr<http_stream>>> open_until(host_port address, http_call call, open_limits limits,
                                                      std::shared_ptr<bool> sent,
                                                      std::function<bool()> may_send = nullptr)
{
    BOOST_OUTCOME_CO_TRY(const tcp::endpoint endpoint, to_tcp_endpoint(address));
    auto stream = std::make_unique<client_stream>(co_await asio::this_coro::executor, limits.end);
    const result<void> connected = co_await stream->connect(endpoint, limits.connect);
    if (!connected) {
        co_return connected.error();
    }
    if (may_send && !may_send()) {
        co_return make_error(error_kind::conflict, "the call may not be sent any more", "");
    }
    if (sent) {
        *sent = true;
    }
    stream->expires_after(limits.head);
    const result<void> written = co_await stream->send(request_text(address, call), std::move(call.body));
    if (!written) {
        co_return written.error();
    }
    const result<void> head = co_await stream->read_head(limits.head);
    if (!head) {
        co_return head.error();
    }
    co_return std::unique_ptr<http_stream>(std::move(stream));
}

task<result<http_response>> read_response(result<std::unique_ptr<http_stream>> opened, milliseconds timeout,
                                          std::size_t max_body)
{
    if (!opened) {
        co_return opened.error();
    }
    http_stream& stream = *opened.value();
    http_response response;
    response.status = stream.status();
    response.content_type = stream.content_type();
    while (true) {
        const result<std::string> chunk = co_await stream.read_some(timeout);
        if (!chunk) {
            co_return chunk.error();
        }
        if (chunk.value().empty()) {
            break;
        }
        response.body += chunk.value();
        if (response.body.size() > max_body) {
            co_return make_error(error_kind::too_large, "the response body exceeds the size limit",
                                 "raise the limit");
        }
    }
    response.headers = stream.headers();
    co_return response;
}

} // namespace

task<result<std::unique_ptr<http_stream>>> open_http(host_port address, http_call call,
                                                     milliseconds connect_timeout, milliseconds head_timeout,
                                                     std::shared_ptr<bool> sent)
{
    co_return co_await open_until(std::move(address), std::move(call), {connect_timeout, head_timeout},
                                  std::move(sent));
}

task<result<http_response>> fetch_http(host_port address, http_call call, milliseconds timeout,
                                       std::size_t max_body)
{
    auto opened = co_await open_until(std::move(address), std::move(call),
                                      {timeout, timeout, clock::now() + timeout}, nullptr);
    co_return co_await read_response(std::move(opened), timeout, max_body);
}

task<result<http_response>> fetch_checked(host_port address, http_call call, milliseconds timeout,
                                          std::function<bool()> may_send, std::shared_ptr<bool> sent)
{
    // Answers to such calls have no content that is used.
    constexpr std::size_t max_body = std::size_t{64} << 10U;
    auto opened =
        co_await open_until(std::move(address), std::move(call), {timeout, timeout, clock::now() + timeout},
                            std::move(sent), std::move(may_send));
    co_return co_await read_response(std::move(opened), timeout, max_body);
}

} // namespace verbena::net
