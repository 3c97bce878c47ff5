#include "http_raw_client.h"
#include "net/http_server.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Time limit of a test case; reached only when the server hangs.
constexpr auto case_limit = 20s;

const std::string post = "POST /v1 HTTP/1.1\r\nHost: test\r\n";

// Replies with the size of the request body, or runs `action` when a test sets it.
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

    // Sends `bytes` and checks that the server reads all of them, replies with `status`, counts `event` and
    // closes the connection gracefully.
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

// The tests of refusals guard against a connection reset that discards the response when the client has sent
// more than the server has read.

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

// Guards against a timeout that closes the socket before the 408 response is written.
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

// Guards against a slow sender that occupies a connection without ever pausing long enough for the timeouts.
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

// Guards against a refused client that keeps its connection open by sending forever.
BOOST_AUTO_TEST_CASE(refused_client_that_keeps_sending_is_disconnected)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    std::size_t sent = 0;
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        const std::string part(64 * 1024, 'a');
        bool sent_all = true;
        while (sent_all) {
            sent_all = co_await client.send(part);
            sent += part.size();
        }
    });
    BOOST_TEST(events("malformed_http") + events("headers_too_large") == 1U);
    // The server discards 1 MiB; the rest is in socket buffers when it closes the connection.
    BOOST_TEST(sent < 64U * 1024 * 1024);
}

// Guards against a refused client that keeps its side open without sending; the server waits 2 s for it.
BOOST_AUTO_TEST_CASE(silent_refused_client_is_disconnected)
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

// Guards against a 100 response that invites the client to send a body that is too large.
BOOST_AUTO_TEST_CASE(expect_continue_with_a_large_body_gets_413)
{
    limits.max_body = 1024;
    const std::string request = post + "Expect: 100-continue\r\nContent-Length: 4096\r\n\r\n";
    check_refusal(request, "413", "body_too_large");
}

// Guards against a deadline of the first request that closes the connection or ends the second request.
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

// Guards against memory held for a client that does not read its response.
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

// Guards against silent connections that keep callers out: the one that has been idle for longest makes room.
BOOST_AUTO_TEST_CASE(an_idle_connection_makes_room_for_another)
{
    limits.max_connections = 2;
    const std::uint16_t port = listen();
    run([&]() -> net::task<void> {
        raw_client silent(io);
        co_await silent.connect(port);
        co_await net::sleep_for(20ms);
        for (int i = 0; i < 8; ++i) {
            raw_client next(io);
            co_await next.connect(port);
            co_await next.send(post + "Connection: close\r\nContent-Length: 0\r\n\r\n");
            co_await next.read_to_end();
            BOOST_TEST(next.text.ends_with("size 0"));
        }
        BOOST_TEST(co_await silent.read_to_end());
    });
    BOOST_TEST(events("connection_limit") == 0U);
    BOOST_TEST(events("idle_closed_for_another") >= 1U);
}

// Guards against connections that are held after their clients have closed them, up to the limit: a client
// may close before the server's machine has heard that its end has arrived.
BOOST_AUTO_TEST_CASE(a_connection_ends_when_its_client_has_closed_it)
{
    const std::uint16_t port = listen();
    run([&]() -> net::task<void> {
        constexpr int clients = 100;
        for (int i = 0; i < clients; ++i) {
            raw_client client(io);
            co_await client.connect(port);
            co_await client.send(post + "Connection: close\r\nContent-Length: 0\r\n\r\n");
            co_await client.read_until("size 0");
            co_await net::sleep_for(1ms);
        }
        co_await net::sleep_for(300ms);
        BOOST_TEST(server->connections() == 0U);
    });
}

// Guards against an unbounded number of connections, and against a count that does not fall when they close.
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

// Guards against a graceful stop that truncates a response in progress.
BOOST_AUTO_TEST_CASE(response_is_completed_while_the_server_stops)
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

// Guards against many uploads that together exhaust memory although each is below its own limit.
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
        // Starts the second upload only after the server has counted the first.
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
