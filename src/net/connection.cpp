#include "net/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace verbena::net {

namespace {

// Window of a new stream in each direction, in bytes.
constexpr std::size_t initial_window = 64 * 1024;

// Smallest cost of a data message against the window, in bytes.
constexpr std::size_t min_message_cost = 64;

// Processed bytes are granted to the peer in steps of at least this size, so that not every small message
// causes a window frame.
constexpr std::size_t grant_threshold = 16 * 1024;

constexpr std::size_t read_buffer_size = 64 * 1024;

// Largest number of frames combined in one gather write.
constexpr std::size_t write_batch = 64;

// Largest number of open streams on one connection.
constexpr std::size_t max_streams = 65'536;

error closed_error()
{
    return make_error(error_kind::unavailable, "the connection is closed", "retry on a new connection");
}

bool is_data(const wire::frame& frame)
{
    return frame.message_type() == wire::body::answer_data || frame.message_type() == wire::body::submit_data;
}

// Cost of a received message against the window; 0 for messages that carry no data.
std::size_t received_cost(const wire::frame& frame)
{
    const flatbuffers::Vector<std::uint8_t>* bytes = nullptr;
    if (const wire::answer_data* answer = frame.message_as_answer_data()) {
        bytes = answer->bytes();
    } else if (const wire::submit_data* submit = frame.message_as_submit_data()) {
        bytes = submit->bytes();
    } else {
        return 0;
    }
    return window_cost(bytes == nullptr ? 0 : bytes->size());
}

} // namespace

std::size_t window_cost(std::size_t bytes)
{
    return std::max(bytes, min_message_cost);
}

frame_stream::frame_stream(std::shared_ptr<connection> parent, std::uint32_t id)
    : m_connection(std::move(parent)), m_id(id), m_send_window(initial_window),
      m_receive_window(initial_window), m_receive_signal(m_connection->executor(), 1),
      m_send_window_signal(m_connection->executor(), 1)
{
}

void frame_stream::send(const wire::frameT& message)
{
    m_connection->send_frame(m_id, message);
}

task<result<void>> frame_stream::send_data(wire::frameT message, std::size_t bytes)
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed) {
                co_return *m_closed;
            }
            if (m_send_window > 0) {
                m_send_window -= static_cast<std::int64_t>(window_cost(bytes));
                break;
            }
        }
        co_await m_send_window_signal.async_receive(no_throw);
    }
    m_connection->send_frame(m_id, message);
    co_return success();
}

std::optional<received_frame> frame_stream::try_receive()
{
    const std::lock_guard lock(m_mutex);
    if (m_inbox.empty()) {
        return std::nullopt;
    }
    received_frame message = std::move(m_inbox.front());
    m_inbox.pop_front();
    return message;
}

task<result<received_frame>> frame_stream::receive()
{
    while (true) {
        std::optional<received_frame> message = try_receive();
        if (message) {
            co_return std::move(*message);
        }
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed && m_inbox.empty()) {
                co_return *m_closed;
            }
        }
        co_await m_receive_signal.async_receive(no_throw);
    }
}

void frame_stream::wake_receiver()
{
    m_receive_signal.try_send(error_code());
}

bool frame_stream::deliver(received_frame message)
{
    const std::size_t cost = received_cost(*message.frame);
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return true;
        }
        if (cost > 0 && m_receive_window <= 0) {
            return false;
        }
        m_receive_window -= static_cast<std::int64_t>(cost);
        m_inbox.push_back(std::move(message));
    }
    wake_receiver();
    return true;
}

void frame_stream::increase_send_window(std::size_t bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        m_send_window += static_cast<std::int64_t>(bytes);
    }
    m_send_window_signal.try_send(error_code());
}

void frame_stream::grant_window(std::size_t bytes)
{
    std::size_t granted = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_pending_grant += window_cost(bytes);
        if (m_pending_grant < grant_threshold || m_closed) {
            return;
        }
        granted = std::exchange(m_pending_grant, 0);
        m_receive_window += static_cast<std::int64_t>(granted);
    }
    wire::windowT window;
    window.bytes = static_cast<std::uint32_t>(granted);
    send(make_frame(std::move(window)));
}

bool frame_stream::is_open() const
{
    const std::lock_guard lock(m_mutex);
    return !m_closed;
}

bool frame_stream::close_local(const error& reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return false;
        }
        m_closed = reason;
    }
    m_connection->remove_stream(m_id);
    wake_receiver();
    m_send_window_signal.try_send(error_code());
    return true;
}

void frame_stream::close(const error& reason)
{
    if (close_local(reason)) {
        wire::resetT reset;
        reset.reason = reason.message;
        send(make_frame(std::move(reset)));
    }
}

stream_guard::~stream_guard()
{
    m_stream->close(make_error(error_kind::unavailable, "the stream was closed"));
}

connection::connection(tcp::socket socket, const connection_options& options, connection_handler* handler,
                       bool initiator)
    : m_socket(std::move(socket)), m_options(options), m_handler(handler), m_initiator(initiator),
      m_read_buffer(read_buffer_size), m_last_received(clock::now()), m_next_stream(initiator ? 1 : 2)
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void connection::count(const std::string& event)
{
    if (m_options.counters != nullptr) {
        m_options.counters->add("verbena_connection_events_total", {{"event", event}});
    }
}

bool connection::is_open() const
{
    const std::lock_guard lock(m_mutex);
    return !m_closed;
}

std::size_t connection::open_streams() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

task<bool> connection::fill_buffer(std::size_t bytes)
{
    if (m_read_end - m_read_begin >= bytes) {
        co_return true;
    }
    std::move(m_read_buffer.begin() + static_cast<std::ptrdiff_t>(m_read_begin),
              m_read_buffer.begin() + static_cast<std::ptrdiff_t>(m_read_end), m_read_buffer.begin());
    m_read_end -= m_read_begin;
    m_read_begin = 0;
    while (m_read_end < bytes) {
        auto [failure, size] = co_await m_socket.async_read_some(
            asio::buffer(m_read_buffer.data() + m_read_end, m_read_buffer.size() - m_read_end), no_throw);
        if (failure) {
            co_return false;
        }
        m_read_end += size;
    }
    co_return true;
}

task<result<received_frame>> connection::read_frame(std::uint32_t& stream)
{
    const bool has_header = co_await fill_buffer(frame_header_size);
    if (!has_header) {
        co_return closed_error();
    }
    const std::span<const std::uint8_t, frame_header_size> header_bytes(m_read_buffer.data() + m_read_begin,
                                                                        frame_header_size);
    BOOST_OUTCOME_CO_TRY(const frame_header header, decode_header(header_bytes));
    m_read_begin += frame_header_size;
    stream = header.stream;
    received_frame message;
    message.payload.resize(header.length);
    std::size_t copied = 0;
    while (copied < header.length) {
        const bool has_data = co_await fill_buffer(1);
        if (!has_data) {
            co_return closed_error();
        }
        const std::size_t copy_size =
            std::min<std::size_t>(header.length - copied, m_read_end - m_read_begin);
        std::copy_n(m_read_buffer.data() + m_read_begin, copy_size, message.payload.data() + copied);
        m_read_begin += copy_size;
        copied += copy_size;
    }
    BOOST_OUTCOME_CO_TRY(message.frame, decode_payload(header, message.payload));
    // The verifier accepts a union type without a value; handlers that check only the type would dereference
    // a null table.
    if (message.frame->message() == nullptr) {
        co_return make_error(error_kind::invalid_frame, "bad_payload",
                             "check that both processes run the same version");
    }
    m_last_received = clock::now();
    co_return std::move(message);
}

task<result<void>> connection::exchange_hello()
{
    if (m_initiator) {
        wire::helloT hello;
        hello.role = m_options.self.role;
        hello.name = m_options.self.name;
        hello.cluster = m_options.self.cluster;
        hello.incarnation = m_options.self.incarnation;
        send_frame(0, make_frame(std::move(hello)));
    }
    std::uint32_t stream = 0;
    const result<received_frame> received = co_await read_frame(stream);
    if (!received) {
        co_return received.error();
    }
    const wire::frame& frame = *received.value().frame;
    if (m_initiator) {
        const wire::hello_ok* answer = frame.message_as_hello_ok();
        if (answer == nullptr) {
            co_return make_error(error_kind::invalid_frame, "no_hello",
                                 "check that the peer is a verbenaproxy");
        }
        m_peer.name = answer->name() == nullptr ? "" : answer->name()->str();
        m_peer.incarnation = answer->incarnation();
        co_return success();
    }
    const wire::hello* hello = frame.message_as_hello();
    if (hello == nullptr || hello->cluster() == nullptr || hello->name() == nullptr) {
        co_return make_error(error_kind::invalid_frame, "no_hello", "check that the peer is a verbenaproxy");
    }
    if (hello->cluster()->str() != m_options.self.cluster) {
        co_return make_error(error_kind::forbidden, "wrong_cluster",
                             "set the same cluster id in both settings files");
    }
    m_peer = peer_info{hello->role(), hello->name()->str(), hello->cluster()->str(), hello->incarnation()};
    wire::hello_okT answer;
    answer.name = m_options.self.name;
    answer.incarnation = m_options.self.incarnation;
    send_frame(0, make_frame(std::move(answer)));
    co_return success();
}

task<result<void>> connection::handshake()
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_socket.get_executor(), [self] { return self->liveness_loop(); }, asio::detached);
    const result<void> hello_result = co_await exchange_hello();
    if (!hello_result) {
        if (hello_result.error().kind != error_kind::unavailable) {
            count(hello_result.error().message);
        }
        close(hello_result.error());
        co_return hello_result.error();
    }
    asio::co_spawn(
        m_socket.get_executor(), [self] { return self->read_loop(); }, asio::detached);
    co_return success();
}

result<std::shared_ptr<frame_stream>> connection::open_stream()
{
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
        return *m_closed;
    }
    const std::uint32_t id = m_next_stream;
    m_next_stream += 2;
    auto stream = std::make_shared<frame_stream>(shared_from_this(), id);
    m_streams.emplace(id, stream);
    return stream;
}

void connection::remove_stream(std::uint32_t id)
{
    const std::lock_guard lock(m_mutex);
    m_streams.erase(id);
}

void connection::send_frame(std::uint32_t stream, const wire::frameT& message)
{
    std::vector<std::uint8_t> bytes = encode_frame(stream, message);
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_outbox.push_back(std::move(bytes));
        if (m_writing) {
            return;
        }
        m_writing = true;
    }
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->write_loop(); }, asio::detached);
}

task<void> connection::write_loop()
{
    std::vector<std::vector<std::uint8_t>> batch;
    std::vector<asio::const_buffer> buffers;
    while (true) {
        batch.clear();
        buffers.clear();
        {
            const std::lock_guard lock(m_mutex);
            while (!m_outbox.empty() && batch.size() < write_batch) {
                batch.push_back(std::move(m_outbox.front()));
                m_outbox.pop_front();
            }
            if (batch.empty() || m_closed) {
                m_writing = false;
                co_return;
            }
        }
        for (const auto& bytes : batch) {
            buffers.emplace_back(asio::buffer(bytes));
        }
        auto [failure, size] = co_await asio::async_write(m_socket, buffers, no_throw);
        if (failure) {
            close(closed_error());
            co_return;
        }
    }
}

task<void> connection::read_loop()
{
    while (true) {
        std::uint32_t stream = 0;
        result<received_frame> message = co_await read_frame(stream);
        if (!message) {
            if (message.error().kind == error_kind::invalid_frame) {
                count(message.error().message);
            }
            close(message.error());
            co_return;
        }
        if (stream == 0) {
            dispatch_control_frame(*message.value().frame);
        } else if (!dispatch(stream, std::move(message.value()))) {
            co_return;
        }
    }
}

void connection::dispatch_control_frame(const wire::frame& frame)
{
    if (const wire::ping* ping = frame.message_as_ping()) {
        wire::pongT pong;
        pong.nonce = ping->nonce();
        send_frame(0, make_frame(std::move(pong)));
    }
}

bool connection::dispatch(std::uint32_t id, received_frame message)
{
    std::shared_ptr<frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(id);
        if (found != m_streams.end()) {
            stream = found->second;
        }
    }
    if (!stream) {
        accept_stream(id, std::move(message));
        return true;
    }
    if (const wire::window* window = message.frame->message_as_window()) {
        stream->increase_send_window(window->bytes());
        return true;
    }
    if (const wire::reset* reset = message.frame->message_as_reset()) {
        const std::string reason = reset->reason() == nullptr ? "" : reset->reason()->str();
        stream->close_local(make_error(error_kind::unavailable, "the peer closed the stream: " + reason));
        return true;
    }
    if (!stream->deliver(std::move(message))) {
        count("window_exceeded");
        close(make_error(error_kind::invalid_frame, "window_exceeded",
                         "check that both processes run the same version"));
        return false;
    }
    return true;
}

void connection::accept_stream(std::uint32_t id, received_frame message)
{
    const bool opened_locally = (id % 2 == 1) == m_initiator;
    const wire::body kind = message.frame->message_type();
    const bool needs_open_stream = is_data(*message.frame) || kind == wire::body::window ||
                                   kind == wire::body::reset || kind == wire::body::cancel;
    if (opened_locally || needs_open_stream || m_handler == nullptr) {
        count("frame_for_ended_stream");
        return;
    }
    std::shared_ptr<frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        if (m_streams.size() < max_streams) {
            stream = std::make_shared<frame_stream>(shared_from_this(), id);
            m_streams.emplace(id, stream);
        }
    }
    if (!stream) {
        count("stream_limit");
        wire::resetT reset;
        reset.reason = "too many open streams";
        send_frame(id, make_frame(std::move(reset)));
        return;
    }
    m_handler->on_stream(stream, std::move(message));
}

task<void> connection::liveness_loop()
{
    const milliseconds check_interval = m_options.ping_after / 4;
    while (is_open()) {
        co_await sleep_for(check_interval);
        const auto idle_time = clock::now() - m_last_received.load();
        if (idle_time > m_options.silent_after) {
            count("silent");
            close(make_error(error_kind::timeout, "no frame received from the peer within the silence limit",
                             "retry on a new connection"));
            co_return;
        }
        if (idle_time > m_options.ping_after && !m_peer.name.empty()) {
            send_frame(0, make_frame(wire::pingT{}));
        }
    }
}

void connection::close(const error& reason)
{
    std::unordered_map<std::uint32_t, std::shared_ptr<frame_stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_closed = reason;
        streams.swap(m_streams);
        m_outbox.clear();
    }
    for (const auto& [id, stream] : streams) {
        stream->close_local(reason);
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->m_socket.close(ignored);
    });
}

} // namespace verbena::net
