#include "net/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace verbena::net {

namespace {

constexpr std::size_t initial_window = 64 * 1024;

// Smallest cost of a data message against the window, in bytes.
constexpr std::size_t message_cost = 64;

// Credit is returned to the peer in steps of this size, so that small messages do not cause a window frame
// each.
constexpr std::size_t grant_step = 16 * 1024;

constexpr std::size_t read_buffer_size = 64 * 1024;

// Frames that one write gathers.
constexpr std::size_t write_batch = 64;

// Streams that a peer may have open on one connection.
constexpr std::size_t max_streams = 65'536;

error closed_error()
{
    return make_error(error_kind::unavailable, "the connection is closed", "retry on a new connection");
}

bool is_data(const wire::frame& frame)
{
    return frame.message_type() == wire::body::answer_data || frame.message_type() == wire::body::submit_data;
}

// Cost of a received message against the window; 0 for messages that are not data.
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
    return std::max(bytes, message_cost);
}

frame_stream::frame_stream(std::shared_ptr<connection> parent, std::uint32_t id)
    : m_connection(std::move(parent)), m_id(id), m_credit(initial_window), m_granted(initial_window),
      m_received(m_connection->executor(), 1), m_credited(m_connection->executor(), 1)
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
            if (m_credit > 0) {
                m_credit -= static_cast<std::int64_t>(window_cost(bytes));
                break;
            }
        }
        co_await m_credited.async_receive(no_throw);
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
        co_await m_received.async_receive(no_throw);
    }
}

void frame_stream::wake_receiver()
{
    m_received.try_send(error_code());
}

bool frame_stream::deliver(received_frame message)
{
    const std::size_t cost = received_cost(*message.frame);
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return true;
        }
        if (cost > 0 && m_granted <= 0) {
            return false;
        }
        m_granted -= static_cast<std::int64_t>(cost);
        m_inbox.push_back(std::move(message));
    }
    wake_receiver();
    return true;
}

void frame_stream::add_credit(std::size_t bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        m_credit += static_cast<std::int64_t>(bytes);
    }
    m_credited.try_send(error_code());
}

void frame_stream::grant_window(std::size_t bytes)
{
    std::size_t ready = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_ungranted += window_cost(bytes);
        if (m_ungranted < grant_step || m_closed) {
            return;
        }
        ready = std::exchange(m_ungranted, 0);
        m_granted += static_cast<std::int64_t>(ready);
    }
    wire::windowT window;
    window.bytes = static_cast<std::uint32_t>(ready);
    send(make_frame(std::move(window)));
}

bool frame_stream::close_here(const error& reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return false;
        }
        m_closed = reason;
    }
    m_connection->forget_stream(m_id);
    wake_receiver();
    m_credited.try_send(error_code());
    return true;
}

void frame_stream::close(const error& reason)
{
    if (close_here(reason)) {
        wire::resetT reset;
        reset.reason = reason.message;
        send(make_frame(std::move(reset)));
    }
}

stream_guard::~stream_guard()
{
    m_stream->close(make_error(error_kind::unavailable, "the stream has ended"));
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

task<bool> connection::fill(std::size_t bytes)
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
    const bool has_header = co_await fill(frame_header_size);
    if (!has_header) {
        co_return closed_error();
    }
    const std::span<const std::uint8_t, frame_header_size> head(m_read_buffer.data() + m_read_begin,
                                                                frame_header_size);
    BOOST_OUTCOME_CO_TRY(const frame_header header, decode_header(head));
    m_read_begin += frame_header_size;
    stream = header.stream;
    received_frame message;
    message.payload.resize(header.length);
    std::size_t copied = 0;
    while (copied < header.length) {
        const bool more = co_await fill(1);
        if (!more) {
            co_return closed_error();
        }
        const std::size_t part = std::min<std::size_t>(header.length - copied, m_read_end - m_read_begin);
        std::copy_n(m_read_buffer.data() + m_read_begin, part, message.payload.data() + copied);
        m_read_begin += part;
        copied += part;
    }
    BOOST_OUTCOME_CO_TRY(message.frame, decode_payload(header, message.payload));
    // The verifier accepts a union type without a value; handlers that look at the type would use a null
    // table.
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
    const result<received_frame> first = co_await read_frame(stream);
    if (!first) {
        co_return first.error();
    }
    const wire::frame& frame = *first.value().frame;
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
    const result<void> greeted = co_await exchange_hello();
    if (!greeted) {
        if (greeted.error().kind != error_kind::unavailable) {
            count(greeted.error().message);
        }
        close(greeted.error());
        co_return greeted.error();
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

void connection::forget_stream(std::uint32_t id)
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
            dispatch_connection(*message.value().frame);
        } else if (!dispatch(stream, std::move(message.value()))) {
            co_return;
        }
    }
}

void connection::dispatch_connection(const wire::frame& frame)
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
        const auto place = m_streams.find(id);
        if (place != m_streams.end()) {
            stream = place->second;
        }
    }
    if (!stream) {
        open_from_peer(id, std::move(message));
        return true;
    }
    if (const wire::window* window = message.frame->message_as_window()) {
        stream->add_credit(window->bytes());
        return true;
    }
    if (const wire::reset* reset = message.frame->message_as_reset()) {
        const std::string reason = reset->reason() == nullptr ? "" : reset->reason()->str();
        stream->close_here(make_error(error_kind::unavailable, "the peer ended the stream: " + reason));
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

void connection::open_from_peer(std::uint32_t id, received_frame message)
{
    const bool ours = (id % 2 == 1) == m_initiator;
    const wire::body kind = message.frame->message_type();
    const bool late = is_data(*message.frame) || kind == wire::body::window || kind == wire::body::reset ||
                      kind == wire::body::cancel;
    if (ours || late || m_handler == nullptr) {
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
    const milliseconds step = m_options.ping_after / 4;
    while (is_open()) {
        co_await sleep_for(step);
        const auto quiet = clock::now() - m_last_received.load();
        if (quiet > m_options.silent_after) {
            count("silent");
            close(make_error(error_kind::timeout, "the peer has been silent", "retry on a new connection"));
            co_return;
        }
        if (quiet > m_options.ping_after && !m_peer.name.empty()) {
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
        stream->close_here(reason);
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->m_socket.close(ignored);
    });
}

} // namespace verbena::net
