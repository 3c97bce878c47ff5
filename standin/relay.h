#pragma once

#include "base/settings.h"
#include "net/asio.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace verbena::standin {

enum class relay_direction { to_target, from_target, both };

// TCP relay that injects network faults between a listening port and a target. All member functions may be
// called from any thread.
class relay : public std::enable_shared_from_this<relay> {
public:
    static result<std::shared_ptr<relay>> create(net::asio::io_context& io, const host_port& listen,
                                                 const host_port& target);

    relay(net::asio::io_context& io, net::tcp::acceptor acceptor, net::tcp::endpoint target);

    void start();

    // Stops forwarding without closing connections, as a network partition that drops packets does: bytes and
    // the end of a connection are delayed until heal(). With `existing_only`, later connections are
    // forwarded.
    void cut(relay_direction direction, bool existing_only);
    // Resumes forwarding, starting with the delayed bytes.
    void heal();
    // Closes all connections; new ones are still accepted.
    void close();
    // Flips one bit of the next byte forwarded in the given direction, on whichever connection sends first.
    void corrupt_next(relay_direction direction);
    // Closes the listener and all connections.
    void stop();

    std::uint16_t port() const { return m_port; }

private:
    static constexpr std::size_t direction_count = 2;

    // One forwarded connection. Index 0 of the arrays is the direction to the target.
    struct relayed_connection {
        explicit relayed_connection(const net::asio::any_io_executor& executor);

        net::tcp::socket caller;
        net::tcp::socket target;
        std::array<std::atomic<bool>, direction_count> cut{};
        std::array<net::steady_timer, direction_count> heal_timers;
    };

    net::task<void> accept_loop();
    net::task<void> forward(std::shared_ptr<relayed_connection> connection);
    net::task<void> copy_bytes(std::shared_ptr<relayed_connection> connection, std::size_t direction);
    net::task<void> wait_until_healed(relayed_connection& connection, std::size_t direction);
    static void close_connection(relayed_connection& connection);
    std::vector<std::shared_ptr<relayed_connection>> connections();
    void add(const std::shared_ptr<relayed_connection>& connection);

    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    net::tcp::acceptor m_acceptor;
    net::tcp::endpoint m_target;
    std::uint16_t m_port;
    std::array<std::atomic<bool>, direction_count> m_corrupt_next{};

    // Guards the members below.
    std::mutex m_mutex;
    std::array<bool, direction_count> m_cut_new_connections{};
    std::vector<std::weak_ptr<relayed_connection>> m_connections;
};

} // namespace verbena::standin
