#include "standin/relay.h"

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace verbena::standin {

namespace {

constexpr std::size_t pump_buffer_size = 16 * 1024;

bool covers(relay_direction direction, std::size_t index)
{
    return direction == relay_direction::both || index == (direction == relay_direction::to_target ? 0U : 1U);
}

} // namespace

relay::link::link(const net::asio::any_io_executor& executor)
    : caller(executor), target(executor), healed{net::asio::steady_timer(executor, time_point::max()),
                                                 net::asio::steady_timer(executor, time_point::max())}
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
        auto open = std::make_shared<link>(m_strand);
        auto [failure] = co_await m_acceptor.async_accept(open->caller, net::no_throw);
        if (failure) {
            co_return;
        }
        add(open);
        net::asio::co_spawn(
            m_strand, [self = shared_from_this(), open] { return self->forward(open); }, net::asio::detached);
    }
}

void relay::add(const std::shared_ptr<link>& open)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_links, [](const auto& known) { return known.expired(); });
    for (std::size_t index = 0; index < directions; ++index) {
        open->cut[index] = m_cut_new[index];
    }
    m_links.push_back(open);
}

net::task<void> relay::forward(std::shared_ptr<link> open)
{
    auto [failure] = co_await open->target.async_connect(m_target, net::no_throw);
    if (failure) {
        close_link(*open);
        co_return;
    }
    net::error_code ignored;
    open->caller.set_option(net::tcp::no_delay(true), ignored);
    open->target.set_option(net::tcp::no_delay(true), ignored);
    for (std::size_t index = 0; index < directions; ++index) {
        net::asio::co_spawn(
            m_strand, [self = shared_from_this(), open, index] { return self->pump(open, index); },
            net::asio::detached);
    }
}

net::task<void> relay::wait_healed(link& open, std::size_t direction)
{
    // heal() cancels the timer on the strand after it has cleared the flag, so no wake-up is lost.
    while (open.cut[direction]) {
        co_await open.healed[direction].async_wait(net::no_throw);
    }
}

net::task<void> relay::pump(std::shared_ptr<link> open, std::size_t direction)
{
    net::tcp::socket& source = direction == 0 ? open->caller : open->target;
    net::tcp::socket& sink = direction == 0 ? open->target : open->caller;
    std::vector<std::uint8_t> bytes(pump_buffer_size);
    while (true) {
        auto [failure, size] = co_await source.async_read_some(net::asio::buffer(bytes), net::no_throw);
        co_await wait_healed(*open, direction);
        if (failure == net::asio::error::eof) {
            net::error_code ignored;
            sink.shutdown(net::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (failure) {
            close_link(*open);
            co_return;
        }
        if (m_corrupt[direction].exchange(false)) {
            bytes[0] ^= 1U;
        }
        auto [not_written, written] =
            co_await net::asio::async_write(sink, net::asio::buffer(bytes.data(), size), net::no_throw);
        if (not_written) {
            close_link(*open);
            co_return;
        }
    }
}

void relay::close_link(link& open)
{
    net::error_code ignored;
    open.caller.close(ignored);
    open.target.close(ignored);
    for (std::size_t index = 0; index < directions; ++index) {
        open.cut[index] = false;
        open.healed[index].cancel();
    }
}

std::vector<std::shared_ptr<relay::link>> relay::links()
{
    std::vector<std::shared_ptr<link>> open;
    const std::lock_guard lock(m_mutex);
    for (const auto& known : m_links) {
        if (auto live = known.lock()) {
            open.push_back(std::move(live));
        }
    }
    return open;
}

void relay::cut(relay_direction direction, bool existing_only)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < directions; ++index) {
        if (!covers(direction, index)) {
            continue;
        }
        m_cut_new[index] = m_cut_new[index] || !existing_only;
        for (const auto& known : m_links) {
            if (const auto live = known.lock()) {
                live->cut[index] = true;
            }
        }
    }
}

void relay::heal()
{
    {
        const std::lock_guard lock(m_mutex);
        m_cut_new = {};
    }
    for (const auto& open : links()) {
        for (auto& cut : open->cut) {
            cut = false;
        }
        net::asio::post(m_strand, [open] {
            for (auto& timer : open->healed) {
                timer.cancel();
            }
        });
    }
}

void relay::close()
{
    for (const auto& open : links()) {
        net::asio::post(m_strand, [open] { close_link(*open); });
    }
}

void relay::corrupt_next(relay_direction direction)
{
    for (std::size_t index = 0; index < directions; ++index) {
        if (covers(direction, index)) {
            m_corrupt[index] = true;
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
