#include "net/peer_pool.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace verbena::net {

result<std::shared_ptr<frame_server>> frame_server::create(asio::io_context& io, const host_port& address,
                                                           const connection_options& options,
                                                           connection_handler& handler)
{
    BOOST_OUTCOME_TRY(tcp::acceptor acceptor, open_acceptor(io, address));
    return std::make_shared<frame_server>(io, std::move(acceptor), options, handler);
}

frame_server::frame_server(asio::io_context& io, tcp::acceptor acceptor, const connection_options& options,
                           connection_handler& handler)
    : m_io(io), m_acceptor(std::move(acceptor)), m_options(options), m_handler(handler),
      m_port(m_acceptor.local_endpoint().port())
{
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
            // Out of file descriptors: wait for connections to end instead of spinning.
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
    const auto place = m_connections.find(key);
    if (place == m_connections.end()) {
        return nullptr;
    }
    if (!place->second->is_open()) {
        m_connections.erase(place);
        return nullptr;
    }
    return place->second;
}

task<result<std::shared_ptr<connection>>> peer_pool::connect(tcp::endpoint endpoint, milliseconds timeout)
{
    boost::beast::tcp_stream stream(asio::make_strand(m_io));
    stream.expires_after(timeout);
    auto [failure] = co_await stream.async_connect(endpoint, no_throw);
    if (failure) {
        co_return io_error("connect", failure);
    }
    auto opened = std::make_shared<connection>(stream.release_socket(), m_options, m_handler, true);
    // The handshake runs on the connection's strand; co_spawn needs a result that can be default-constructed.
    const std::optional<error> failed = co_await asio::co_spawn(
        opened->executor(),
        [opened]() -> task<std::optional<error>> {
            const result<void> greeted = co_await opened->handshake();
            co_return greeted ? std::nullopt : std::optional<error>(greeted.error());
        },
        asio::use_awaitable);
    if (failed) {
        co_return *failed;
    }
    co_return opened;
}

task<result<std::shared_ptr<connection>>> peer_pool::get(host_port address, milliseconds timeout)
{
    const address_key key(address.host, address.port);
    std::shared_ptr<connection> existing = find(key);
    if (existing) {
        co_return existing;
    }
    BOOST_OUTCOME_CO_TRY(const tcp::endpoint endpoint, to_endpoint(address));
    result<std::shared_ptr<connection>> opened = co_await connect(endpoint, timeout);
    if (!opened) {
        co_return opened.error();
    }
    const std::lock_guard lock(m_mutex);
    auto& place = m_connections[key];
    if (place && place->is_open()) {
        // Another caller connected first; the surplus connection ends unused.
        opened.value()->close(make_error(error_kind::unavailable, "surplus connection"));
        co_return place;
    }
    place = opened.value();
    co_return place;
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
    std::shared_ptr<connection> dropped;
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_connections.find({address.host, address.port});
        if (place == m_connections.end() || place->second->open_streams() != 0) {
            return;
        }
        dropped = place->second;
        m_connections.erase(place);
    }
    dropped->close(make_error(error_kind::unavailable, "the address is no longer in use"));
}

} // namespace verbena::net
