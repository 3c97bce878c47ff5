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

// TCP relay that injects network faults between a listening port and a target. All members may be called from
// any thread.
class relay : public std::enable_shared_from_this<relay> {
public:
    static result<std::shared_ptr<relay>> create(net::asio::io_context& io, const host_port& listen,
                                                 const host_port& target);

    relay(net::asio::io_context& io, net::tcp::acceptor acceptor, net::tcp::endpoint target);

    void start();

    // Stops forwarding without closing, as a silent partition does: bytes and the end of a connection are
    // held back until heal(). With `existing_only`, connections made later are forwarded.
    void cut(relay_direction direction, bool existing_only);
    // Forwards again, beginning with what was held back.
    void heal();
    // Closes all connections; new ones are accepted.
    void close();
    // Flips one bit of the next byte forwarded in the direction, on whichever connection sends first.
    void corrupt_next(relay_direction direction);
    // Closes the listener and all connections.
    void stop();

    std::uint16_t port() const { return m_port; }

private:
    static constexpr std::size_t directions = 2;

    // One forwarded connection; index 0 of the arrays is the direction to the target.
    struct link {
        explicit link(const net::asio::any_io_executor& executor);

        net::tcp::socket caller;
        net::tcp::socket target;
        std::array<std::atomic<bool>, directions> cut{};
        std::array<net::asio::steady_timer, directions> healed;
    };

    net::task<void> accept_loop();
    net::task<void> forward(std::shared_ptr<link> open);
    net::task<void> pump(std::shared_ptr<link> open, std::size_t direction);
    net::task<void> wait_healed(link& open, std::size_t direction);
    static void close_link(link& open);
    std::vector<std::shared_ptr<link>> links();
    void add(const std::shared_ptr<link>& open);

    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    net::tcp::acceptor m_acceptor;
    net::tcp::endpoint m_target;
    std::uint16_t m_port;
    std::array<std::atomic<bool>, directions> m_corrupt{};

    // Guards the members below.
    std::mutex m_mutex;
    std::array<bool, directions> m_cut_new{};
    std::vector<std::weak_ptr<link>> m_links;
};

} // namespace verbena::standin
