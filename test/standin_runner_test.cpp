#include "net_fixture.h"
#include "standin/platform_runner.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace verbena;

BOOST_AUTO_TEST_SUITE(standin_runner)

// Guards against test programs that crash because a runner closes its listener while it accepts a connection.
BOOST_AUTO_TEST_CASE(stops_while_connections_arrive)
{
    net_threads threads;
    for (int round = 0; round < 300; ++round) {
        standin::runner_options options;
        options.id = "model-" + std::to_string(round);
        options.listen = {"127.0.0.1", free_port()};
        const auto created = standin::platform_runner::create(threads.io, options);
        BOOST_TEST_REQUIRE(created.has_value());
        const net::tcp::endpoint address(net::asio::ip::address_v4::loopback(), options.listen.port);
        created.value()->start();
        std::atomic<bool> stopped{false};
        std::jthread caller([&] {
            net::asio::io_context io;
            while (!stopped) {
                net::tcp::socket socket(io);
                net::error_code ignored;
                socket.connect(address, ignored);
            }
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        created.value()->stop();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        stopped = true;
    }
}

BOOST_AUTO_TEST_SUITE_END()
