#pragma once

#include "forward/fleet.h"
#include "net/peer_pool.h"
#include "node/config_view.h"

#include <memory>
#include <mutex>

namespace verbena::forward {

// Tells the other entries what this one gives to endpoints and listens to them, so that each can predict the
// load of every endpoint without asking. What an entry has said counts until its connection ends. Entries
// also pass on the newest confirmed configuration to each other.
class load_share : public net::connection_handler, public std::enable_shared_from_this<load_share> {
public:
    // `peers` gives the frame addresses of all entries, this one's included.
    using peer_list = std::function<std::vector<std::string>()>;

    struct options {
        host_port listen;
        net::connection_options connections;
    };

    static result<std::shared_ptr<load_share>> create(net::asio::io_context& io, options settings,
                                                      fleet& endpoints, node::config_view& config,
                                                      peer_list peers);

    load_share(net::asio::io_context& io, options settings, fleet& endpoints, node::config_view& config,
               peer_list peers);

    void start();
    void stop();

    // Queues a step of this entry's own work.
    void add(wire::dispatch_noteT note);

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

    std::size_t peers() const;

private:
    // Notes of this entry for one other entry.
    struct peer {
        std::shared_ptr<net::frame_stream> stream;
        bool connecting = false;
        time_point heard; // of the address list
    };

    net::task<void> connect_loop();
    net::task<void> connect(std::string name, host_port address);
    net::task<void> listen(std::shared_ptr<net::frame_stream> stream, net::received_frame first);
    void update_peers();
    void flush();
    void apply(const wire::load_notes& notes);

    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    options m_options;
    fleet& m_fleet;
    node::config_view& m_config;
    peer_list m_list;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<net::frame_server> m_server;
    net::asio::steady_timer m_flush_timer;

    // Guards the members below; last in the lock order but for metrics.
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::vector<wire::dispatch_noteT> m_queued;
    bool m_flushing = false;
    bool m_stopping = false;
};

} // namespace verbena::forward
