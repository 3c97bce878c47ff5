#pragma once

#include "platform/names.h"
#include "soak_plan.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace verbena::soak {

namespace http = boost::beast::http;

// What all callers of a seed share.
struct caller_context {
    std::vector<host_port> fronts;
    time_point end; // no request is sent later
    std::mutex mutex;
    std::vector<seen_request> seen;
    std::atomic<std::uint64_t> next_id{1};
    std::atomic<std::size_t> running{0};
    std::string id_prefix;
};

struct caller_options {
    std::size_t home = 0; // the entry that it connects to first
    bool one_a_second = false;
    bool heeds_close = true; // otherwise it tries the next request on the connection until that has ended
    std::uint64_t seed = 0;
};

// A caller that keeps its connection until the entry has closed it and then connects to another entry.
class caller {
public:
    caller(std::shared_ptr<caller_context> context, caller_options options)
        : m_context(std::move(context)), m_options(options), m_random(options.seed), m_entry(options.home)
    {
    }

    net::task<void> run()
    {
        while (clock::now() < m_context->end) {
            if (!m_stream && !co_await connect()) {
                continue;
            }
            const std::uint64_t choice = m_random() % 10;
            const request_kind kind = choice < 5   ? request_kind::stream
                                      : choice < 8 ? request_kind::unsafe
                                                   : request_kind::safe;
            seen_request seen = begin_request(kind);
            const std::string text = request_text(seen);
            m_stream->expires_after(request_deadline + 5s);
            auto [failure, size] =
                co_await net::asio::async_write(*m_stream, net::asio::buffer(text), net::no_throw);
            seen.sent = clock::now();
            co_await finish_request(std::move(seen), failure);
            co_await net::sleep_for(
                milliseconds(m_options.one_a_second ? 900 + m_random() % 200 : 5 + m_random() % 60));
        }
    }

    // Sends one request whose header is completed at `at`.
    net::task<void> send_late(time_point connect_at, time_point at, request_kind kind)
    {
        co_await sleep_until(connect_at);
        if (!co_await connect_to(m_options.home)) {
            co_return;
        }
        seen_request seen = begin_request(kind);
        const std::string text = request_text(seen);
        const std::size_t half = text.size() / 2;
        m_stream->expires_after(at - clock::now() + request_deadline + 5s);
        auto [first_failure, first_size] =
            co_await net::asio::async_write(*m_stream, net::asio::buffer(text.data(), half), net::no_throw);
        co_await sleep_until(at);
        auto [failure, size] = co_await net::asio::async_write(
            *m_stream, net::asio::buffer(text.data() + half, text.size() - half), net::no_throw);
        seen.sent = clock::now();
        co_await finish_request(std::move(seen), first_failure ? first_failure : failure);
    }

private:
    static net::task<void> sleep_until(time_point at)
    {
        co_await net::sleep_for(std::chrono::duration_cast<milliseconds>(at - clock::now()));
    }

    net::task<bool> connect()
    {
        for (std::size_t i = 0; i < m_context->fronts.size(); ++i) {
            if (co_await connect_to((m_entry + i) % m_context->fronts.size())) {
                co_return true;
            }
        }
        co_await net::sleep_for(50ms);
        co_return false;
    }

    net::task<bool> connect_to(std::size_t entry)
    {
        const host_port address = m_context->fronts[entry];
        m_stream.emplace(co_await net::asio::this_coro::executor);
        m_buffer.clear();
        m_stream->expires_after(1s);
        const net::tcp::endpoint endpoint(net::asio::ip::address_v4::loopback(), address.port);
        auto [failure] = co_await m_stream->async_connect(endpoint, net::no_throw);
        if (failure) {
            m_stream.reset();
            co_return false;
        }
        m_entry = entry;
        co_return true;
    }

    seen_request begin_request(request_kind kind)
    {
        seen_request seen;
        seen.id = m_context->id_prefix + std::to_string(m_context->next_id++);
        seen.kind = kind;
        seen.entry = m_entry;
        return seen;
    }

    std::string request_text(const seen_request& seen) const
    {
        namespace names = platform::names;
        const std::string body = "body of " + seen.id;
        std::ostringstream text;
        text << "POST " << terms_of(seen.kind).path
             << " HTTP/1.1\r\nHost: 127.0.0.1:" << m_context->fronts[m_entry].port << "\r\n"
             << names::request_id << ": " << seen.id << "\r\n"
             << names::deadline << ": " << request_deadline.count() << "\r\n"
             << names::authorization << ": Bearer key-clerks\r\n"
             << names::tokens << ": 1000,100\r\nContent-Length: " << body.size() << "\r\n\r\n"
             << body;
        return text.str();
    }

    net::task<void> finish_request(seen_request seen, net::error_code failure)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        bool keeps = false;
        if (!failure) {
            auto [read_failure, size] = co_await http::async_read(*m_stream, m_buffer, parser, net::no_throw);
            failure = read_failure;
            seen.status = parser.is_header_done() ? parser.get().result_int() : 0;
            seen.complete = !failure && parser.is_done();
            seen.body = parser.get().body();
            seen.answer_id = std::string(parser.get()["Request-Id"]);
            keeps = seen.complete && (parser.keep_alive() || !m_options.heeds_close);
        }
        seen.failure = failure ? failure.message() : "";
        seen.ended = clock::now();
        if (!keeps) {
            m_stream.reset();
            m_entry = m_options.one_a_second ? m_options.home
                                             : (seen.entry + 1 + m_random() % 2) % m_context->fronts.size();
        }
        const std::lock_guard lock(m_context->mutex);
        m_context->seen.push_back(std::move(seen));
    }

    std::shared_ptr<caller_context> m_context;
    const caller_options m_options;
    random_engine m_random;
    std::size_t m_entry;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace verbena::soak
