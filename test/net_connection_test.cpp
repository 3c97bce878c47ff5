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

// Messages of a stream that is never read before its sender has to wait: the initial window of 64 KiB over
// 1 KiB, and over the smallest cost of a message, 64 bytes.
constexpr std::uint32_t window_of_kilobytes = 64;
constexpr std::uint32_t window_of_tiny_messages = 1'024;

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

std::shared_ptr<std::atomic<std::uint32_t>> start_sender(peers& both, const stream_ptr& stream,
                                                         std::uint32_t count, std::size_t size)
{
    auto sent = std::make_shared<std::atomic<std::uint32_t>>(0);
    net::asio::co_spawn(both.threads.io, send_numbered(stream, count, size, sent), net::asio::detached);
    return sent;
}

// Receives data messages and returns how many arrived in order and on the stream they were sent on.
net::task<std::uint32_t> receive_numbered(stream_ptr stream, std::uint32_t count)
{
    std::uint32_t good = 0;
    for (std::uint32_t number = 0; number < count; ++number) {
        const auto message = co_await stream->receive();
        if (!message) {
            break;
        }
        const wire::answer_data* data = message.value().frame->message_as_answer_data();
        if (data == nullptr || data->offset() != number || data->attempt() != stream->id()) {
            break;
        }
        ++good;
        stream->grant_window(data->bytes()->size());
    }
    co_return good;
}

std::uint32_t drain(peers& both, const stream_ptr& stream, std::uint32_t count)
{
    return both.threads.run<std::uint32_t>([&] { return receive_numbered(stream, count); });
}

// Whether the next receive fails, that is, the stream has ended.
bool has_ended(peers& both, const stream_ptr& stream)
{
    return both.threads.run<bool>([&]() -> net::task<bool> {
        const auto message = co_await stream->receive();
        co_return !message.has_value();
    });
}

// The error of a pool that cannot connect, empty when it can.
std::string connect_error(peers& both, const host_port& address, milliseconds timeout)
{
    return both.threads.run<std::string>([&]() -> net::task<std::string> {
        const auto opened = co_await both.pool->get(address, timeout);
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

// Reads until the peer closes the connection.
void read_to_end(net::tcp::socket& socket)
{
    std::array<char, 256> bytes{};
    net::error_code failure;
    while (!failure) {
        socket.read_some(net::asio::buffer(bytes), failure);
    }
}

struct malformed {
    const char* reason;
    std::size_t byte;
    std::uint8_t value;
};

// Bytes of the frame header that make a valid frame malformed.
constexpr std::array<malformed, 4> malformed_headers{
    {{"bad_magic", 0, 0}, {"bad_version", 2, 9}, {"bad_length", 11, 1}, {"bad_checksum", 12, 0}}};

std::vector<std::uint8_t> malformed_frame(const malformed& kind)
{
    std::vector<std::uint8_t> bytes = net::encode_frame(0, net::make_frame(wire::pingT{}));
    const bool same = bytes[kind.byte] == kind.value;
    bytes[kind.byte] = same ? static_cast<std::uint8_t>(kind.value + 1) : kind.value;
    return bytes;
}

// Header and payload with the right length and checksum, whatever the payload holds.
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

// Sends a data message without waiting for the window, as a faulty peer would.
void send_unchecked(const stream_ptr& stream, std::size_t size)
{
    wire::answer_dataT data;
    data.bytes.resize(size);
    stream->send(net::make_frame(std::move(data)));
}

// Receives without granting; returns the number of messages received.
std::uint32_t receive_ungranted(peers& both, const stream_ptr& stream, std::uint32_t count)
{
    return both.threads.run<std::uint32_t>([&]() -> net::task<std::uint32_t> {
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

// Guards against messages that change their order or their stream when many streams share a connection.
BOOST_AUTO_TEST_CASE(messages_of_many_streams_keep_order_and_stream)
{
    constexpr std::uint32_t streams = 40;
    constexpr std::uint32_t messages = 200;
    start();
    std::vector<std::pair<stream_ptr, stream_ptr>> open_pairs;
    for (std::uint32_t index = 1; index <= streams; ++index) {
        stream_ptr ours = open(index);
        open_pairs.emplace_back(ours, accepted.with_attempt(index));
        start_sender(*this, ours, messages, 1'024);
        start_sender(*this, open_pairs.back().second, messages, 100);
    }
    for (const auto& [ours, theirs] : open_pairs) {
        BOOST_TEST(ours->id() == theirs->id());
        BOOST_TEST(drain(*this, theirs, messages) == messages);
        BOOST_TEST(drain(*this, ours, messages) == messages);
    }
}

// Guards against one slow reader that blocks the other streams of its connection.
BOOST_AUTO_TEST_CASE(unread_stream_holds_back_only_itself)
{
    start();
    const stream_ptr held = open(1);
    const stream_ptr going = open(2);
    const stream_ptr held_peer = accepted.with_attempt(1);
    const stream_ptr going_peer = accepted.with_attempt(2);
    const auto held_sent = start_sender(*this, held, 1'000, 1'024);
    BOOST_TEST(eventually([&] { return *held_sent == window_of_kilobytes; }));
    start_sender(*this, going, 1'000, 1'024);
    BOOST_TEST(drain(*this, going_peer, 1'000) == 1'000U);
    BOOST_TEST(*held_sent == window_of_kilobytes);
    BOOST_TEST(drain(*this, held_peer, 1'000) == 1'000U);
}

// Guards against memory taken by any number of tiny messages, which cost more to hold than their bytes.
BOOST_AUTO_TEST_CASE(tiny_messages_are_bounded_by_their_smallest_cost)
{
    start();
    const stream_ptr held = open(1);
    const stream_ptr going = open(2);
    const stream_ptr going_peer = accepted.with_attempt(2);
    const auto sent = start_sender(*this, held, 5'000, 1);
    BOOST_TEST(eventually([&] { return *sent == window_of_tiny_messages; }));
    start_sender(*this, going, 2'000, 1);
    BOOST_TEST(drain(*this, going_peer, 2'000) == 2'000U);
    BOOST_TEST(*sent == window_of_tiny_messages);
}

// Guards against a malformed frame that goes uncounted, is acted on or ends another connection.
BOOST_AUTO_TEST_CASE(malformed_frame_closes_only_its_connection)
{
    start();
    const stream_ptr other = open(1);
    const stream_ptr other_peer = accepted.with_attempt(1);
    for (const malformed& kind : malformed_headers) {
        net::tcp::socket socket = raw_socket();
        write_bytes(socket, hello_frame());
        write_bytes(socket, malformed_frame(kind));
        read_to_end(socket);
        BOOST_TEST(server_events(kind.reason) == 1U, kind.reason);
    }
    start_sender(*this, other, 100, 1'024);
    BOOST_TEST(drain(*this, other_peer, 100) == 100U);
}

// Guards against malformed input before hello that closes the connection without a count.
BOOST_AUTO_TEST_CASE(malformed_first_frame_is_counted)
{
    start();
    for (const malformed& kind : malformed_headers) {
        net::tcp::socket socket = raw_socket();
        write_bytes(socket, malformed_frame(kind));
        read_to_end(socket);
        BOOST_TEST(server_events(kind.reason) == 1U, kind.reason);
    }
}

// Guards against a table that is used unverified because its checksum is right.
BOOST_AUTO_TEST_CASE(invalid_table_with_a_valid_checksum_closes_the_connection)
{
    start();
    net::tcp::socket socket = raw_socket();
    write_bytes(socket, hello_frame());
    write_bytes(socket, frame_with_invalid_table());
    read_to_end(socket);
    BOOST_TEST(server_events("bad_payload") == 1U);
}

// Guards against a union type without a value, which the verifier accepts and handlers would use. Found by
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

// Guards against a peer that ignores the window and makes the receiver hold any amount of data. The last
// message within the window may exceed it, because send_data allows that.
BOOST_AUTO_TEST_CASE(peer_that_exceeds_the_window_is_closed)
{
    start();
    const stream_ptr ours = open(1);
    const stream_ptr theirs = accepted.with_attempt(1);
    for (std::uint32_t count = 1; count < window_of_kilobytes; ++count) {
        send_unchecked(ours, 1'024);
    }
    send_unchecked(ours, net::max_data_slice);
    BOOST_TEST(receive_ungranted(*this, theirs, window_of_kilobytes) == window_of_kilobytes);
    BOOST_TEST(server_events("window_exceeded") == 0U);
    send_unchecked(ours, 1);
    BOOST_TEST(has_ended(*this, theirs));
    BOOST_TEST(has_ended(*this, ours));
    BOOST_TEST(server_events("window_exceeded") == 1U);
}

// Guards against processes of two deployments that work together by mistake.
BOOST_AUTO_TEST_CASE(wrong_cluster_is_refused_and_counted)
{
    client_options.self.cluster = "another";
    start();
    BOOST_TEST(!connect_error(*this, address(), 10'000ms).empty());
    BOOST_TEST(server_events("wrong_cluster") == 1U);
    BOOST_TEST(accepted.size() == 0U);
}

// Guards against streams that stay in the tables of either side after their end.
BOOST_AUTO_TEST_CASE(reset_ends_and_frees_the_stream_on_both_sides)
{
    start();
    const stream_ptr ours = open(1);
    const stream_ptr theirs = accepted.with_attempt(1);
    BOOST_TEST(theirs->parent()->open_streams() == 1U);
    ours->close(make_error(error_kind::unavailable, "no longer needed"));
    BOOST_TEST(has_ended(*this, ours));
    BOOST_TEST(has_ended(*this, theirs));
    BOOST_TEST(ours->parent()->open_streams() == 0U);
    BOOST_TEST(theirs->parent()->open_streams() == 0U);
}

// Guards against streams and senders that wait for ever on a broken connection.
BOOST_AUTO_TEST_CASE(broken_connection_ends_and_frees_all_streams)
{
    start();
    const stream_ptr ours = open(1);
    const stream_ptr theirs = accepted.with_attempt(1);
    const auto sent = start_sender(*this, ours, 1'000, 1'024);
    BOOST_TEST(eventually([&] { return *sent == window_of_kilobytes; }));
    theirs->parent()->close(make_error(error_kind::unavailable, "broken by the test"));
    BOOST_TEST(has_ended(*this, ours));
    BOOST_TEST(eventually([&] { return ours->parent()->open_streams() == 0U; }));
    BOOST_TEST(theirs->parent()->open_streams() == 0U);
    BOOST_TEST(!ours->parent()->open_stream().has_value());
}

// Guards against work that waits for a TCP time-out when an open connection goes silent.
BOOST_AUTO_TEST_CASE(silent_connection_is_closed_and_a_new_one_works)
{
    for (auto* options : {&server_options, &client_options}) {
        options->ping_after = 400ms;
        options->silent_after = 2'000ms;
    }
    start();
    const auto relay = standin::relay::create(threads.io, {"127.0.0.1", 0}, address()).value();
    relay->start();
    const host_port through{"127.0.0.1", relay->port()};
    const stream_ptr ours = open(through, 1);
    const stream_ptr theirs = accepted.with_attempt(1);
    relay->cut(standin::relay_direction::both, true);
    BOOST_TEST(has_ended(*this, ours));
    BOOST_TEST(has_ended(*this, theirs));
    BOOST_TEST(client_events("silent") == 1U);
    BOOST_TEST(server_events("silent") == 1U);
    const stream_ptr renewed = open(through, 2);
    const stream_ptr renewed_peer = accepted.with_attempt(2);
    start_sender(*this, renewed, 10, 100);
    BOOST_TEST(drain(*this, renewed_peer, 10) == 10U);
    relay->stop();
}

// Guards against a live connection that is taken for silent because it carries nothing but pings.
BOOST_AUTO_TEST_CASE(idle_connection_is_kept_by_pings)
{
    client_options.ping_after = 20ms;
    server_options.ping_after = 20ms;
    start();
    const stream_ptr ours = open(1);
    const stream_ptr theirs = accepted.with_attempt(1);
    std::this_thread::sleep_for(100ms);
    start_sender(*this, ours, 10, 100);
    BOOST_TEST(drain(*this, theirs, 10) == 10U);
}

// Guards against peers that hold a connection after hello, or without one, and never send anything.
BOOST_AUTO_TEST_CASE(peer_that_sends_nothing_more_is_closed)
{
    server_options.ping_after = 50ms;
    server_options.silent_after = 200ms;
    start();
    net::tcp::socket greeted = raw_socket();
    write_bytes(greeted, hello_frame());
    read_to_end(greeted);
    BOOST_TEST(server_events("silent") == 1U);
    net::tcp::socket mute = raw_socket();
    read_to_end(mute);
    BOOST_TEST(server_events("silent") == 2U);
}

// Guards against a peer that stays alive by bytes of a frame that it never completes.
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

// Guards against a caller that waits for the silence bound instead of its own time-out.
BOOST_AUTO_TEST_CASE(unanswered_hello_fails_within_the_timeout_of_the_caller)
{
    client_options.silent_after = std::chrono::hours(1);
    start();
    // The kernel completes connections of a listener that nobody accepts from.
    net::tcp::acceptor mute(threads.io, {net::asio::ip::address_v4::loopback(), 0});
    const host_port target{"127.0.0.1", mute.local_endpoint().port()};
    BOOST_TEST(!connect_error(*this, target, 50ms).empty());
}

// Guards against a pool that gives out an ended connection, or opens a new one for every call.
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
    BOOST_TEST(drain(*this, third_peer, 10) == 10U);
}

// Guards against a stream above the limit that is dropped without a word, so that its opener waits for ever.
BOOST_AUTO_TEST_CASE(stream_above_the_limit_is_reset)
{
    constexpr std::uint32_t most_streams = 65'536;
    start();
    const stream_ptr first = open(1);
    wire::submitT submit;
    const auto message = net::make_frame(std::move(submit));
    stream_ptr last;
    for (std::uint32_t count = 1; count <= most_streams; ++count) {
        last = first->parent()->open_stream().value();
        last->send(message);
    }
    BOOST_TEST(has_ended(*this, last));
    BOOST_TEST(server_events("stream_limit") == 1U);
    BOOST_TEST(accepted.size() == most_streams);
}

BOOST_AUTO_TEST_SUITE_END()
