#pragma once

#include "net/peer_pool.h"
#include "net_fixture.h"

#include <deque>
#include <string>

// Keeps the streams that peers open until a test takes them.
class stream_queue : public verbena::net::connection_handler {
public:
    using stream_ptr = std::shared_ptr<verbena::net::frame_stream>;

    void on_stream(const stream_ptr& stream, verbena::net::received_frame first) override;

    // The next stream in the order of arrival; waits for it.
    stream_ptr next();
    // The stream whose first message is submit with this attempt number; waits for it.
    stream_ptr with_attempt(std::uint32_t attempt);
    std::size_t size() const;
    // Closes all connections that streams came from and forgets the streams.
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

// A frame server and a pool of the same cluster, run by four threads. The bounds must be set before start().
struct peers {
    peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    ~peers();

    void start();
    verbena::host_port address() const;
    std::uint64_t server_events(const std::string& event) const;
    std::uint64_t client_events(const std::string& event) const;

    // Opens a stream with submit and the attempt number; requires that it succeeds.
    stream_queue::stream_ptr open(std::uint32_t attempt);
    stream_queue::stream_ptr open(const verbena::host_port& address, std::uint32_t attempt);
    // A plain socket to the server, for malformed input.
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
