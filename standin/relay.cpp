#include "standin/relay.h"

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace verbena::standin {

namespace {

constexpr std::size_t copy_buffer_size = 16 * 1024;

bool includes_direction(relay_direction direction, std::size_t index)
{
    return direction == relay_direction::both || index == (direction == relay_direction::to_target ? 0U : 1U);
}

} // namespace

relay::relayed_connection::relayed_connection(const net::asio::any_io_executor& executor)
    : caller(executor), target(executor), heal_timers{net::steady_timer(executor, time_point::max()),
                                                      net::steady_timer(executor, time_point::max())}
{
}

result<std::shared_ptr<relay>> relay::create(net::asio::io_context& io, const host_port& listen,
                                             const host_port& target)
{
    BOOST_OUTCOME_TRY(const net::tcp::endpoint endpoint, net::to_tcp_endpoint(target));
    BOOST_OUTCOME_TRY(net::tcp::acceptor acceptor, net::open_acceptor(io, listen));
    return std::make_shared<relay>(io, std::move(acceptor), endpoint);
}

relay::relay(net::asio::io_context& io, net::tcp::acceptor acceptor, net::tcp::endpoint target)
    : m_strand(net::asio::make_strand(io)), m_acceptor(std::move(acceptor)), m_target(std::move(target)),
      m_port(m_acceptor.local_endpoint().port())
{
}

void relay::start()
{
    net::asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->accept_loop(); }, net::asio::detached);
}

net::task<void> relay::accept_loop()
{
    while (m_acceptor.is_open()) {
        auto connection = std::make_shared<relayed_connection>(m_strand);
        auto [failure] = co_await m_acceptor.async_accept(connection->caller, net::no_throw);
        if (failure) {
            co_return;
        }
        add(connection);
        net::asio::co_spawn(
            m_strand, [self = shared_from_this(), connection] { return self->forward(connection); },
            net::asio::detached);
    }
}

void relay::add(const std::shared_ptr<relayed_connection>& connection)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const auto& entry) { return entry.expired(); });
    for (std::size_t index = 0; index < direction_count; ++index) {
        connection->cut[index] = m_cut_new_connections[index];
    }
    m_connections.push_back(connection);
}

net::task<void> relay::forward(std::shared_ptr<relayed_connection> connection)
{
    auto [failure] = co_await connection->target.async_connect(m_target, net::no_throw);
    if (failure) {
        close_connection(*connection);
        co_return;
    }
    net::error_code ignored;
    connection->caller.set_option(net::tcp::no_delay(true), ignored);
    connection->target.set_option(net::tcp::no_delay(true), ignored);
    for (std::size_t index = 0; index < direction_count; ++index) {
        net::asio::co_spawn(
            m_strand,
            [self = shared_from_this(), connection, index] { return self->copy_bytes(connection, index); },
            net::asio::detached);
    }
}

net::task<void> relay::wait_until_healed(relayed_connection& connection, std::size_t direction)
{
    // heal() clears the flag first and then cancels the timer on the strand, so no wake-up is lost.
    while (connection.cut[direction]) {
        co_await connection.heal_timers[direction].async_wait(net::no_throw);
    }
}

net::task<void> relay::copy_bytes(std::shared_ptr<relayed_connection> connection, std::size_t direction)
{
    net::tcp::socket& source = direction == 0 ? connection->caller : connection->target;
    net::tcp::socket& sink = direction == 0 ? connection->target : connection->caller;
    std::vector<std::uint8_t> bytes(copy_buffer_size);
    while (true) {
        auto [failure, size] = co_await source.async_read_some(net::asio::buffer(bytes), net::no_throw);
        co_await wait_until_healed(*connection, direction);
        if (failure == net::asio::error::eof) {
            net::error_code ignored;
            sink.shutdown(net::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (failure) {
            close_connection(*connection);
            co_return;
        }
        if (m_corrupt_next[direction].exchange(false)) {
            bytes[0] ^= 1U;
        }
        auto [write_failure, written] =
            co_await net::asio::async_write(sink, net::asio::buffer(bytes.data(), size), net::no_throw);
        if (write_failure) {
            close_connection(*connection);
            co_return;
        }
    }
}

void relay::close_connection(relayed_connection& connection)
{
    net::error_code ignored;
    connection.caller.close(ignored);
    connection.target.close(ignored);
    for (std::size_t index = 0; index < direction_count; ++index) {
        connection.cut[index] = false;
        connection.heal_timers[index].cancel();
    }
}

std::vector<std::shared_ptr<relay::relayed_connection>> relay::connections()
{
    std::vector<std::shared_ptr<relayed_connection>> live_connections;
    const std::lock_guard lock(m_mutex);
    for (const auto& entry : m_connections) {
        if (auto live = entry.lock()) {
            live_connections.push_back(std::move(live));
        }
    }
    return live_connections;
}

void relay::cut(relay_direction direction, bool existing_only)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < direction_count; ++index) {
        if (!includes_direction(direction, index)) {
            continue;
        }
        m_cut_new_connections[index] = m_cut_new_connections[index] || !existing_only;
        for (const auto& entry : m_connections) {
            if (const auto live = entry.lock()) {
                live->cut[index] = true;
            }
        }
    }
}

void relay::heal()
{
    {
        const std::lock_guard lock(m_mutex);
        m_cut_new_connections = {};
    }
    for (const auto& connection : connections()) {
        for (auto& cut : connection->cut) {
            cut = false;
        }
        net::asio::post(m_strand, [connection] {
            for (auto& timer : connection->heal_timers) {
                timer.cancel();
            }
        });
    }
}

void relay::close()
{
    for (const auto& connection : connections()) {
        net::asio::post(m_strand, [connection] { close_connection(*connection); });
    }
}

void relay::corrupt_next(relay_direction direction)
{
    for (std::size_t index = 0; index < direction_count; ++index) {
        if (includes_direction(direction, index)) {
            m_corrupt_next[index] = true;
        }
    }
}

void relay::stop()
{
    net::asio::post(m_strand, [self = shared_from_this()] {
        net::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    close();
}

} // namespace verbena::standin
