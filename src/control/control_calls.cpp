#include "base/event_log.h"
#include "base/random.h"
#include "control/control_service.h"
#include "control/wall_clock.h"
#include "node/publication.h"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <array>
#include <span>
#include <xxhash.h>

namespace verbena::control {

namespace {

// Oldest confirmation with which the published document is returned: half of the time within which a change
// must take effect.
constexpr milliseconds max_published_age{1'000};

change_outcome to_outcome(const result<std::vector<std::uint8_t>>& committed)
{
    change_outcome outcome;
    const auto reply =
        committed ? parse_change_reply(committed.value()) : result<op::change_replyT>(committed.error());
    if (!reply) {
        outcome.state = reply.error().kind == error_kind::too_large ? change_outcome::kind::invalid
                                                                    : change_outcome::kind::unavailable;
        outcome.message = reply.error().message;
        outcome.remedy = reply.error().remedy;
        return outcome;
    }
    outcome.state = reply.value().result == op::change_result::accepted ? change_outcome::kind::accepted
                                                                        : change_outcome::kind::invalid;
    outcome.message = reply.value().message;
    outcome.remedy = reply.value().remedy;
    return outcome;
}

} // namespace

void control_service::log_call(const char* call, const std::string& subject, std::uint32_t status,
                               const std::string& detail)
{
    event_log::write(
        event::call_answeredT{{}, call, subject, status, detail, m_machine.config().current_revision()});
}

net::task<change_outcome> control_service::change(op::change_requestT request)
{
    using channel = net::asio::experimental::concurrent_channel<void(net::error_code, change_outcome)>;
    const std::string name = request.request_id;
    auto reply_channel = std::make_shared<channel>(co_await net::asio::this_coro::executor, 1);
    net::asio::post(m_raft->strand(),
                    [self = shared_from_this(), reply_channel, request = std::move(request)] {
                        const auto answer = [reply_channel](change_outcome outcome) {
                            reply_channel->try_send(net::error_code(), std::move(outcome));
                        };
                        if (!self->m_raft->is_leader()) {
                            change_outcome outcome;
                            outcome.leader = self->m_raft->leader_operator_address();
                            outcome.state = outcome.leader.empty() ? change_outcome::kind::unavailable
                                                                   : change_outcome::kind::not_leader;
                            outcome.message = "no leader is known";
                            outcome.remedy = "send the call again after a second";
                            answer(std::move(outcome));
                            return;
                        }
                        self->m_raft->propose(make_command(request, wall_now()),
                                              [answer](const result<std::vector<std::uint8_t>>& committed) {
                                                  answer(to_outcome(committed));
                                              });
                    });
    auto [failure, outcome] = co_await reply_channel->async_receive(net::no_throw);
    static constexpr std::array<std::uint32_t, 4> statuses{200, 400, 307, 503};
    log_call("change", name, statuses[static_cast<std::size_t>(outcome.state)], outcome.message);
    co_return std::move(outcome);
}

net::task<change_outcome> control_service::publish(std::uint64_t version, std::string content)
{
    const std::span<const char> text(content);
    op::change_requestT request;
    request.any_revision = true;
    // Derived from version and content, so that a resend has the same id and gets the first answer.
    request.request_id =
        "publish-" + std::to_string(version) + "-" + std::to_string(XXH3_64bits(text.data(), text.size()));
    request.publish = std::make_unique<op::publicationT>(node::pack_publication(version, content));
    co_return co_await change(std::move(request));
}

net::task<change_outcome> control_service::set_domain(std::string name, op::admin_state state)
{
    op::change_requestT request;
    request.any_revision = true;
    request.request_id = "domain-" + std::to_string(make_incarnation());
    request.put_failure_domain = std::make_unique<op::failure_domainT>();
    request.put_failure_domain->name = std::move(name);
    request.put_failure_domain->state = state;
    co_return co_await change(std::move(request));
}

published_document control_service::copy_published(time_point now) const
{
    published_document copy;
    const std::optional<milliseconds> age = confirmed_age(now);
    copy.current = age && *age <= max_published_age;
    const auto config = m_machine.config().current();
    if (copy.current && config->published) {
        result<std::string> content = node::unpack_publication(*config->published);
        if (content) {
            copy.version = config->published->version;
            copy.content = std::move(content.value());
        }
    }
    if (!m_raft->is_member()) {
        copy.leader = m_raft->leader_operator_address();
    }
    return copy;
}

net::task<published_document> control_service::read_published()
{
    using channel = net::asio::experimental::concurrent_channel<void(net::error_code, published_document)>;
    auto reply_channel = std::make_shared<channel>(co_await net::asio::this_coro::executor, 1);
    net::asio::post(m_raft->strand(), [self = shared_from_this(), reply_channel] {
        reply_channel->try_send(net::error_code(), self->copy_published(clock::now()));
    });
    auto [failure, copy] = co_await reply_channel->async_receive(net::no_throw);
    co_return std::move(copy);
}

// Passes the announcement on to the other members, for entries that cannot reach this one.
void control_service::forward_announcement(const std::string& endpoint)
{
    const wire::announcementT* known = m_directory.find(endpoint);
    if (known == nullptr) {
        return;
    }
    wire::pollT message;
    message.name = m_process.settings().name;
    message.role = wire::role::control;
    message.incarnation = m_process.self_incarnation();
    message.announce = std::make_unique<wire::announcementT>(*known);
    m_raft->broadcast(net::make_frame(std::move(message)));
}

// An endpoint relies on the entries learning of an acknowledged announcement. It is therefore accepted only
// while most entries poll this member or, when many entries are down, while at least one entry polls it and
// its state is confirmed by the group.
result<void> control_service::accept_announcement(const wire::announcementT& announcement, time_point now)
{
    const char* const call = announcement.gone ? "leave" : announcement.leaving ? "drain" : "check_in";
    const bool confirmed_and_polled = confirmed_age(now).has_value() && m_polls.any_entry_polls(now);
    if (!confirmed_and_polled && !m_polls.most_entries_poll(now)) {
        log_call("announce", announcement.endpoint, 503, "too few entries poll this member");
        return make_error(error_kind::unavailable, "too few entries poll this member",
                          "check in at another member");
    }
    const result<bool> stored = m_directory.check_in(announcement, now);
    const bool accepted = stored && stored.value();
    m_process.counters().add("verbena_control_announcements_total", {{"taken", accepted ? "true" : "false"}});
    if (!stored) {
        log_call(call, announcement.endpoint, 503, stored.error().message);
        return stored.error();
    }
    if (announcement.leaving || announcement.gone) {
        forward_announcement(announcement.endpoint);
        log_call(call, announcement.endpoint, 200,
                 accepted ? "acknowledged" : "superseded by a newer announcement");
    }
    return success();
}

change_outcome control_service::take_announcement(const wire::announcementT& announcement, time_point now)
{
    change_outcome outcome;
    if (m_raft->is_member()) {
        const result<void> accepted = accept_announcement(announcement, now);
        outcome.state = accepted ? change_outcome::kind::accepted : change_outcome::kind::unavailable;
        if (!accepted) {
            outcome.message = accepted.error().message;
            outcome.remedy = accepted.error().remedy;
        }
    } else {
        outcome.leader = m_raft->leader_operator_address();
        outcome.state =
            outcome.leader.empty() ? change_outcome::kind::unavailable : change_outcome::kind::not_leader;
        outcome.message = "this process is not a member of the group";
        outcome.remedy = "check in at another member";
    }
    return outcome;
}

net::task<change_outcome> control_service::announce(wire::announcementT announcement)
{
    using channel = net::asio::experimental::concurrent_channel<void(net::error_code, change_outcome)>;
    auto reply_channel = std::make_shared<channel>(co_await net::asio::this_coro::executor, 1);
    net::asio::post(
        m_raft->strand(), [self = shared_from_this(), reply_channel, value = std::move(announcement)] {
            reply_channel->try_send(net::error_code(), self->take_announcement(value, clock::now()));
        });
    auto [failure, outcome] = co_await reply_channel->async_receive(net::no_throw);
    co_return std::move(outcome);
}

} // namespace verbena::control
