#include "node/freshness.h"

#include "node/control_client.h"

namespace verbena::node {

namespace {

constexpr milliseconds answer_timeout{1'000};

} // namespace

void reply_freshness(const std::shared_ptr<net::frame_stream>& stream, const wire::freshness_query& query,
                     const config_view& config)
{
    wire::freshness_replyT reply;
    const time_point now = clock::now();
    const std::optional<milliseconds> age = config.age(now);
    reply.nonce = query.nonce();
    reply.confirmed = age.has_value() && *age < freshness_bound;
    if (reply.confirmed) {
        reply.age_ms = static_cast<std::uint32_t>(age->count());
        reply.revision = config.held_revision();
        if (query.revision() < reply.revision) {
            reply.config = *config.serialized();
        }
    }
    stream->send(net::make_frame(std::move(reply)));
    stream->close(make_error(error_kind::unavailable, "the freshness query was answered"));
}

net::task<void> query_freshness(std::shared_ptr<net::connection> peer, config_view& config)
{
    const auto opened = peer->open_stream();
    if (!opened) {
        co_return;
    }
    const std::shared_ptr<net::frame_stream>& stream = opened.value();
    const time_point sent_at = clock::now();
    wire::freshness_queryT query;
    query.revision = config.held_revision();
    stream->send(net::make_frame(std::move(query)));
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    close_after(timer, stream, answer_timeout);
    const result<net::received_frame> received = co_await stream->receive();
    timer.cancel();
    stream->close(make_error(error_kind::unavailable, "the freshness query has ended"));
    if (!received) {
        co_return;
    }
    const wire::freshness_reply* reply = received.value().frame->message_as_freshness_reply();
    if (reply == nullptr || !reply->confirmed()) {
        co_return;
    }
    if (reply->config() != nullptr) {
        config.update({reply->config()->data(), reply->config()->size()});
    }
    config.confirm(reply->revision(), sent_at - milliseconds(reply->age_ms()));
}

} // namespace verbena::node
