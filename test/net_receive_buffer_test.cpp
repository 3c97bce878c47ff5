#include "forward/endpoint_call.h"
#include "net/http_server.h"
#include "net_fixture.h"
#include "platform/http_protocol_adapter.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Upper bound of what waits in the kernel for one connection: the buffers of both ends, doubled.
constexpr std::size_t max_unread = 256 * 1024;
// What a reader has to take before the kernel lets a buffer grow that it may size.
constexpr std::size_t read_before = 8 * 1024 * 1024;

// Writes the same bytes until the connection ends, and counts them.
net::task<void> send_endless(net::tcp::socket& socket, std::atomic<std::size_t>& sent, std::string block)
{
    while (true) {
        auto [failure, size] =
            co_await net::asio::async_write(socket, net::asio::buffer(block), net::no_throw);
        sent += size;
        if (failure) {
            co_return;
        }
    }
}

void bound_send_buffer(net::tcp::socket& socket)
{
    socket.set_option(net::tcp::socket::send_buffer_size(16 * 1024));
}

// How many bytes go out until nothing more does.
std::size_t settled(const std::atomic<std::size_t>& sent)
{
    std::size_t last = 0;
    do {
        last = sent;
        std::this_thread::sleep_for(300ms);
    } while (last != sent);
    return last;
}

} // namespace

BOOST_AUTO_TEST_SUITE(net_receive_buffer)

// Guards against an answer that takes megabytes of the kernel's memory while this process does not read.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_read_takes_little_memory)
{
    net_threads threads;
    net::tcp::acceptor acceptor(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    const host_port address{"127.0.0.1", acceptor.local_endpoint().port()};
    std::atomic<std::size_t> sent{0};
    net::asio::co_spawn(
        threads.io,
        [&]() -> net::task<void> {
            net::tcp::socket socket(threads.io);
            co_await acceptor.async_accept(socket, net::no_throw);
            bound_send_buffer(socket);
            const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            co_await net::asio::async_write(socket, net::asio::buffer(head), net::no_throw);
            co_await send_endless(socket, sent, "10000\r\n" + std::string(0x10000, 'x') + "\r\n");
        },
        net::asio::detached);
    std::shared_ptr<forward::endpoint_call> call;
    const auto taken = threads.run<std::size_t>([&]() -> net::task<std::size_t> {
        call = std::make_shared<forward::endpoint_call>(net::asio::make_strand(threads.io));
        const platform::http_protocol_adapter protocol;
        (void)co_await call->connect(address, 1s);
        (void)co_await call->read_head(protocol, clock::now() + 1s);
        std::size_t bytes = 0;
        while (bytes < read_before) {
            const result<std::string> chunk = co_await call->read_some(clock::now() + 5s);
            if (!chunk) {
                break;
            }
            bytes += chunk.value().size();
        }
        co_return bytes;
    });
    BOOST_TEST(taken >= read_before);
    BOOST_TEST(settled(sent) - taken < max_unread);
    call->close();
    threads.stop();
}

// The same for a caller whose request is refused, and for one that sends while its request is in work.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_read_takes_little_memory)
{
    struct waiting_handler : net::http_handler {
        net::task<void> handle(net::http_exchange&) override { co_await net::sleep_for(5s); }
    };
    net_threads threads;
    metrics counters;
    net::http_limits limits;
    limits.max_body = read_before;
    limits.max_total_body = read_before;
    waiting_handler handler;
    auto server =
        net::http_server::create(threads.io, {"127.0.0.1", 0}, limits, handler, counters, "test").value();
    server->start();
    net::tcp::socket socket(threads.io);
    socket.connect({net::asio::ip::address_v4::loopback(), server->port()});
    bound_send_buffer(socket);
    const std::string first =
        "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(read_before) + "\r\n\r\n" +
        std::string(read_before, 'x');
    net::asio::write(socket, net::asio::buffer(first));
    std::atomic<std::size_t> sent{0};
    net::asio::co_spawn(
        threads.io,
        [&]() -> net::task<void> { co_await send_endless(socket, sent, std::string(0x10000, 'x')); },
        net::asio::detached);
    BOOST_TEST(settled(sent) < max_unread);
    threads.stop();
}

BOOST_AUTO_TEST_SUITE_END()
