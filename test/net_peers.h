#pragma once

#include "net/peer_pool.h"
#include "net_fixture.h"

#include <deque>
#include <string>

// Queues the streams that peers open until a test takes them.
class stream_queue : public verbena::net::connection_handler {
public:
    using stream_ptr = std::shared_ptr<verbena::net::frame_stream>;

    void on_stream(const stream_ptr& stream, verbena::net::received_frame first) override;

    // Waits for the next stream, in order of arrival, and removes it.
    stream_ptr next();
    // Waits for the stream whose first message is submit with this attempt number, and removes it.
    stream_ptr with_attempt(std::uint32_t attempt);
    std::size_t size() const;
    // Closes all connections on which streams have arrived and clears the queue.
    void close();

private:
    struct entry {
        std::uint32_t attempt = 0;
        stream_ptr stream;
    };

    mutable std::mutex m_mutex;
    std::deque<entry> m_streams;
    std::vector<std::weak_ptr<verbena::net::connection>> m_connections;
};

// A frame server and a peer pool of the same cluster, on four threads. Set the options before start().
struct peers {
    peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    ~peers();

    void start();
    verbena::host_port address() const;
    std::uint64_t server_events(const std::string& event) const;
    std::uint64_t client_events(const std::string& event) const;

    // Opens a stream and sends submit with the attempt number; fails the test when that is not possible.
    stream_queue::stream_ptr open(std::uint32_t attempt);
    stream_queue::stream_ptr open(const verbena::host_port& address, std::uint32_t attempt);
    // A plain TCP socket connected to the server, for malformed input.
    verbena::net::tcp::socket raw_socket();

    verbena::metrics server_counters;
    verbena::metrics client_counters;
    verbena::net::connection_options server_options;
    verbena::net::connection_options client_options;
    stream_queue accepted;
    net_threads threads;
    std::shared_ptr<verbena::net::frame_server> server;
    std::shared_ptr<verbena::net::peer_pool> pool;

private:
    std::mutex m_mutex;
    std::vector<std::weak_ptr<verbena::net::connection>> m_connections;
};
