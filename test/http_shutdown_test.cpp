#include "http_raw_client.h"
#include "net/http_server.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Time limit of a test case; reached only when the server hangs.
constexpr auto case_limit = 20s;

const std::string request = "GET /v1 HTTP/1.1\r\nHost: test\r\n\r\n";

// Replies with a body of `size` bytes, after `delay`.
class sized_handler : public net::http_handler {
public:
    std::size_t size = 2;
    milliseconds delay{0};

    net::task<void> handle(net::http_exchange& exchange) override
    {
        ++requests;
        if (delay != 0ms) {
            co_await net::sleep_for(delay);
        }
        net::http_response response;
        response.body = std::string(size, 'a');
        const result<void> sent = co_await exchange.reply(std::move(response));
        replied = sent.has_value();
    }

    int requests = 0;
    bool replied = false;
};

struct fixture {
    net::asio::io_context io;
    metrics counters;
    sized_handler handler;
    std::shared_ptr<net::http_server> server;

    std::uint16_t listen()
    {
        server = net::http_server::create(io, {"127.0.0.1", 0}, {}, handler, counters, "test").value();
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
        io.restart();
        BOOST_TEST(done);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_shutdown, fixture)

// Guards against requests that are reset because their connection waits in the accept queue at the stop.
BOOST_AUTO_TEST_CASE(connections_in_the_accept_queue_are_served)
{
    const std::uint16_t port = listen();
    // The kernel accepts the connections before the server runs.
    std::vector<net::tcp::socket> sockets;
    for (int i = 0; i < 5; ++i) {
        net::tcp::socket& socket = sockets.emplace_back(io);
        socket.connect({net::asio::ip::make_address("127.0.0.1"), port});
        net::asio::write(socket, net::asio::buffer(request));
    }
    server->stop_accepting();
    run([&]() -> net::task<void> {
        for (net::tcp::socket& socket : sockets) {
            std::string text(1024, '\0');
            auto [failure, size] = co_await socket.async_read_some(net::asio::buffer(text), net::no_throw);
            BOOST_TEST(!failure);
            BOOST_TEST(text.starts_with("HTTP/1.1 200"));
        }
    });
    BOOST_TEST(handler.requests == 5);
}

// Guards against a stop that ends while the header of a request arrives.
BOOST_AUTO_TEST_CASE(request_counts_from_its_first_byte)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        BOOST_TEST(co_await client.send("G"));
        co_await net::sleep_for(20ms);
        BOOST_TEST(server->active_requests() == 1U);
        server->stop_accepting();
        co_await net::sleep_for(20ms);
        BOOST_TEST(server->active_requests() == 1U);
        BOOST_TEST(co_await client.send(request.substr(1)));
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.starts_with("HTTP/1.1 200"));
}

// Guards against a reset, caused by bytes after the request, that destroys the end of the answer.
BOOST_AUTO_TEST_CASE(bytes_after_the_request_do_not_cut_its_answer)
{
    handler.size = 4 * 1024 * 1024;
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port, 4096);
        BOOST_TEST(co_await client.send("GET /v1 HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"));
        BOOST_TEST(co_await client.read_until("\r\n\r\n"));
        BOOST_TEST(co_await client.send(request));
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(client.text.size() >= handler.size);
}

// Guards against a process that ends before the answer has left its machine.
BOOST_AUTO_TEST_CASE(request_counts_until_its_answer_has_left)
{
    handler.size = 12'000;
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port, 2048);
        server->close_after_responses();
        BOOST_TEST(co_await client.send(request));
        co_await net::sleep_for(100ms);
        BOOST_TEST(handler.replied);
        BOOST_TEST(server->active_requests() == 1U);
        BOOST_TEST(co_await client.read_to_end());
        BOOST_TEST(client.text.size() >= handler.size);
        co_await net::sleep_for(50ms);
        BOOST_TEST(server->active_requests() == 0U);
    });
}

// Guards against a connection that is closed although its answer has announced that it stays open.
BOOST_AUTO_TEST_CASE(connection_closes_only_after_an_answer_that_says_so)
{
    handler.delay = 50ms;
    handler.size = 8 * 1024 * 1024;
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port, 4096);
        BOOST_TEST(co_await client.send(request));
        BOOST_TEST(co_await client.read_until("\r\n\r\n"));
        server->close_after_responses();
        BOOST_TEST(co_await client.read_until(std::string(64, 'a')));
        BOOST_TEST(co_await client.send(request));
        BOOST_TEST(co_await client.read_to_end());
    });
    BOOST_TEST(handler.requests == 2);
    BOOST_TEST(client.text.find("Connection: close") != std::string::npos);
}

// Guards against a request that is passed on after the stop has found no request left.
BOOST_AUTO_TEST_CASE(request_after_the_end_of_admission_is_refused)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        BOOST_TEST(co_await client.send("G"));
        co_await net::sleep_for(20ms);
        server->stop_accepting();
        BOOST_TEST(!co_await server->close_when_idle(clock::now() + 30ms));
        BOOST_TEST(co_await client.send(request.substr(1)));
        BOOST_TEST(co_await client.read_to_end());
        BOOST_TEST(co_await server->wait_idle(clock::now() + 1s));
    });
    BOOST_TEST(client.text.starts_with("HTTP/1.1 503"));
    BOOST_TEST(client.text.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.text.find("\"outcome\":\"not_run\"") != std::string::npos);
    BOOST_TEST(handler.requests == 0);
    BOOST_TEST(server->late_requests() == 1U);
}

// Guards against a stop that waits for connections without a request.
BOOST_AUTO_TEST_CASE(idle_connections_do_not_delay_the_end_of_admission)
{
    const std::uint16_t port = listen();
    raw_client client(io);
    run([&]() -> net::task<void> {
        co_await client.connect(port);
        co_await net::sleep_for(20ms);
        const time_point begin = clock::now();
        server->stop_accepting();
        BOOST_TEST(co_await server->close_when_idle(begin + 5s));
        BOOST_TEST((clock::now() - begin < 1s));
        BOOST_TEST(co_await client.read_to_end());
    });
}

BOOST_AUTO_TEST_SUITE_END()
