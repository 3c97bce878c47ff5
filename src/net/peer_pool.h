#pragma once

#include "net/address.h"
#include "net/connection.h"

#include <map>

namespace verbena::net {

// Accepts frame connections and passes their streams to a handler.
class frame_server : public std::enable_shared_from_this<frame_server> {
public:
    static result<std::shared_ptr<frame_server>> create(asio::io_context& io, const host_port& address,
                                                        const connection_options& options,
                                                        connection_handler& handler);

    void start();
    void stop_accepting();
    std::uint16_t port() const { return m_port; }

    frame_server(asio::io_context& io, tcp::acceptor acceptor, const connection_options& options,
                 connection_handler& handler);

private:
    task<void> accept_loop();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    connection_options m_options;
    connection_handler& m_handler;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping{false};
};

// Keeps one connection per address and replaces it after it has ended.
class peer_pool : public std::enable_shared_from_this<peer_pool> {
public:
    peer_pool(asio::io_context& io, const connection_options& options, connection_handler* handler);

    // Returns the open connection to the address, or connects when there is none. Concurrent calls may each
    // connect; only one connection is kept.
    task<result<std::shared_ptr<connection>>> get(host_port address, milliseconds timeout);

    // Opens a stream on the connection to the address, connecting first when there is none.
    task<result<std::shared_ptr<frame_stream>>> open_stream(host_port address, milliseconds timeout);

    // Returns the connections that are currently open.
    std::vector<std::shared_ptr<connection>> open_connections();

    // Closes the connection to an address that is no longer in use, unless it has open streams.
    void drop(const host_port& address);

private:
    using address_key = std::pair<std::string, std::uint16_t>;

    // co_spawn requires a default-constructible result.
    struct connect_outcome {
        std::shared_ptr<connection> opened;
        std::optional<error> failed;
    };

    std::shared_ptr<connection> find(const address_key& key);
    // Connects and exchanges hello within `timeout`, on the strand of the new connection.
    task<connect_outcome> connect_on_strand(tcp::endpoint endpoint, milliseconds timeout);
    task<result<std::shared_ptr<connection>>> connect(tcp::endpoint endpoint, milliseconds timeout);

    asio::io_context& m_io;
    connection_options m_options;
    connection_handler* m_handler;
    std::mutex m_mutex;
    std::map<address_key, std::shared_ptr<connection>> m_connections;
};

} // namespace verbena::net
