#include "net/http_client.h"
#include "net_fixture.h"

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Whether the kernel will probe an established connection to this port on loopback when it is idle.
bool is_probed(std::uint16_t port)
{
    char remote[16];
    std::snprintf(remote, sizeof remote, "0100007F:%04X", port);
    std::ifstream table("/proc/self/net/tcp");
    std::string slot;
    std::string local;
    std::string peer;
    std::string state;
    std::string queues;
    std::string timer;
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        fields >> slot >> local >> peer >> state >> queues >> timer;
        if (peer == remote && state == "01" && timer.starts_with("02:")) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against a call that waits for its deadline because its peer has lost power without a reset.
BOOST_AUTO_TEST_CASE(idle_connection_is_probed)
{
    net_threads threads;
    net::tcp::acceptor acceptor(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    const host_port address{"127.0.0.1", acceptor.local_endpoint().port()};
    net::asio::co_spawn(
        threads.io,
        [address]() -> net::task<void> {
            const net::http_call call;
            (void)co_await net::fetch_http(address, call, 15s);
        },
        net::asio::detached);
    net::tcp::socket accepted(threads.io);
    acceptor.accept(accepted);
    BOOST_TEST(eventually([&] { return is_probed(address.port); }));
    accepted.close();
    threads.stop();
}

BOOST_AUTO_TEST_SUITE_END()
