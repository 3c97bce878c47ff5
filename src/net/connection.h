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

// A received frame together with the buffer that its FlatBuffers table points into.
struct received_frame {
    std::vector<std::uint8_t> payload;
    const wire::frame* frame = nullptr;
};

class connection;

// One multiplexed stream of a connection. Messages are sent and received in order. Data messages
// (submit_data, answer_data) are subject to flow control by the receiver's window; other messages are small
// and are sent at once.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    frame_stream(std::shared_ptr<connection> parent, std::uint32_t id);

    std::uint32_t id() const { return m_id; }
    const std::shared_ptr<connection>& parent() const { return m_connection; }
    bool is_open() const;

    // Queues a message that is exempt from flow control.
    void send(const wire::frameT& message);

    // Waits until the send window is positive, charges `bytes` to it and queues the message.
    task<result<void>> send_data(wire::frameT message, std::size_t bytes);

    // Returns the next message. Fails when the stream or its connection has ended, but only after all
    // messages received before the end have been returned.
    task<result<received_frame>> receive();

    // Returns a message that has already arrived, if there is one. Saves a coroutine suspension per message
    // when several are queued.
    std::optional<received_frame> try_receive();

    // Allows the peer to send `bytes` more. Call after received data has been processed.
    void grant_window(std::size_t bytes);

    // Ends the stream on both sides: pending and later receives fail with `reason`. The owner of a stream
    // must close it eventually; stream_guard does this at the end of a scope.
    void close(const error& reason);

private:
    friend class connection;

    using receive_signal = asio::experimental::concurrent_channel<void(error_code)>;

    // Queues a message for the receiver. Returns false when the peer has exceeded its window.
    bool deliver(received_frame message);
    // Ends the stream without notifying the peer. Returns false when it has already ended.
    bool close_local(const error& reason);
    void increase_send_window(std::size_t bytes);
    void wake_receiver();

    std::shared_ptr<connection> m_connection;
    std::uint32_t m_id;

    // Guards the members below. Never held together with connection::m_mutex; see connection.
    mutable std::mutex m_mutex;
    std::deque<received_frame> m_inbox;
    std::optional<error> m_closed;
    std::int64_t m_send_window;
    // Bytes that the peer may still send. Drops below 0 by at most one message, like m_send_window.
    std::int64_t m_receive_window;
    std::size_t m_pending_grant = 0;
    receive_signal m_receive_signal;
    receive_signal m_send_window_signal;
};

// Cost of a data message against the window, in bytes. The minimum cost bounds how many tiny messages can be
// queued.
std::size_t window_cost(std::size_t bytes);

// Closes the stream at the end of a scope.
class stream_guard {
public:
    explicit stream_guard(std::shared_ptr<frame_stream> stream) : m_stream(std::move(stream)) {}
    stream_guard(const stream_guard&) = delete;
    stream_guard& operator=(const stream_guard&) = delete;
    ~stream_guard();

private:
    std::shared_ptr<frame_stream> m_stream;
};

// Identity of a process, as exchanged in hello.
struct peer_info {
    wire::role role = wire::role::unknown;
    std::string name;
    std::string cluster;
    std::uint64_t incarnation = 0;
};

// Handles streams opened by the peer. Called on the connection's strand; must not block.
class connection_handler {
public:
    connection_handler() = default;
    connection_handler(const connection_handler&) = delete;
    connection_handler& operator=(const connection_handler&) = delete;
    virtual ~connection_handler() = default;

    // The peer has opened a stream; `first` is its first message.
    virtual void on_stream(const std::shared_ptr<frame_stream>& stream, received_frame first) = 0;
};

// Identity that this process sends to every peer, and the time limits of its connections.
struct connection_options {
    peer_info self;
    // Time without a received frame after which a ping is sent.
    milliseconds ping_after{2'000};
    // Time without a received frame after which the connection is closed.
    milliseconds silent_after{5'000};
    metrics* counters = nullptr;
};

// A TCP connection that carries the frames of many streams. Lock order: the mutex of a stream and the mutex
// of its connection are never held together.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, const connection_options& options, connection_handler* handler,
               bool initiator);

    // Exchanges hello and starts the read and liveness loops. Fails when the peer belongs to another cluster.
    task<result<void>> handshake();

    // Opens a stream. The peer learns of it from its first message, whose type selects the handling.
    result<std::shared_ptr<frame_stream>> open_stream();

    void send_frame(std::uint32_t stream, const wire::frameT& message);
    void close(const error& reason);
    void remove_stream(std::uint32_t id);

    bool is_open() const;
    // Valid after the handshake.
    const peer_info& peer() const { return m_peer; }
    std::size_t open_streams() const;
    asio::any_io_executor executor() { return m_socket.get_executor(); }

private:
    task<result<received_frame>> read_frame(std::uint32_t& stream);
    task<bool> fill_buffer(std::size_t bytes);
    task<void> read_loop();
    task<void> write_loop();
    task<void> liveness_loop();
    // Returns false when the frame violates the protocol and the connection has been closed.
    bool dispatch(std::uint32_t id, received_frame message);
    void dispatch_control_frame(const wire::frame& frame);
    void accept_stream(std::uint32_t id, received_frame message);
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
    // Time of the last complete frame. Single bytes do not count: a peer that never completes a frame is
    // treated as silent.
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
