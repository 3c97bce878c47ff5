#include "net_peers.h"
#include "standin/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <atomic>
#include <span>
#include <xxhash.h>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

using stream_ptr = stream_queue::stream_ptr;

// Number of messages that fit into the initial window of 64 KiB, after which the sender of a stream that is
// not read must wait: with messages of 1 KiB, and with the minimum message cost of 64 bytes.
constexpr std::uint32_t kilobyte_messages_per_window = 64;
constexpr std::uint32_t tiny_messages_per_window = 1'024;

net::task<void> send_numbered(stream_ptr stream, std::uint32_t count, std::size_t size,
                              std::shared_ptr<std::atomic<std::uint32_t>> sent)
{
    for (std::uint32_t number = 0; number < count; ++number) {
        wire::answer_dataT data;
        data.attempt = stream->id();
        data.offset = number;
        data.bytes.resize(size);
        auto message = net::make_frame(std::move(data));
        const result<void> done = co_await stream->send_data(std::move(message), size);
        if (!done) {
            co_return;
        }
        ++*sent;
    }
}

std::shared_ptr<std::atomic<std::uint32_t>> start_sender(peers& both_peers, const stream_ptr& stream,
                                                         std::uint32_t count, std::size_t size)
{
    auto sent = std::make_shared<std::atomic<std::uint32_t>>(0);
    net::asio::co_spawn(both_peers.threads.io, send_numbered(stream, count, size, sent), net::asio::detached);
    return sent;
}

// Receives `count` data messages and returns how many arrived in order on the stream that they were sent on.
// Stops at the first that did not.
net::task<std::uint32_t> receive_numbered(stream_ptr stream, std::uint32_t count)
{
    std::uint32_t valid_count = 0;
    for (std::uint32_t number = 0; number < count; ++number) {
        const auto message = co_await stream->receive();
        if (!message) {
            break;
        }
        const wire::answer_data* data = message.value().frame->message_as_answer_data();
        if (data == nullptr || data->offset() != number || data->attempt() != stream->id()) {
            break;
        }
        ++valid_count;
        stream->grant_window(data->bytes()->size());
    }
    co_return valid_count;
}

std::uint32_t receive_all(peers& both_peers, const stream_ptr& stream, std::uint32_t count)
{
    return both_peers.threads.run<std::uint32_t>([&] { return receive_numbered(stream, count); });
}

// Whether the next receive fails because the stream has ended. Waits for a message or the end.
bool has_ended(peers& both_peers, const stream_ptr& stream)
{
    return both_peers.threads.run<bool>([&]() -> net::task<bool> {
        const auto message = co_await stream->receive();
        co_return !message.has_value();
    });
}

// The error message of a failed connection attempt; empty when it succeeds.
std::string connect_error(peers& both_peers, const host_port& address, milliseconds timeout)
{
    return both_peers.threads.run<std::string>([&]() -> net::task<std::string> {
        const auto opened = co_await both_peers.pool->get(address, timeout);
        co_return opened ? std::string() : opened.error().message;
    });
}

std::vector<std::uint8_t> hello_frame()
{
    wire::helloT hello;
    hello.role = wire::role::entry;
    hello.name = "raw";
    hello.cluster = "cluster";
    return net::encode_frame(0, net::make_frame(std::move(hello)));
}

void write_bytes(net::tcp::socket& socket, const std::vector<std::uint8_t>& bytes)
{
    net::asio::write(socket, net::asio::buffer(bytes));
}

// Reads and discards until the peer closes the connection.
void read_to_end(net::tcp::socket& socket)
{
    std::array<char, 256> bytes{};
    net::error_code failure;
    while (!failure) {
        socket.read_some(net::asio::buffer(bytes), failure);
    }
}

struct header_corruption {
    const char* reason;
    std::size_t byte;
    std::uint8_t value;
};

// Changes to single bytes of the frame header that make a valid frame malformed, and the event counted for
// each.
constexpr std::array<header_corruption, 4> header_corruptions{
    {{"bad_magic", 0, 0}, {"bad_version", 2, 9}, {"bad_length", 11, 1}, {"bad_checksum", 12, 0}}};

std::vector<std::uint8_t> corrupted_frame(const header_corruption& kind)
{
    std::vector<std::uint8_t> bytes = net::encode_frame(0, net::make_frame(wire::pingT{}));
    const bool is_same_value = bytes[kind.byte] == kind.value;
    bytes[kind.byte] = is_same_value ? static_cast<std::uint8_t>(kind.value + 1) : kind.value;
    return bytes;
}

// A frame with a correct length and checksum but an arbitrary payload.
std::vector<std::uint8_t> raw_frame(std::uint32_t stream, std::span<const std::uint8_t> payload)
{
    std::vector<std::uint8_t> bytes = net::encode_frame(stream, net::make_frame(wire::pingT{}));
    bytes.resize(net::frame_header_size);
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    const auto checksum = static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size()));
    boost::endian::store_little_u32(bytes.data() + 8, static_cast<std::uint32_t>(payload.size()));
    boost::endian::store_little_u32(bytes.data() + 12, checksum);
    return bytes;
}

std::vector<std::uint8_t> frame_with_invalid_table()
{
    const std::vector<std::uint8_t> payload(32, 0xFF);
    return raw_frame(0, payload);
}

std::vector<std::uint8_t> frame_without_message()
{
    flatbuffers::FlatBufferBuilder builder;
    wire::frameBuilder table(builder);
    table.add_message_type(wire::body::submit);
    builder.Finish(table.Finish());
    return raw_frame(1, {builder.GetBufferPointer(), builder.GetSize()});
}

// Sends a data message without waiting for the send window, as a faulty peer would.
void send_ignoring_window(const stream_ptr& stream, std::size_t size)
{
    wire::answer_dataT data;
    data.bytes.resize(size);
    stream->send(net::make_frame(std::move(data)));
}

// Receives up to `count` messages without granting window to the peer; returns the number received.
std::uint32_t receive_without_grant(peers& both_peers, const stream_ptr& stream, std::uint32_t count)
{
    return both_peers.threads.run<std::uint32_t>([&]() -> net::task<std::uint32_t> {
        std::uint32_t received = 0;
        while (received < count) {
            const auto message = co_await stream->receive();
            if (!message) {
                break;
            }
            ++received;
        }
        co_return received;
    });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(net_connection, peers)

// Guards against messages that are reordered or delivered to the wrong stream when many streams share a
// connection.
BOOST_AUTO_TEST_CASE(messages_of_many_streams_keep_order_and_stream)
{
    constexpr std::uint32_t streams = 40;
    constexpr std::uint32_t messages = 200;
    start();
    std::vector<std::pair<stream_ptr, stream_ptr>> open_pairs;
    for (std::uint32_t index = 1; index <= streams; ++index) {
        stream_ptr local = open(index);
        open_pairs.emplace_back(local, accepted.with_attempt(index));
        start_sender(*this, local, messages, 1'024);
        start_sender(*this, open_pairs.back().second, messages, 100);
    }
    for (const auto& [local, remote] : open_pairs) {
        BOOST_TEST(local->id() == remote->id());
        BOOST_TEST(receive_all(*this, remote, messages) == messages);
        BOOST_TEST(receive_all(*this, local, messages) == messages);
    }
}

// Guards against a slow reader of one stream that blocks the other streams of its connection.
BOOST_AUTO_TEST_CASE(unread_stream_does_not_block_other_streams)
{
    start();
    const stream_ptr blocked = open(1);
    const stream_ptr active = open(2);
    const stream_ptr blocked_peer = accepted.with_attempt(1);
    const stream_ptr active_peer = accepted.with_attempt(2);
    const auto blocked_sent = start_sender(*this, blocked, 1'000, 1'024);
    BOOST_TEST(eventually([&] { return *blocked_sent == kilobyte_messages_per_window; }));
    start_sender(*this, active, 1'000, 1'024);
    BOOST_TEST(receive_all(*this, active_peer, 1'000) == 1'000U);
    BOOST_TEST(*blocked_sent == kilobyte_messages_per_window);
    BOOST_TEST(receive_all(*this, blocked_peer, 1'000) == 1'000U);
}

// Guards against unbounded memory for queued tiny messages, which take more memory than their payload.
BOOST_AUTO_TEST_CASE(tiny_messages_are_bounded_by_the_minimum_cost)
{
    start();
    const stream_ptr blocked = open(1);
    const stream_ptr active = open(2);
    const stream_ptr active_peer = accepted.with_attempt(2);
    const auto sent = start_sender(*this, blocked, 5'000, 1);
    BOOST_TEST(eventually([&] { return *sent == tiny_messages_per_window; }));
    start_sender(*this, active, 2'000, 1);
    BOOST_TEST(receive_all(*this, active_peer, 2'000) == 2'000U);
    BOOST_TEST(*sent == tiny_messages_per_window);
}

// Guards against a malformed frame that is not counted, is processed or closes another connection.
BOOST_AUTO_TEST_CASE(malformed_frame_closes_only_its_connection)
{
    start();
    const stream_ptr other = open(1);
    const stream_ptr other_peer = accepted.with_attempt(1);
    for (const header_corruption& kind : header_corruptions) {
        net::tcp::socket socket = raw_socket();
        write_bytes(socket, hello_frame());
        write_bytes(socket, corrupted_frame(kind));
        read_to_end(socket);
        BOOST_TEST(server_events(kind.reason) == 1U, kind.reason);
    }
    start_sender(*this, other, 100, 1'024);
    BOOST_TEST(receive_all(*this, other_peer, 100) == 100U);
}

// Guards against malformed input in place of hello that closes the connection without being counted.
BOOST_AUTO_TEST_CASE(malformed_first_frame_is_counted)
{
    start();
    for (const header_corruption& kind : header_corruptions) {
        net::tcp::socket socket = raw_socket();
        write_bytes(socket, corrupted_frame(kind));
        read_to_end(socket);
        BOOST_TEST(server_events(kind.reason) == 1U, kind.reason);
    }
}

// Guards against using a table without verification because its checksum is correct.
BOOST_AUTO_TEST_CASE(invalid_table_with_a_valid_checksum_closes_the_connection)
{
    start();
    net::tcp::socket socket = raw_socket();
    write_bytes(socket, hello_frame());
    write_bytes(socket, frame_with_invalid_table());
    read_to_end(socket);
    BOOST_TEST(server_events("bad_payload") == 1U);
}

// Guards against dereferencing a null table: the verifier accepts a union type without a value. Found by
// fuzzing.
BOOST_AUTO_TEST_CASE(message_type_without_a_message_closes_the_connection)
{
    start();
    net::tcp::socket socket = raw_socket();
    write_bytes(socket, hello_frame());
    write_bytes(socket, frame_without_message());
    read_to_end(socket);
    BOOST_TEST(server_events("bad_payload") == 1U);
}

// Guards against a peer that ignores the window and makes the receiver buffer unbounded data. The last
// message within the window may exceed it, because send_data() requires only a positive window.
BOOST_AUTO_TEST_CASE(peer_that_exceeds_the_window_is_closed)
{
    start();
    const stream_ptr local = open(1);
    const stream_ptr remote = accepted.with_attempt(1);
    for (std::uint32_t count = 1; count < kilobyte_messages_per_window; ++count) {
        send_ignoring_window(local, 1'024);
    }
    send_ignoring_window(local, net::max_data_slice);
    BOOST_TEST(receive_without_grant(*this, remote, kilobyte_messages_per_window) ==
               kilobyte_messages_per_window);
    BOOST_TEST(server_events("window_exceeded") == 0U);
    send_ignoring_window(local, 1);
    BOOST_TEST(has_ended(*this, remote));
    BOOST_TEST(has_ended(*this, local));
    BOOST_TEST(server_events("window_exceeded") == 1U);
}

// Guards against accidental connections between processes of different deployments.
BOOST_AUTO_TEST_CASE(wrong_cluster_is_refused_and_counted)
{
    client_options.self.cluster = "another";
    start();
    BOOST_TEST(!connect_error(*this, address(), 10'000ms).empty());
    BOOST_TEST(server_events("wrong_cluster") == 1U);
    BOOST_TEST(accepted.size() == 0U);
}

// Guards against closed streams that stay in the stream table of either side.
BOOST_AUTO_TEST_CASE(reset_closes_and_frees_the_stream_on_both_sides)
{
    start();
    const stream_ptr local = open(1);
    const stream_ptr remote = accepted.with_attempt(1);
    BOOST_TEST(remote->parent()->open_streams() == 1U);
    local->close(make_error(error_kind::unavailable, "no longer needed"));
    BOOST_TEST(has_ended(*this, local));
    BOOST_TEST(has_ended(*this, remote));
    BOOST_TEST(local->parent()->open_streams() == 0U);
    BOOST_TEST(remote->parent()->open_streams() == 0U);
}

// Guards against receivers and senders that wait forever on a closed connection.
BOOST_AUTO_TEST_CASE(closed_connection_closes_and_frees_all_streams)
{
    start();
    const stream_ptr local = open(1);
    const stream_ptr remote = accepted.with_attempt(1);
    const auto sent = start_sender(*this, local, 1'000, 1'024);
    BOOST_TEST(eventually([&] { return *sent == kilobyte_messages_per_window; }));
    remote->parent()->close(make_error(error_kind::unavailable, "broken by the test"));
    BOOST_TEST(has_ended(*this, local));
    BOOST_TEST(eventually([&] { return local->parent()->open_streams() == 0U; }));
    BOOST_TEST(remote->parent()->open_streams() == 0U);
    BOOST_TEST(!local->parent()->open_stream().has_value());
}

// Guards against requests that wait for a TCP timeout when packets of an open connection are dropped.
BOOST_AUTO_TEST_CASE(silent_connection_is_closed_and_replaced)
{
    for (auto* options : {&server_options, &client_options}) {
        options->ping_after = 400ms;
        options->silent_after = 2'000ms;
    }
    start();
    const auto relay = standin::relay::create(threads.io, {"127.0.0.1", 0}, address()).value();
    relay->start();
    const host_port relay_address{"127.0.0.1", relay->port()};
    const stream_ptr local = open(relay_address, 1);
    const stream_ptr remote = accepted.with_attempt(1);
    relay->cut(standin::relay_direction::both, true);
    BOOST_TEST(has_ended(*this, local));
    BOOST_TEST(has_ended(*this, remote));
    BOOST_TEST(client_events("silent") == 1U);
    BOOST_TEST(server_events("silent") == 1U);
    const stream_ptr replacement = open(relay_address, 2);
    const stream_ptr replacement_peer = accepted.with_attempt(2);
    start_sender(*this, replacement, 10, 100);
    BOOST_TEST(receive_all(*this, replacement_peer, 10) == 10U);
    relay->stop();
}

// Guards against closing a live connection as silent when it carries only pings.
BOOST_AUTO_TEST_CASE(idle_connection_is_kept_open_by_pings)
{
    client_options.ping_after = 20ms;
    server_options.ping_after = 20ms;
    start();
    const stream_ptr local = open(1);
    const stream_ptr remote = accepted.with_attempt(1);
    std::this_thread::sleep_for(100ms);
    start_sender(*this, local, 10, 100);
    BOOST_TEST(receive_all(*this, remote, 10) == 10U);
}

// Guards against peers that keep a connection open, with or without hello, and send nothing more.
BOOST_AUTO_TEST_CASE(peer_that_sends_nothing_more_is_closed)
{
    server_options.ping_after = 50ms;
    server_options.silent_after = 200ms;
    start();
    net::tcp::socket after_hello = raw_socket();
    write_bytes(after_hello, hello_frame());
    read_to_end(after_hello);
    BOOST_TEST(server_events("silent") == 1U);
    net::tcp::socket silent = raw_socket();
    read_to_end(silent);
    BOOST_TEST(server_events("silent") == 2U);
}

// Guards against a peer that counts as alive because it sends single bytes of a frame that it never
// completes.
BOOST_AUTO_TEST_CASE(peer_that_never_completes_a_frame_is_closed)
{
    server_options.ping_after = 50ms;
    server_options.silent_after = 200ms;
    start();
    net::tcp::socket socket = raw_socket();
    write_bytes(socket, hello_frame());
    wire::answer_dataT data;
    data.bytes.resize(4'096);
    const std::vector<std::uint8_t> frame = net::encode_frame(2, net::make_frame(std::move(data)));
    std::size_t sent = 0;
    net::error_code failure;
    while (!failure && sent + 1 < frame.size() && server_events("silent") == 0) {
        sent += socket.write_some(net::asio::buffer(frame.data() + sent, 1), failure);
        std::this_thread::sleep_for(2ms);
    }
    BOOST_TEST(server_events("silent") == 1U);
}

// Guards against a connect call that waits for silent_after instead of its own timeout.
BOOST_AUTO_TEST_CASE(unanswered_hello_fails_within_the_timeout_of_the_caller)
{
    client_options.silent_after = std::chrono::hours(1);
    start();
    // The kernel completes connections to a listening socket even if accept() is never called.
    net::tcp::acceptor silent(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    const host_port target{"127.0.0.1", silent.local_endpoint().port()};
    BOOST_TEST(!connect_error(*this, target, 50ms).empty());
}

// Guards against a pool that returns a closed connection, or opens a new connection for every call.
BOOST_AUTO_TEST_CASE(pool_replaces_an_ended_connection)
{
    start();
    const stream_ptr first = open(1);
    const stream_ptr second = open(2);
    BOOST_TEST((first->parent() == second->parent()));
    first->parent()->close(make_error(error_kind::unavailable, "broken by the test"));
    const stream_ptr third = open(3);
    BOOST_TEST((third->parent() != first->parent()));
    const stream_ptr third_peer = accepted.with_attempt(3);
    start_sender(*this, third, 10, 100);
    BOOST_TEST(receive_all(*this, third_peer, 10) == 10U);
}

// Guards against silently dropping a stream above the limit, which would leave its opener waiting forever.
BOOST_AUTO_TEST_CASE(stream_above_the_limit_is_reset)
{
    constexpr std::uint32_t max_streams = 65'536;
    start();
    const stream_ptr first = open(1);
    wire::submitT submit;
    const auto message = net::make_frame(std::move(submit));
    stream_ptr last;
    for (std::uint32_t count = 1; count <= max_streams; ++count) {
        last = first->parent()->open_stream().value();
        last->send(message);
    }
    BOOST_TEST(has_ended(*this, last));
    BOOST_TEST(server_events("stream_limit") == 1U);
    BOOST_TEST(accepted.size() == max_streams);
}

BOOST_AUTO_TEST_SUITE_END()
