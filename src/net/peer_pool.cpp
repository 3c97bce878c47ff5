#include "net/peer_pool.h"

#include "net/receive_buffer.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace verbena::net {

result<std::shared_ptr<frame_server>> frame_server::create(asio::io_context& io, const host_port& address,
                                                           const connection_options& options,
                                                           connection_handler& handler)
{
    BOOST_OUTCOME_TRY(tcp::acceptor acceptor, await_acceptor(io, address));
    return std::make_shared<frame_server>(io, std::move(acceptor), options, handler);
}

frame_server::frame_server(asio::io_context& io, tcp::acceptor acceptor, const connection_options& options,
                           connection_handler& handler)
    : m_io(io), m_acceptor(std::move(acceptor)), m_options(options), m_handler(handler),
      m_port(m_acceptor.local_endpoint().port())
{
    set_receive_buffer(m_acceptor, peer_receive_buffer);
}

void frame_server::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept_loop(); },
        asio::detached);
}

void frame_server::stop_accepting()
{
    m_stopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

task<void> frame_server::accept_loop()
{
    while (!m_stopping) {
        tcp::socket socket(asio::make_strand(m_io));
        auto [failure] = co_await m_acceptor.async_accept(socket, no_throw);
        if (failure == asio::error::operation_aborted || !m_acceptor.is_open()) {
            co_return;
        }
        if (failure) {
            // Out of file descriptors: wait for connections to close instead of retrying at once.
            co_await sleep_for(milliseconds(50));
            continue;
        }
        const auto executor = socket.get_executor();
        auto accepted = std::make_shared<connection>(std::move(socket), m_options, &m_handler, false);
        asio::co_spawn(
            executor, [accepted]() -> task<void> { (void)co_await accepted->handshake(); }, asio::detached);
    }
}

peer_pool::peer_pool(asio::io_context& io, const connection_options& options, connection_handler* handler)
    : m_io(io), m_options(options), m_handler(handler)
{
}

std::shared_ptr<connection> peer_pool::find(const address_key& key)
{
    const std::lock_guard lock(m_mutex);
    const auto slot = m_connections.find(key);
    if (slot == m_connections.end()) {
        return nullptr;
    }
    if (!slot->second->is_open()) {
        m_connections.erase(slot);
        return nullptr;
    }
    return slot->second;
}

task<peer_pool::connect_outcome> peer_pool::connect_on_strand(tcp::endpoint endpoint, milliseconds timeout)
{
    const time_point deadline = clock::now() + timeout;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    connect_outcome outcome;
    boost::beast::tcp_stream stream(executor);
    error_code ignored;
    stream.socket().open(endpoint.protocol(), ignored); // otherwise async_connect() reports the error
    set_receive_buffer(stream.socket(), peer_receive_buffer);
    stream.expires_after(timeout);
    auto [failure] = co_await stream.async_connect(endpoint, no_throw);
    if (failure) {
        outcome.failed = io_error("connect", failure);
        co_return outcome;
    }
    outcome.opened = std::make_shared<connection>(stream.release_socket(), m_options, m_handler, true);
    // A peer that accepts the connection but does not reply to hello must not delay the caller beyond its
    // timeout.
    steady_timer hello_timer(executor, deadline);
    hello_timer.async_wait([weak_connection = std::weak_ptr(outcome.opened)](const error_code& cancelled) {
        const auto unanswered = weak_connection.lock();
        if (!cancelled && unanswered) {
            unanswered->close(make_error(error_kind::timeout, "the peer did not reply to hello in time"));
        }
    });
    const result<void> hello_result = co_await outcome.opened->handshake();
    if (!hello_result) {
        outcome.failed = hello_result.error();
    }
    co_return outcome;
}

task<result<std::shared_ptr<connection>>> peer_pool::connect(tcp::endpoint endpoint, milliseconds timeout)
{
    // Everything runs on the strand of the new connection, including the timeout of tcp_stream, because the
    // stream is not thread-safe. The coroutine is a named variable because GCC 12 destroys the captures of a
    // lambda inside a co_await expression twice.
    const auto strand = asio::make_strand(m_io);
    task<connect_outcome> attempt = connect_on_strand(endpoint, timeout);
    connect_outcome outcome = co_await asio::co_spawn(strand, std::move(attempt), asio::use_awaitable);
    if (outcome.failed) {
        co_return *outcome.failed;
    }
    co_return outcome.opened;
}

task<result<std::shared_ptr<connection>>> peer_pool::get(host_port address, milliseconds timeout)
{
    const address_key key(address.host, address.port);
    std::shared_ptr<connection> existing = find(key);
    if (existing) {
        co_return existing;
    }
    BOOST_OUTCOME_CO_TRY(const tcp::endpoint endpoint, to_tcp_endpoint(address));
    result<std::shared_ptr<connection>> opened = co_await connect(endpoint, timeout);
    if (!opened) {
        co_return opened.error();
    }
    const std::lock_guard lock(m_mutex);
    auto& slot = m_connections[key];
    if (slot && slot->is_open()) {
        // Another caller connected first; this connection is closed unused.
        opened.value()->close(
            make_error(error_kind::unavailable, "duplicate connection to the same address"));
        co_return slot;
    }
    slot = opened.value();
    co_return slot;
}

task<result<std::shared_ptr<frame_stream>>> peer_pool::open_stream(host_port address, milliseconds timeout)
{
    result<std::shared_ptr<connection>> opened = co_await get(std::move(address), timeout);
    if (!opened) {
        co_return opened.error();
    }
    co_return opened.value()->open_stream();
}

std::vector<std::shared_ptr<connection>> peer_pool::open_connections()
{
    std::vector<std::shared_ptr<connection>> connections;
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, value] : m_connections) {
        if (value->is_open()) {
            connections.push_back(value);
        }
    }
    return connections;
}

void peer_pool::drop(const host_port& address)
{
    std::shared_ptr<connection> removed;
    {
        const std::lock_guard lock(m_mutex);
        const auto slot = m_connections.find({address.host, address.port});
        if (slot == m_connections.end() || slot->second->open_streams() != 0) {
            return;
        }
        removed = slot->second;
        m_connections.erase(slot);
    }
    removed->close(make_error(error_kind::unavailable, "the address is no longer in use"));
}

} // namespace verbena::net
