#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Time limit of a test case; reached only when the server hangs.
constexpr auto case_limit = 20s;

// Starts a stream, writes "part" and an empty chunk, and returns without finishing.
class unfinished_handler : public net::http_handler {
public:
    net::task<void> handle(net::http_exchange& exchange) override
    {
        m_started = (co_await exchange.start_stream(200, "text/plain", {})).has_value();
        m_part = (co_await exchange.write("part")).has_value();
        m_empty = (co_await exchange.write("")).has_value();
    }

    bool all_written() const { return m_started && m_part && m_empty; }

private:
    bool m_started = false;
    bool m_part = false;
    bool m_empty = false;
};

// Starts a stream and then answers a second time.
class second_answer_handler : public net::http_handler {
public:
    net::task<void> handle(net::http_exchange& exchange) override
    {
        (void)co_await exchange.start_stream(200, "text/plain", {});
        (void)co_await exchange.write("part");
        net::http_response second;
        second.status = 409;
        second.body = "text of an error";
        m_replied = (co_await exchange.reply(second)).has_value();
        m_started = (co_await exchange.start_stream(409, "text/plain", {})).has_value();
    }

    bool any_written() const { return m_replied || m_started; }

private:
    bool m_replied = true;
    bool m_started = true;
};

struct fixture {
    net::asio::io_context io;
    metrics counters;
    net::http_limits limits;
    unfinished_handler handler;
    std::shared_ptr<net::http_server> server;

    host_port listen()
    {
        server = net::http_server::create(io, {"127.0.0.1", 0}, limits, handler, counters, "test").value();
        server->start();
        return {"127.0.0.1", server->port()};
    }

    template <typename Body>
    void run(Body body)
    {
        bool done = false;
        net::asio::co_spawn(io, body(), [&](const std::exception_ptr&) {
            done = true;
            io.stop();
        });
        io.run_for(case_limit);
        BOOST_TEST(done);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, fixture)

// Guards against a truncated response that is taken for a complete one.
BOOST_AUTO_TEST_CASE(unfinished_stream_is_an_error_for_the_client)
{
    const host_port address = listen();
    bool failed = false;
    run([&]() -> net::task<void> {
        net::http_call call;
        const auto response = co_await net::fetch_http(address, call, 10s);
        failed = !response.has_value();
    });
    BOOST_TEST(handler.all_written());
    BOOST_TEST(failed);
}

// Guards against the head or body of a second answer in the middle of a stream.
BOOST_AUTO_TEST_CASE(second_answer_is_not_written_into_a_stream)
{
    second_answer_handler second;
    server = net::http_server::create(io, {"127.0.0.1", 0}, limits, second, counters, "test").value();
    server->start();
    std::string received;
    run([&]() -> net::task<void> {
        net::tcp::socket socket(io);
        const net::tcp::endpoint peer(net::asio::ip::address_v4::loopback(), server->port());
        co_await socket.async_connect(peer, net::no_throw);
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        co_await socket.async_write_some(net::asio::buffer(request), net::no_throw);
        std::array<char, 1024> bytes{};
        std::size_t size = 0;
        do {
            const auto read = co_await socket.async_read_some(net::asio::buffer(bytes), net::no_throw);
            size = std::get<1>(read);
            received.append(bytes.data(), size);
        } while (size != 0);
    });
    BOOST_TEST(!second.any_written());
    BOOST_TEST(received.ends_with("\r\n\r\n4\r\npart\r\n"), received);
}

// Guards against connections that send nothing and stay open forever.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed)
{
    limits.idle_timeout = 20ms;
    const host_port address = listen();
    net::error_code failure;
    run([&]() -> net::task<void> {
        net::tcp::socket socket(io);
        const net::tcp::endpoint peer(net::asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(peer, net::no_throw);
        std::array<char, 16> bytes{};
        const auto read = co_await socket.async_read_some(net::asio::buffer(bytes), net::no_throw);
        failure = std::get<0>(read);
    });
    BOOST_TEST((failure == net::asio::error::eof));
}

BOOST_AUTO_TEST_SUITE_END()
