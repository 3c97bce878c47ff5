#include "net/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Upper bound of a case; no verdict depends on it unless the server hangs.
constexpr auto case_limit = 20s;

const std::string post = "POST /v1 HTTP/1.1\r\nHost: test\r\n";

// Answers with the size of the body, or does what the test asks for.
class test_handler : public net::http_handler {
public:
    std::function<net::task<void>(net::http_exchange&)> action;

    net::task<void> handle(net::http_exchange& exchange) override
    {
        if (action) {
            co_await action(exchange);
            co_return;
        }
        net::http_response response;
        response.body = "size " + std::to_string(exchange.request().body.size());
        const result<void> sent = co_await exchange.reply(std::move(response));
        replied = sent.has_value();
    }

    bool replied = false;
};

// A client that sees how a connection ends, which an HTTP client library hides.
class raw_client {
public:
    explicit raw_client(net::asio::io_context& io) : m_socket(io) {}

    net::task<void> connect(std::uint16_t port)
    {
        const net::tcp::endpoint peer(net::asio::ip::make_address("127.0.0.1"), port);
        co_await m_socket.async_connect(peer, net::no_throw);
    }

    // False when the server took only a part.
    net::task<bool> send(std::string bytes)
    {
        auto [failure, size] =
            co_await net::asio::async_write(m_socket, net::asio::buffer(bytes), net::no_throw);
        co_return !failure;
    }

    // Reads until the text holds `end`; false when the connection ends first.
    net::task<bool> read_until(std::string end)
    {
        while (text.find(end) == std::string::npos) {
            const bool more = co_await read_some();
            if (!more) {
                co_return false;
            }
        }
        co_return true;
    }

    // Reads to the end of the connection; true when the server has closed it in order, without a reset.
    net::task<bool> read_to_end()
    {
        while (true) {
            const bool more = co_await read_some();
            if (!more) {
                co_return m_failure == net::asio::error::eof;
            }
        }
    }

    std::string text;

private:
    net::task<bool> read_some()
    {
        std::array<char, 4096> bytes{};
        auto [failure, size] = co_await m_socket.async_read_some(net::asio::buffer(bytes), net::no_throw);
        m_failure = failure;
        text.append(bytes.data(), size);
        co_return !failure;
    }

    net::tcp::socket m_socket;
    net::error_code m_failure;
};

struct fixture {
    net::asio::io_context io;
    metrics counters;
    net::http_limits limits;
    test_handler handler;
    std::shared_ptr<net::http_server> server;

    std::uint16_t listen()
    {
        server = net::http_server::create(io, {"127.0.0.1", 0}, limits, handler, counters, "test").value();
        server->start();
        return server->port();
    }

    void run(const std::function<net::task<void>()>& body)
    {
        bool done = false;
        net::asio::co_spawn(io, body(), [&](const std::exception_ptr& failure) {
            done = !failure;
            io.stop();
        });
        io.run_for(case_limit);
        BOOST_TEST(done);
    }

    // Sends `bytes` and checks that the server takes all of them, replies with `status` and closes in order.
    void check_refusal(const std::string& bytes, const std::string& status, const std::string& event)
    {
        const std::uint16_t port = listen();
        raw_client client(io);
        run([&]() -> net::task<void> {
            co_await client.connect(port);
            BOOST_TEST(co_await client.send(bytes));
            BOOST_TEST(co_await client.read_to_end());
        });
        BOOST_TEST(client.text.starts_with("HTTP/1.1 " + status));
        BOOST_TEST(client.text.find("\"outcome\":\"not_run\"") != std::string::npos);
        BOOST_TEST(events(event) == 1U);
    }

    std::uint64_t events(const std::string& event) const
    {
        return counters.value("verbena_http_events_total", {{"server", "test"}, {"event", event}});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_limits, fixture)

// Each refusal guards against a reset that takes the reply from a caller that has sent more than was read.

BOOST_AUTO_TEST_CASE(header_flood_gets_431)
{
    check_refusal(post + "X-Flood: " + std::string(512 * 1024, 'a') + "\r\n\r\n", "431", "headers_too_large");
}

BOOST_AUTO_TEST_CASE(large_content_length_gets_413)
{
    limits.max_body = 1024;
    check_refusal(post + "Content-Length: 524288\r\n\r\n" + std::string(512 * 1024, 'a'), "413",
                  "body_too_large");
}

BOOST_AUTO_TEST_CASE(large_chunked_body_gets_413)
{
    limits.max_body = 1024;
    check_refusal(post + "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + std::string(512 * 1024, 'a'), "413",
                  "body_too_large");
}

BOOST_AUTO_TEST_CASE(malformed_request_gets_400)
{
    check_refusal("this is not HTTP\r\n\r\n" + std::string(256 * 1024, 'a'), "400", "malformed_http");
}

// Guards against a timeout that closes the socket before the 408 is written.
BOOST_AUTO_TEST_CASE(slow_header_gets_408)
{
    limits.header_timeout = 30ms;
    check_refusal("POST /v1 HT", "408", "slow_sender");
}

BOOST_AUTO_TEST_CASE(slow_body_gets_408)
{
    limits.body_timeout = 30ms;
    check_refusal(post + "Content-Length: 10\r\n\r\nabc", "408", "slow_sender");
}

// Guards against a sender that never pauses long enough for the timeouts but holds a connection.
BOOST_AUTO_TEST_CASE(body_below_the_minimum_rate_gets_408)
{
    limits.body_rate_grace = 30ms;
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send(post + "Content-Length: 10000\r\n\r\n");
        while (events("slow_sender") == 0) {
            co_await client.send("a");
            co_await net::sleep_for(5ms);
        }
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.starts_with("HTTP/1.1 408"));
}

// Guards against a refused caller that holds its connection open by sending on for ever.
BOOST_AUTO_TEST_CASE(refused_caller_that_sends_on_is_disconnected)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    std::size_t sent = 0;
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        const std::string part(64 * 1024, 'a');
        bool taken = true;
        while (taken) {
            taken = co_await client.send(part);
            sent += part.size();
        }
    });
    BOOST_TEST(events("malformed_http") + events("headers_too_large") == 1U);
    // 1 MiB is discarded; the rest waits in socket buffers when the server closes.
    BOOST_TEST(sent < 64U * 1024 * 1024);
}

// Guards against a refused caller that keeps its side open in silence; the server waits 2 s for it.
BOOST_AUTO_TEST_CASE(silent_refused_caller_is_disconnected)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send("this is not HTTP\r\n\r\n");
        BOOST_TEST(co_await client.read_to_end());
        BOOST_TEST(server->connections() == 1U);
        while (server->connections() > 0) {
            co_await net::sleep_for(10ms);
        }
    });
    BOOST_TEST(events("malformed_http") == 1U);
}

BOOST_AUTO_TEST_CASE(expect_continue_is_answered_before_the_body)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send(post + "Expect: 100-continue\r\nConnection: close\r\nContent-Length: 3\r\n\r\n");
        BOOST_TEST(co_await client.read_until("HTTP/1.1 100 Continue\r\n\r\n"));
        co_await client.send("abc");
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.ends_with("size 3"));
}

// Guards against a body that the caller is invited to send although it is too large.
BOOST_AUTO_TEST_CASE(expect_continue_with_a_large_body_gets_413)
{
    limits.max_body = 1024;
    const std::string request = post + "Expect: 100-continue\r\nContent-Length: 4096\r\n\r\n";
    check_refusal(request, "413", "body_too_large");
}

// Guards against a deadline of the first request that ends the second.
BOOST_AUTO_TEST_CASE(connection_is_kept_for_a_second_request)
{
    limits.header_timeout = 50ms;
    limits.write_timeout = 50ms;
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send(post + "Content-Length: 1\r\n\r\na");
        BOOST_TEST(co_await client.read_until("size 1"));
        co_await net::sleep_for(120ms);
        co_await client.send(post + "Connection: close\r\nContent-Length: 2\r\n\r\nab");
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.ends_with("size 2"));
    BOOST_TEST(handler.replied);
}

// Guards against memory held for a caller that does not read its answer.
BOOST_AUTO_TEST_CASE(slow_reader_is_disconnected_after_the_write_timeout)
{
    limits.write_timeout = 50ms;
    std::optional<error> failure;
    handler.action = [&](net::http_exchange& exchange) -> net::task<void> {
        const result<void> started = co_await exchange.start_stream(200, "text/plain", {});
        BOOST_TEST(started.has_value());
        const std::string part(256 * 1024, 'a');
        while (!failure) {
            const result<void> written = co_await exchange.write(part);
            if (!written) {
                failure = written.error();
            }
        }
    };
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send(post + "Content-Length: 0\r\n\r\n");
        while (server->connections() > 0 || !failure) {
            co_await net::sleep_for(5ms);
        }
        co_await client.read_to_end();
    });
    BOOST_TEST((failure && failure->kind == error_kind::timeout));
    BOOST_TEST(!client.text.ends_with("0\r\n\r\n"));
}

// Guards against unbounded connections, and against a limit that stays reached.
BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_closed)
{
    limits.max_connections = 1;
    const std::uint16_t port = listen();
    std::string later_text;
    run([&]() -> net::task<void> {
        {
            raw_client first(io);
            co_await first.connect(port);
            co_await first.send(post);
            raw_client second(io);
            co_await second.connect(port);
            co_await second.read_to_end();
            BOOST_TEST(second.text.empty());
        }
        while (server->connections() > 0) {
            co_await net::sleep_for(1ms);
        }
        raw_client later(io);
        co_await later.connect(port);
        co_await later.send(post + "Connection: close\r\nContent-Length: 0\r\n\r\n");
        co_await later.read_to_end();
        later_text = later.text;
    });
    BOOST_TEST(events("connection_limit") == 1U);
    BOOST_TEST(later_text.ends_with("size 0"));
}

// Guards against a planned stop that breaks off an answer.
BOOST_AUTO_TEST_CASE(answer_is_completed_while_the_server_stops)
{
    handler.action = [&](net::http_exchange& exchange) -> net::task<void> {
        server->stop_accepting();
        co_await net::sleep_for(20ms);
        net::http_response response;
        response.body = "whole";
        const result<void> sent = co_await exchange.reply(std::move(response));
        BOOST_TEST(sent.has_value());
    };
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await client.send(post + "Content-Length: 0\r\n\r\n");
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.text.ends_with("whole"));
}

// Guards against many uploads that together exhaust the memory while each is below its own limit.
BOOST_AUTO_TEST_CASE(uploads_beyond_the_total_get_503)
{
    limits.max_total_body = 1000;
    const std::uint16_t port = listen();
    raw_client first(io);
    raw_client second(io);
    run([&]() -> net::task<void> {
        const std::string head = post + "Connection: close\r\nContent-Length: 700\r\n\r\n";
        co_await first.connect(port);
        co_await first.send(head + std::string(600, 'a'));
        // The second upload starts only after the first is counted.
        co_await net::sleep_for(20ms);
        co_await second.connect(port);
        co_await second.send(head + std::string(600, 'a'));
        BOOST_TEST(co_await second.read_to_end());
        co_await first.send(std::string(100, 'a'));
        BOOST_TEST(co_await first.read_to_end());
    });
    BOOST_TEST(second.text.starts_with("HTTP/1.1 503"));
    BOOST_TEST(first.text.ends_with("size 700"));
}

BOOST_AUTO_TEST_SUITE_END()
