#include "forward/scheduler_service.h"

#include "forward/placement_messages.h"

namespace verbena::forward {

namespace {

// Interval of the replies that tell a waiting entry that this one is still there.
constexpr milliseconds waiting_reply_interval{200};

void send_state(const std::shared_ptr<net::frame_stream>& stream, wire::placement_state state)
{
    wire::placement_replyT reply;
    reply.state = state;
    stream->send(net::make_frame(std::move(reply)));
}

// Observes a request that waits for another entry.
class remote_wait : public wait_observer {
public:
    explicit remote_wait(std::shared_ptr<net::frame_stream> stream) : m_stream(std::move(stream)) {}

    bool ended() const override { return !m_stream->is_open(); }

    void waiting(time_point now) override
    {
        if (now - m_replied >= waiting_reply_interval) {
            m_replied = now;
            send_state(m_stream, wire::placement_state::waiting);
        }
    }

private:
    std::shared_ptr<net::frame_stream> m_stream;
    time_point m_replied{};
};

} // namespace

scheduler_service::scheduler_service(fleet& endpoints, rules_source rules)
    : m_fleet(endpoints), m_rules(std::move(rules))
{
}

net::task<void> scheduler_service::on_request(std::shared_ptr<net::frame_stream> stream,
                                              net::received_frame message, std::string from)
{
    const net::stream_guard guard(stream);
    const wire::placement_request* ask = message.frame->message_as_placement_request();
    const std::shared_ptr<const route::table> rules = m_rules();
    const route::service_rule* service =
        rules && ask->service() != nullptr ? rules->find_service(ask->service()->str()) : nullptr;
    if (service == nullptr || !stream->is_open()) {
        send_state(stream, wire::placement_state::unavailable);
        co_return;
    }
    dispatch_request request = to_request(*ask, *service);
    request.failure_domain = std::move(from);
    const policy::work_key key = *request.key;
    auto observer = std::make_shared<remote_wait>(stream);
    const dispatch_result found = co_await dispatch_with_wait(
        m_fleet, std::move(request), milliseconds(ask->may_wait_ms()), std::move(observer));
    if (!stream->is_open()) {
        co_return;
    }
    stream->send(net::make_frame(to_message(found, m_fleet.notes_of(key))));
}

void scheduler_service::on_backlog_query(const std::shared_ptr<net::frame_stream>& stream,
                                         const wire::backlog_query& query)
{
    const net::stream_guard guard(stream);
    const std::string endpoint = query.endpoint() == nullptr ? std::string() : query.endpoint()->str();
    wire::backlog_replyT reply;
    reply.backlog_ms = static_cast<std::uint32_t>(m_fleet.backlog(endpoint, clock::now()).count());
    stream->send(net::make_frame(std::move(reply)));
}

} // namespace verbena::forward
