#include "control/bootstrap.h"

#include "net/peer_pool.h"
#include "node/control_client.h"

namespace verbena::control {

namespace {

// Revision applied by the member at `peer`; 0 when it does not answer or has no configuration.
net::task<revision> applied_revision(std::shared_ptr<net::peer_pool> pool, host_port peer,
                                     milliseconds timeout)
{
    auto opened = co_await pool->open_stream(std::move(peer), timeout);
    if (!opened) {
        co_return 0;
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    const net::stream_guard guard(stream);
    stream->send(net::make_frame(wire::freshness_queryT{}));
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    node::close_after(timer, stream, timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    const wire::freshness_reply* reply =
        answer ? answer.value().frame->message_as_freshness_reply() : nullptr;
    co_return reply == nullptr ? 0 : reply->applied_revision();
}

} // namespace

result<void> check_new_group(const std::vector<host_port>& peers, const net::peer_info& self,
                             milliseconds timeout)
{
    net::asio::io_context io;
    net::connection_options options;
    options.self = self;
    auto pool = std::make_shared<net::peer_pool>(io, options, nullptr);
    result<void> outcome = success();
    std::size_t pending = peers.size();
    for (const host_port& peer : peers) {
        net::asio::co_spawn(
            io,
            [&outcome, &pending, &io, pool, peer, timeout]() -> net::task<void> {
                const revision applied = co_await applied_revision(pool, peer, timeout);
                if (applied != 0) {
                    outcome = make_error(
                        error_kind::conflict,
                        "the group already exists: " + peer.host + ":" + std::to_string(peer.port) +
                            " has revision " + std::to_string(applied),
                        "start without --init, then remove this member and add it under a new member id");
                }
                if (--pending == 0) {
                    io.stop();
                }
            },
            net::asio::detached);
    }
    if (!peers.empty()) {
        io.run_for(timeout * 2);
    }
    for (const auto& connection : pool->open_connections()) {
        connection->close(make_error(error_kind::unavailable, "the bootstrap check has ended"));
    }
    io.restart();
    io.run_for(milliseconds(50));
    return outcome;
}

} // namespace verbena::control
