#include "net_peers.h"

#include <algorithm>

using namespace verbena;

void stream_queue::on_stream(const stream_ptr& stream, net::received_frame first)
{
    const wire::submit* submit = first.frame->message_as_submit();
    const std::lock_guard lock(m_mutex);
    m_streams.push_back({submit == nullptr ? 0 : submit->attempt(), stream});
    m_connections.push_back(stream->parent());
}

std::size_t stream_queue::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

void stream_queue::close()
{
    const error reason = make_error(error_kind::unavailable, "the test has ended");
    std::vector<std::shared_ptr<net::connection>> open;
    {
        const std::lock_guard lock(m_mutex);
        m_streams.clear();
        for (const auto& item : m_connections) {
            if (auto connection = item.lock()) {
                open.push_back(std::move(connection));
            }
        }
    }
    for (const auto& connection : open) {
        connection->close(reason);
    }
}

stream_queue::stream_ptr stream_queue::next()
{
    BOOST_TEST_REQUIRE(eventually([&] { return size() != 0; }));
    const std::lock_guard lock(m_mutex);
    stream_ptr stream = m_streams.front().stream;
    m_streams.pop_front();
    return stream;
}

stream_queue::stream_ptr stream_queue::with_attempt(std::uint32_t attempt)
{
    stream_ptr stream;
    const bool found = eventually([&] {
        const std::lock_guard lock(m_mutex);
        const auto position = std::find_if(m_streams.begin(), m_streams.end(),
                                           [&](const entry& item) { return item.attempt == attempt; });
        if (position == m_streams.end()) {
            return false;
        }
        stream = position->stream;
        m_streams.erase(position);
        return true;
    });
    BOOST_TEST_REQUIRE(found);
    return stream;
}

peers::peers()
{
    server_options.self = {wire::role::agent, "server", "cluster", 1};
    server_options.counters = &server_counters;
    client_options.self = {wire::role::entry, "client", "cluster", 2};
    client_options.counters = &client_counters;
}

peers::~peers()
{
    for (const auto& item : m_connections) {
        if (const auto connection = item.lock()) {
            connection->close(make_error(error_kind::unavailable, "the test has ended"));
        }
    }
    accepted.close();
    threads.stop();
}

void peers::start()
{
    const host_port any_port{"127.0.0.1", 0};
    server = net::frame_server::create(threads.io, any_port, server_options, accepted).value();
    server->start();
    pool = std::make_shared<net::peer_pool>(threads.io, client_options, nullptr);
}

host_port peers::address() const
{
    return {"127.0.0.1", server->port()};
}

std::uint64_t peers::server_events(const std::string& event) const
{
    return server_counters.value("verbena_connection_events_total", {{"event", event}});
}

std::uint64_t peers::client_events(const std::string& event) const
{
    return client_counters.value("verbena_connection_events_total", {{"event", event}});
}

stream_queue::stream_ptr peers::open(std::uint32_t attempt)
{
    return open(address(), attempt);
}

stream_queue::stream_ptr peers::open(const host_port& address, std::uint32_t attempt)
{
    auto stream = threads.run<stream_queue::stream_ptr>([&]() -> net::task<stream_queue::stream_ptr> {
        auto opened = co_await pool->open_stream(address, milliseconds(10'000));
        if (!opened) {
            co_return nullptr;
        }
        co_return opened.value();
    });
    BOOST_TEST_REQUIRE(stream != nullptr);
    m_connections.push_back(stream->parent());
    wire::submitT submit;
    submit.attempt = attempt;
    stream->send(net::make_frame(std::move(submit)));
    return stream;
}

net::tcp::socket peers::raw_socket()
{
    net::tcp::socket socket(threads.io);
    socket.connect({net::asio::ip::address_v4::loopback(), server->port()});
    return socket;
}
