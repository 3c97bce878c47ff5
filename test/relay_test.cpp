#include "net_fixture.h"
#include "standin/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::relay_direction;

namespace {

// The two blocking sockets of one connection through the relay.
struct socket_pair {
    net::tcp::socket caller;
    net::tcp::socket target;
};

struct fixture {
    net_threads threads;
    net::tcp::acceptor acceptor{threads.io, {net::asio::ip::address_v4::loopback(), 0}};
    std::shared_ptr<standin::relay> relay =
        standin::relay::create(threads.io, {"127.0.0.1", 0}, {"127.0.0.1", acceptor.local_endpoint().port()})
            .value();

    fixture() { relay->start(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    ~fixture() { threads.stop(); }

    socket_pair connect()
    {
        socket_pair connection{net::tcp::socket(threads.io), net::tcp::socket(threads.io)};
        connection.caller.connect({net::asio::ip::address_v4::loopback(), relay->port()});
        acceptor.accept(connection.target);
        return connection;
    }
};

void send(net::tcp::socket& socket, const std::string& text)
{
    net::asio::write(socket, net::asio::buffer(text));
}

std::string receive(net::tcp::socket& socket, std::size_t size)
{
    std::string text(size, '\0');
    net::error_code failure;
    text.resize(net::asio::read(socket, net::asio::buffer(text), failure));
    return text;
}

// Whether the socket has no byte to read. In the test of existing connections this shows that a sent byte is
// delayed, because a byte sent after it on a later connection has already arrived.
bool nothing_received(net::tcp::socket& socket)
{
    return socket.available() == 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay, fixture)

// Guards against a cut of existing connections that also stops later ones, or that loses bytes.
BOOST_AUTO_TEST_CASE(cut_of_existing_connections_delays_only_them)
{
    socket_pair existing = connect();
    send(existing.caller, "a");
    BOOST_TEST(receive(existing.target, 1) == "a");
    relay->cut(relay_direction::both, true);
    send(existing.caller, "b");
    socket_pair later = connect();
    send(later.caller, "c");
    BOOST_TEST(receive(later.target, 1) == "c");
    BOOST_TEST(nothing_received(existing.target));
    relay->heal();
    BOOST_TEST(receive(existing.target, 1) == "b");
}

// Guards against a cut of one direction that also stops the other.
BOOST_AUTO_TEST_CASE(cut_of_one_direction_leaves_the_other_open)
{
    socket_pair connection = connect();
    relay->cut(relay_direction::to_target, false);
    send(connection.caller, "a");
    send(connection.target, "b");
    BOOST_TEST(receive(connection.caller, 1) == "b");
    BOOST_TEST(nothing_received(connection.target));
    relay->heal();
    BOOST_TEST(receive(connection.target, 1) == "a");
}

// Guards against a cut that peers can detect by a closed connection, and against one that does not apply to
// new connections.
BOOST_AUTO_TEST_CASE(cut_covers_new_connections_and_delays_their_end)
{
    relay->cut(relay_direction::both, false);
    socket_pair connection = connect();
    send(connection.caller, "a");
    connection.caller.shutdown(net::tcp::socket::shutdown_send);
    BOOST_TEST(nothing_received(connection.target));
    relay->heal();
    BOOST_TEST(receive(connection.target, 2) == "a");
}

BOOST_AUTO_TEST_CASE(corrupts_exactly_one_byte)
{
    socket_pair connection = connect();
    relay->corrupt_next(relay_direction::to_target);
    send(connection.caller, "aaa");
    BOOST_TEST(receive(connection.target, 3) == "`aa");
}

BOOST_AUTO_TEST_CASE(close_closes_both_sides)
{
    socket_pair connection = connect();
    send(connection.caller, "a");
    BOOST_TEST(receive(connection.target, 1) == "a");
    relay->close();
    BOOST_TEST(receive(connection.caller, 1).empty());
    BOOST_TEST(receive(connection.target, 1).empty());
    socket_pair later = connect();
    send(later.caller, "b");
    BOOST_TEST(receive(later.target, 1) == "b");
}

BOOST_AUTO_TEST_SUITE_END()
