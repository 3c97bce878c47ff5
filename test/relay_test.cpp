#include "net_fixture.h"
#include "standin/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::relay_direction;

namespace {

// A blocking pair of sockets whose bytes go through the relay.
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
        socket_pair pair{net::tcp::socket(threads.io), net::tcp::socket(threads.io)};
        pair.caller.connect({net::asio::ip::address_v4::loopback(), relay->port()});
        acceptor.accept(pair.target);
        return pair;
    }
};

void send(net::tcp::socket& socket, const std::string& text)
{
    net::asio::write(socket, net::asio::buffer(text));
}

std::string take(net::tcp::socket& socket, std::size_t size)
{
    std::string text(size, '\0');
    net::error_code failure;
    text.resize(net::asio::read(socket, net::asio::buffer(text), failure));
    return text;
}

// Proof that a byte is held back: it has left the caller, a byte on another connection made later has gone
// through, and the first one has not.
bool is_silent(net::tcp::socket& socket)
{
    return socket.available() == 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay, fixture)

// Guards against a cut that also stops connections made after it, or that loses bytes.
BOOST_AUTO_TEST_CASE(silent_cut_holds_existing_connections_only)
{
    socket_pair old = connect();
    send(old.caller, "a");
    BOOST_TEST(take(old.target, 1) == "a");
    relay->cut(relay_direction::both, true);
    send(old.caller, "b");
    socket_pair fresh = connect();
    send(fresh.caller, "c");
    BOOST_TEST(take(fresh.target, 1) == "c");
    BOOST_TEST(is_silent(old.target));
    relay->heal();
    BOOST_TEST(take(old.target, 1) == "b");
}

// Guards against a cut of one direction that stops the other one.
BOOST_AUTO_TEST_CASE(one_direction_goes_on)
{
    socket_pair pair = connect();
    relay->cut(relay_direction::to_target, false);
    send(pair.caller, "a");
    send(pair.target, "b");
    BOOST_TEST(take(pair.caller, 1) == "b");
    BOOST_TEST(is_silent(pair.target));
    relay->heal();
    BOOST_TEST(take(pair.target, 1) == "a");
}

// Guards against a cut that the peers notice by a closed connection, and a cut that new connections escape.
BOOST_AUTO_TEST_CASE(cut_of_all_covers_new_connections_and_their_end)
{
    relay->cut(relay_direction::both, false);
    socket_pair pair = connect();
    send(pair.caller, "a");
    pair.caller.shutdown(net::tcp::socket::shutdown_send);
    BOOST_TEST(is_silent(pair.target));
    relay->heal();
    BOOST_TEST(take(pair.target, 2) == "a");
}

BOOST_AUTO_TEST_CASE(corrupts_exactly_one_byte)
{
    socket_pair pair = connect();
    relay->corrupt_next(relay_direction::to_target);
    send(pair.caller, "aaa");
    BOOST_TEST(take(pair.target, 3) == "`aa");
}

BOOST_AUTO_TEST_CASE(close_ends_both_sides)
{
    socket_pair pair = connect();
    send(pair.caller, "a");
    BOOST_TEST(take(pair.target, 1) == "a");
    relay->close();
    BOOST_TEST(take(pair.caller, 1).empty());
    BOOST_TEST(take(pair.target, 1).empty());
    socket_pair fresh = connect();
    send(fresh.caller, "b");
    BOOST_TEST(take(fresh.target, 1) == "b");
}

BOOST_AUTO_TEST_SUITE_END()
