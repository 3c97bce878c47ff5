#pragma once

#include "base/metrics.h"
#include "net/asio.h"
#include "net/frame.h"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace verbena::net {

// A received frame with the bytes that its table points into.
struct received_frame {
    std::vector<std::uint8_t> payload;
    const wire::frame* frame = nullptr;
};

class connection;

// One multiplexed stream of a connection. Messages are sent and received in order. Data messages
// (submit_data, answer_data) count against the receiver's window; other messages are small and are never held
// back.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    frame_stream(std::shared_ptr<connection> parent, std::uint32_t id);

    std::uint32_t id() const { return m_id; }
    const std::shared_ptr<connection>& parent() const { return m_connection; }

    // Queues a message that does not count against the window.
    void send(const wire::frameT& message);

    // Waits until the window allows `bytes` and queues the message.
    task<result<void>> send_data(wire::frameT message, std::size_t bytes);

    // The next message. Fails when the stream or its connection has ended; messages received before are given
    // first.
    task<result<received_frame>> receive();

    // A message that has already arrived, if there is one. Saves a suspension per message when many are
    // waiting.
    std::optional<received_frame> try_receive();

    // Lets the peer send `bytes` more. Call when received data has been passed on.
    void grant_window(std::size_t bytes);

    // Ends the stream on both sides: pending and later receives fail with `reason`. Whoever handles a stream
    // has to close it in the end; stream_guard does.
    void close(const error& reason);

private:
    friend class connection;

    using receive_signal = asio::experimental::concurrent_channel<void(error_code)>;

    // Queues a message for the receiver; false when the peer had no window left for it.
    bool deliver(received_frame message);
    // Ends the stream without telling the peer; false when it had ended before.
    bool close_here(const error& reason);
    void add_credit(std::size_t bytes);
    void wake_receiver();

    std::shared_ptr<connection> m_connection;
    std::uint32_t m_id;

    // Guards the members below; taken before connection::m_mutex is never needed, see connection.
    std::mutex m_mutex;
    std::deque<received_frame> m_inbox;
    std::optional<error> m_closed;
    std::int64_t m_credit;
    // What the peer may still send. Goes below 0 by at most one message, like the credit of the sender.
    std::int64_t m_granted;
    std::size_t m_ungranted = 0;
    receive_signal m_received;
    receive_signal m_credited;
};

// Cost of a data message against the window, in bytes. The fixed part bounds how many tiny messages can wait.
std::size_t window_cost(std::size_t bytes);

// Closes a stream at the end of a scope.
class stream_guard {
public:
    explicit stream_guard(std::shared_ptr<frame_stream> stream) : m_stream(std::move(stream)) {}
    stream_guard(const stream_guard&) = delete;
    stream_guard& operator=(const stream_guard&) = delete;
    ~stream_guard();

private:
    std::shared_ptr<frame_stream> m_stream;
};

// Who is at the other end, from its hello.
struct peer_info {
    wire::role role = wire::role::unknown;
    std::string name;
    std::string cluster;
    std::uint64_t incarnation = 0;
};

// Receives what a connection cannot handle itself. Called on the connection's strand; must not block.
class connection_handler {
public:
    connection_handler() = default;
    connection_handler(const connection_handler&) = delete;
    connection_handler& operator=(const connection_handler&) = delete;
    virtual ~connection_handler() = default;

    // The peer opened a stream with `first`.
    virtual void on_stream(const std::shared_ptr<frame_stream>& stream, received_frame first) = 0;
};

// What this process tells every peer, and the bounds of its connections.
struct connection_options {
    peer_info self;
    milliseconds ping_after{2'000};
    milliseconds silent_after{5'000};
    metrics* counters = nullptr;
};

// A TCP connection that carries frames of many streams. Lock order: stream mutex and connection mutex are
// never held together.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, const connection_options& options, connection_handler* handler,
               bool initiator);

    // Exchanges hello and starts the read, write and liveness loops. Fails on a wrong cluster.
    task<result<void>> handshake();

    // Opens a stream; its first message decides what the peer does with it.
    result<std::shared_ptr<frame_stream>> open_stream();

    void send_frame(std::uint32_t stream, const wire::frameT& message);
    void close(const error& reason);
    void forget_stream(std::uint32_t id);

    bool is_open() const;
    // Valid after the handshake.
    const peer_info& peer() const { return m_peer; }
    std::size_t open_streams() const;
    asio::any_io_executor executor() { return m_socket.get_executor(); }

private:
    task<result<received_frame>> read_frame(std::uint32_t& stream);
    task<bool> fill(std::size_t bytes);
    task<void> read_loop();
    task<void> write_loop();
    task<void> liveness_loop();
    // False when the frame breaks the protocol and the connection has been closed.
    bool dispatch(std::uint32_t id, received_frame message);
    void dispatch_connection(const wire::frame& frame);
    void open_from_peer(std::uint32_t id, received_frame message);
    void count(const std::string& event);
    task<result<void>> exchange_hello();

    tcp::socket m_socket;
    connection_options m_options;
    connection_handler* m_handler;
    bool m_initiator;
    peer_info m_peer;
    std::vector<std::uint8_t> m_read_buffer;
    std::size_t m_read_begin = 0;
    std::size_t m_read_end = 0;
    // Time of the last whole frame. Bytes do not count: a peer that never completes a frame is silent.
    std::atomic<time_point> m_last_received;

    // Guards the members below.
    mutable std::mutex m_mutex;
    std::optional<error> m_closed;
    std::unordered_map<std::uint32_t, std::shared_ptr<frame_stream>> m_streams;
    std::uint32_t m_next_stream;
    std::deque<std::vector<std::uint8_t>> m_outbox;
    bool m_writing = false;
};

} // namespace verbena::net
