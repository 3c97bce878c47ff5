#pragma once

#include "forward/fleet.h"
#include "net/peer_pool.h"
#include "node/config_view.h"

#include <memory>
#include <mutex>

namespace verbena::forward {

// Exchanges load notes with the other entries: each entry sends what it dispatches to endpoints, so that all
// of them can predict the load of every endpoint without a query. The notes of an entry count until its
// connection ends. Entries also answer each other's queries for the newest confirmed configuration.
class load_exchange : public net::connection_handler, public std::enable_shared_from_this<load_exchange> {
public:
    // Returns the frame addresses of all entries, including this one.
    using peer_list = std::function<std::vector<std::string>()>;

    struct options {
        host_port listen;
        net::connection_options connections;
    };

    static result<std::shared_ptr<load_exchange>> create(net::asio::io_context& io, options settings,
                                                         fleet& endpoints, node::config_view& config,
                                                         peer_list peers);

    load_exchange(net::asio::io_context& io, options settings, fleet& endpoints, node::config_view& config,
                  peer_list peers);

    void start();
    void stop();

    // Queues a note about this entry's own work for sending.
    void add(wire::dispatch_noteT note);

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

    std::size_t peers() const;

private:
    // Connection over which this entry sends its notes to another entry.
    struct peer {
        std::shared_ptr<net::frame_stream> stream;
        bool connecting = false;
        time_point heard; // when the address list last contained it
    };

    net::task<void> connect_loop();
    net::task<void> connect(std::string name, host_port address);
    net::task<void> receive_notes(std::shared_ptr<net::frame_stream> stream, net::received_frame first);
    void update_peers();
    void flush();
    void apply(const wire::load_notes& notes);

    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    options m_options;
    fleet& m_fleet;
    node::config_view& m_config;
    peer_list m_peer_list;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<net::frame_server> m_server;
    net::asio::steady_timer m_flush_timer;

    // Guards the members below. In the lock order it comes last, except for metrics.
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::vector<wire::dispatch_noteT> m_queued;
    bool m_flushing = false;
    bool m_stopping = false;
};

} // namespace verbena::forward
