#include "broken_heads.h"
#include "net/http_client.h"
#include "net/receive_buffer.h"
#include "net_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

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

enum class ending : std::uint8_t { closed, reset, half_closed_reset };

// What a call gets from a peer that reads `request_bytes` of its request, answers with `text` and closes the
// connection, resets it, or ends its side and then resets it. 0 stands for an error.
unsigned status_from(const std::string& text, std::size_t upload, std::size_t request_bytes, ending how)
{
    net_threads threads;
    net::tcp::acceptor acceptor(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    net::set_receive_buffer(acceptor,
                            net::http_receive_buffer); // of the peer; the rest waits in the send buffer
    const host_port address{"127.0.0.1", acceptor.local_endpoint().port()};
    net::asio::co_spawn(
        threads.io,
        [&]() -> net::task<void> {
            auto [failure, peer] = co_await acceptor.async_accept(net::no_throw);
            std::string bytes(request_bytes, ' ');
            co_await net::asio::async_read(peer, net::asio::buffer(bytes), net::no_throw);
            co_await net::asio::async_write(peer, net::asio::buffer(text), net::no_throw);
            co_await net::sleep_for(50ms); // a reset discards what has not arrived
            if (how == ending::half_closed_reset) {
                peer.shutdown(net::tcp::socket::shutdown_send);
                co_await net::sleep_for(20ms);
            }
            if (how != ending::closed) {
                peer.set_option(net::asio::socket_base::linger(true, 0));
            }
        },
        net::asio::detached);
    const unsigned status = threads.run<unsigned>([&]() -> net::task<unsigned> {
        net::http_call call;
        call.body = std::string(upload, 'x');
        const auto answer = co_await net::fetch_http(address, std::move(call), 5s);
        co_return answer ? answer.value().status : 0;
    });
    threads.stop();
    return status;
}

constexpr std::size_t whole_request = 50; // of a call without a body, at least

// Accepts calls and answers each of them after `delay`.
net::task<void> answer_late(net_threads& threads, net::tcp::acceptor& acceptor, milliseconds delay)
{
    while (true) {
        auto peer = std::make_shared<net::tcp::socket>(threads.strand());
        auto [failure] = co_await acceptor.async_accept(*peer, net::no_throw);
        if (failure) {
            co_return;
        }
        net::asio::co_spawn(
            peer->get_executor(),
            [peer, delay]() -> net::task<void> {
                std::string bytes(whole_request, ' ');
                co_await net::asio::async_read(*peer, net::asio::buffer(bytes), net::no_throw);
                co_await net::sleep_for(delay);
                const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                co_await net::asio::async_write(*peer, net::asio::buffer(text), net::no_throw);
            },
            net::asio::detached);
    }
}

// Calls a peer again and again for a second. Returns how many calls got neither their answer nor an error
// that names the time limit.
net::task<std::size_t> call_again(host_port address, milliseconds limit)
{
    std::size_t wrong = 0;
    const net::http_call call;
    const time_point end = clock::now() + 1s;
    while (clock::now() < end) {
        const auto answer = co_await net::fetch_http(address, call, limit);
        const bool is_late = !answer && answer.error().kind == error_kind::timeout;
        wrong += is_late || (answer && answer.value().body == "ok") ? 0U : 1U;
    }
    co_return wrong;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against an engine in trouble whose status is none, and that passes for an answer.
BOOST_AUTO_TEST_CASE(head_without_a_final_status_is_no_answer)
{
    for (const std::string& status : broken_heads::statuses) {
        const std::string text = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno";
        BOOST_TEST(status_from(text, 0, whole_request, ending::closed) == 0U, status);
    }
}

// Guards against the answer of a peer in trouble whose head has lines that are no fields.
BOOST_AUTO_TEST_CASE(head_with_a_broken_field_name_is_no_answer)
{
    for (const std::string& answer : broken_heads::answers_with_lines("")) {
        BOOST_TEST(status_from(answer, 0, whole_request, ending::closed) == 0U, answer);
    }
}

// Guards against a body whose coding nobody removes, or whose end is not where the length says.
BOOST_AUTO_TEST_CASE(answer_with_an_unknown_transfer_coding_is_no_answer)
{
    for (const std::string& answer : broken_heads::answers_with_codings("")) {
        BOOST_TEST(status_from(answer, 0, whole_request, ending::closed) == 0U, answer);
    }
}

// Guards against an interim head that is taken for the answer.
BOOST_AUTO_TEST_CASE(interim_head_is_skipped)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    BOOST_TEST(status_from(text, 0, whole_request, ending::closed) == 200U);
}

// Guards against an early answer without a length that is reset while the request is still being written, and
// whose part passes for the whole.
BOOST_AUTO_TEST_CASE(early_answer_that_is_reset_is_no_answer)
{
    const std::string text = "HTTP/1.1 200 OK\r\n\r\na part of the answer";
    for (const std::size_t upload : {std::size_t{6'000}, std::size_t{4'000'000}}) {
        BOOST_TEST(status_from(text, upload, whole_request, ending::reset) == 0U, upload << " bytes");
    }
}

// Guards against the same if the peer has ended its side of the connection first, and a part of the request
// has not left the kernel yet.
BOOST_AUTO_TEST_CASE(early_answer_of_a_peer_that_goes_away_is_no_answer)
{
    const std::string text = "HTTP/1.1 200 OK\r\n\r\na part of the answer";
    for (const std::size_t upload :
         {std::size_t{250'000}, std::size_t{500'000}, std::size_t{1'000'000}, std::size_t{4'000'000}}) {
        BOOST_TEST(status_from(text, upload, whole_request, ending::half_closed_reset) == 0U,
                   upload << " bytes");
    }
}

// Guards against a call that waits for its deadline because its peer has lost power without a reset.
BOOST_AUTO_TEST_CASE(idle_connection_is_probed)
{
    net_threads threads;
    net::tcp::acceptor acceptor(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    const host_port address{"127.0.0.1", acceptor.local_endpoint().port()};
    net::asio::co_spawn(
        threads.strand(),
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

// Guards against fixtures that run a call and its time limit side by side: a limit that ends as the answer
// arrives then closes a socket twice, and the next connections share the state of one.
BOOST_AUTO_TEST_CASE(time_limits_end_as_answers_arrive)
{
    constexpr milliseconds limit{10};
    net_threads threads;
    net::tcp::acceptor acceptor(threads.strand(), {net::asio::ip::address_v4::loopback(), 0});
    const host_port address{"127.0.0.1", acceptor.local_endpoint().port()};
    net::asio::co_spawn(acceptor.get_executor(), answer_late(threads, acceptor, limit), net::asio::detached);
    constexpr std::size_t caller_count = 16;
    std::vector<std::future<std::size_t>> callers;
    callers.reserve(caller_count);
    while (callers.size() < caller_count) {
        callers.push_back(
            net::asio::co_spawn(threads.strand(), call_again(address, limit), net::asio::use_future));
    }
    std::size_t wrong = 0;
    for (std::future<std::size_t>& caller : callers) {
        wrong += caller.get();
    }
    threads.stop();
    BOOST_TEST(wrong == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
