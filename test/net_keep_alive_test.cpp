#include "net/keep_alive.h"
#include "net_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Two ends of a connection with probes each second, which ends after two of them without an answer.
struct connected_sockets {
    static constexpr std::chrono::seconds interval{1};
    static constexpr int probes = 2;

    net::asio::io_context io;
    net::tcp::acceptor acceptor{io, {net::asio::ip::address_v4::loopback(), 0}};
    net::tcp::socket writer{io};
    net::tcp::socket reader{io};

    connected_sockets()
    {
        writer.connect(acceptor.local_endpoint());
        acceptor.accept(reader);
        net::set_keep_alive(writer, interval, probes);
        writer.non_blocking(true);
    }

    int option(int level, int name)
    {
        int value = -1;
        socklen_t size = sizeof value;
        BOOST_TEST_REQUIRE(::getsockopt(writer.native_handle(), level, name, &value, &size) == 0);
        return value;
    }

    std::size_t write_until_full()
    {
        const std::string block(64 * 1024, 'x');
        std::size_t written = 0;
        net::error_code failure;
        while (!failure) {
            written += writer.write_some(net::asio::buffer(block), failure);
        }
        BOOST_TEST((failure == net::asio::error::would_block));
        return written;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(net_keep_alive)

// Guards against connections that are probed at other times than asked for.
BOOST_FIXTURE_TEST_CASE(sets_probes, connected_sockets)
{
    BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPIDLE) == interval.count());
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPINTVL) == interval.count());
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPCNT) == probes);
    BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
}

// Guards against slow readers that are cut although their machine acknowledges, as TCP_USER_TIMEOUT would do.
BOOST_FIXTURE_TEST_CASE(a_reader_that_pauses_keeps_its_connection, connected_sockets)
{
    const std::size_t written = write_until_full();
    std::this_thread::sleep_for((probes + 1) * interval + 2s);
    BOOST_TEST(option(SOL_SOCKET, SO_ERROR) == 0);
    std::string received(written, '\0');
    net::error_code failure;
    BOOST_TEST(net::asio::read(reader, net::asio::buffer(received), failure) == written);
    BOOST_TEST(!failure);
}

BOOST_AUTO_TEST_SUITE_END()
