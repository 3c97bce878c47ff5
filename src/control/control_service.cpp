#include "control/control_service.h"

#include "base/event_log.h"
#include "base/log.h"
#include "base/version.h"
#include "control/wall_clock.h"
#include "node/control_client.h"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <algorithm>
#include <limits>

namespace verbena::control {

namespace {

// Interval between a follower's freshness queries to the leader. The age that the follower reports exceeds
// the leader's by at most about this interval.
constexpr milliseconds leader_query_interval{200};
constexpr milliseconds leader_query_timeout{500};

// Interval at which a leader names itself to processes that are not members.
constexpr milliseconds leadership_notice_interval{500};

// Longest wait for open calls during shutdown. A call can take longer without a quorum or with a slow client;
// the caller of a change then has to read the outcome, as after a change of leader. Together with the
// transfer it ends before the default grace period of 8 s.
constexpr milliseconds open_calls_timeout{3'000};

// Longest wait for the refusals of calls that arrive after that.
constexpr milliseconds last_answers_time{150};

// Longest wait for calls of duties during shutdown. A call that ends later cannot do harm: the next holder
// has a higher token.
constexpr milliseconds open_duty_calls_timeout{300};

constexpr milliseconds expiry_interval{250};

// Longest wait for a leadership transfer before shutdown.
constexpr milliseconds leadership_transfer_timeout{3'000};

constexpr std::string_view call_prefix = "/operator/v1/";

// A pair of readings of both clocks further apart is not used: the process was preempted between them.
constexpr milliseconds max_reading_time{1};

void observe_clock(usage_collector& collector)
{
    const time_point before = clock::now();
    const wall_time wall = wall_now();
    if (clock::now() - before < max_reading_time) {
        collector.observe_clock(wall, before);
    }
}

} // namespace

result<std::shared_ptr<control_service>>
control_service::create(node::process& process, const settings::control_settingsT& settings, bool initialise,
                        std::shared_ptr<external_call_handler> external_handler, duty_adapter duties)
{
    if (settings.member_id == 0 && initialise) {
        return make_error(error_kind::invalid_settings, "--init needs [control] member_id",
                          "set it to a number from 1, or set bootstrap in place of --init");
    }
    auto service =
        std::make_shared<control_service>(process, settings, std::move(external_handler), std::move(duties));
    BOOST_OUTCOME_TRY(service->open(initialise));
    return service;
}

control_service::control_service(node::process& process, const settings::control_settingsT& settings,
                                 std::shared_ptr<external_call_handler> external_handler, duty_adapter duties)
    : m_process(process), m_settings(settings), m_directory(process.self_incarnation()),
      m_external_handler(std::move(external_handler)), m_duty_adapter(std::move(duties))
{
}

result<void> control_service::open(bool initialise)
{
    BOOST_OUTCOME_TRY(const host_port frames, parse_host_port(m_settings.listen));
    BOOST_OUTCOME_TRY(const host_port calls, parse_host_port(m_settings.operator_listen));
    net::connection_options connections;
    connections.self = net::peer_info{wire::role::control, m_process.settings().name,
                                      m_process.settings().cluster, m_process.self_incarnation()};
    connections.counters = &m_process.counters();
    // Elections take 0.5 to 1 s, so a silent connection between members is closed sooner than other
    // connections.
    net::connection_options member_connections = connections;
    member_connections.ping_after = milliseconds(300);
    member_connections.silent_after = milliseconds(1'000);
    m_pool = std::make_shared<net::peer_pool>(m_process.io(), member_connections, nullptr);
    raft_host::options options;
    options.cluster = m_process.settings().cluster;
    options.member_id = m_settings.member_id;
    options.data_folder = m_settings.data;
    options.peers = m_settings.peers;
    options.initialise = initialise;
    options.address = frames;
    options.form_group = m_settings.bootstrap == "true";
    options.tolerated_losses = m_settings.tolerated_losses;
    BOOST_OUTCOME_TRY(options.initial_members, node::control_members(m_process.settings()));
    BOOST_OUTCOME_TRY(
        m_raft, raft_host::create(m_process.io(), options, m_machine, m_pool, [this](const error& cause) {
            log::failure("stopping after a Raft member fault: " + describe(cause));
            m_process.stop(1);
        }));
    open_duties();
    m_operator = std::make_unique<operator_service>(*m_raft, m_machine, m_directory, m_polls);
    BOOST_OUTCOME_TRY(m_frames, net::frame_server::create(m_process.io(), frames, connections, *this));
    net::http_limits limits;
    limits.max_body = max_operator_body;
    limits.max_connections = 256;
    BOOST_OUTCOME_TRY(m_http, net::http_server::create(m_process.io(), calls, limits, *this,
                                                       m_process.counters(), std::string("operators")));
    return success();
}

void control_service::open_duties()
{
    if (!m_duty_adapter.target || m_settings.duties.empty()) {
        return;
    }
    const std::vector<std::string> duties = split_list(m_settings.duties);
    duty_inputs inputs;
    if (std::find(duties.begin(), duties.end(), "metering") != duties.end()) {
        m_usage.emplace(
            usage_options{milliseconds(m_settings.usage_window), milliseconds(m_settings.usage_late)});
        m_process.counters().gauge("verbena_usage_unreported_seconds", {}, [this] {
            const std::uint64_t end = m_usage_unreported_ms;
            const auto now = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
            return end == 0 || end > now ? 0 : static_cast<double>(now - end) / 1'000;
        });
        inputs.usage = &*m_usage;
        inputs.on_usage_step = [this](const event::usage_windowT& line) { report_usage_step(line); };
    }
    if (std::find(duties.begin(), duties.end(), "autoscale") != duties.end()) {
        m_demand.emplace();
        inputs.demand = &*m_demand;
        inputs.documents = m_duty_adapter.documents;
    }
    duty_service::options options;
    options.tasks = make_duty_tasks(m_settings, inputs);
    options.limits = {milliseconds(m_settings.duty_lease), milliseconds(m_settings.duty_thaw)};
    options.holder = m_settings.duty_holder.empty() ? m_process.settings().name : m_settings.duty_holder;
    options.incarnation = m_process.self_incarnation();
    constexpr double thousandths = 1'000;
    options.calls_per_s = m_settings.duty_rate / thousandths;
    options.target = m_duty_adapter.target;
    m_duties = std::make_shared<duty_service>(m_raft, m_machine, m_process.counters(), std::move(options));
}

void control_service::start()
{
    auto self = shared_from_this();
    m_raft->start();
    m_frames->start();
    m_http->start();
    net::asio::co_spawn(
        m_raft->strand(), [self] { return self->poll_leader(); }, net::asio::detached);
    net::asio::co_spawn(
        m_raft->strand(), [self] { return self->announce_leadership(); }, net::asio::detached);
    net::asio::co_spawn(
        m_raft->strand(), [self] { return self->expire_directory(); }, net::asio::detached);
    if (m_duties) {
        net::asio::co_spawn(
            m_raft->strand(), [duties = m_duties] { return duties->run(); }, net::asio::detached);
    }
    m_process.set_ready(true);
}

void control_service::stop()
{
    net::asio::co_spawn(
        m_raft->strand(), [self = shared_from_this()] { return self->shut_down(); }, net::asio::detached);
}

net::task<void> control_service::shut_down()
{
    const time_point begin = clock::now();
    log_shutdown("begun", begin);
    if (m_duties) {
        co_await m_duties->stop(open_duty_calls_timeout);
    }
    if (m_raft->is_leader()) {
        m_raft->transfer_leadership();
        const time_point deadline = clock::now() + leadership_transfer_timeout;
        while (m_raft->is_leader() && clock::now() < deadline) {
            co_await net::sleep_for(milliseconds(20));
        }
    }
    m_http->stop_accepting();
    log_shutdown("listener_closed", begin);
    const bool drained = co_await m_http->close_when_idle(clock::now() + open_calls_timeout);
    log_shutdown(drained ? "drained" : "grace_over", begin);
    m_frames->stop_accepting();
    // Refusals of calls that arrived meanwhile.
    co_await m_http->wait_idle(clock::now() + last_answers_time);
    co_await net::sleep_for(milliseconds(20));
    log_shutdown("closed", begin);
    event_log::write(
        event::process_stateT{{}, "control", m_process.settings().name, "stopped", version(), ""});
    m_process.stop();
}

void control_service::log_shutdown(const char* step, time_point begin) const
{
    const auto since_begin = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
    event_log::write(event::shutdown_stepT{{},
                                           "control",
                                           step,
                                           static_cast<std::uint32_t>(m_http->active_requests()),
                                           static_cast<std::uint32_t>(m_http->connections()),
                                           static_cast<std::uint32_t>(m_http->late_requests()),
                                           static_cast<std::uint32_t>(since_begin.count())});
}

std::optional<milliseconds> control_service::confirmed_age(time_point now) const
{
    if (m_raft->is_leader()) {
        return m_raft->confirm_age(now);
    }
    // The leader's confirmation holds for this member only if its applied state includes the confirmed
    // revision.
    if (m_machine.config().current_revision() < m_leader_view.held_revision()) {
        return std::nullopt;
    }
    return m_leader_view.age(now);
}

member_view control_service::make_view(time_point now) const
{
    member_view self;
    self.failure_domain = m_process.settings().failure_domain;
    self.confirmed_age = confirmed_age(now);
    self.is_leader = m_raft->is_leader();
    self.leader = m_raft->leader_address();
    self.members = m_raft->member_addresses();
    return self;
}

net::task<void> control_service::expire_directory()
{
    while (true) {
        m_directory.expire(clock::now());
        co_await net::sleep_for(expiry_interval);
    }
}

net::task<void> control_service::poll_leader()
{
    while (true) {
        if (!m_raft->is_leader()) {
            const std::optional<host_port> target = m_raft->leader_query_target();
            if (target) {
                co_await query_leader(*target);
            }
        }
        co_await net::sleep_for(leader_query_interval);
    }
}

net::task<void> control_service::announce_leadership()
{
    while (true) {
        for (const host_port& address : m_raft->outsiders()) {
            auto opened = co_await m_pool->open_stream(address, leader_query_timeout);
            if (opened) {
                const net::stream_guard guard(opened.value());
                wire::freshness_queryT notice;
                notice.revision = m_machine.config().current_revision();
                notice.leader = m_raft->leader_address();
                opened.value()->send(net::make_frame(std::move(notice)));
                // The reply is not needed; receiving it keeps the stream open until the notice has arrived.
                net::steady_timer timer(m_raft->strand());
                node::close_after(timer, opened.value(), leader_query_timeout);
                (void)co_await opened.value()->receive();
            }
        }
        co_await net::sleep_for(leadership_notice_interval);
    }
}

net::task<void> control_service::query_leader(host_port target)
{
    const std::string name = target.host + ":" + std::to_string(target.port);
    auto opened = co_await m_pool->open_stream(std::move(target), leader_query_timeout);
    if (!opened) {
        m_raft->forget_reported_leader(name);
        co_return;
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    const net::stream_guard guard(stream);
    const time_point sent_at = clock::now();
    wire::freshness_queryT query;
    // A process that is not a member serves no reads, so it does not ask for the configuration.
    query.revision =
        m_raft->is_member() ? m_leader_view.held_revision() : std::numeric_limits<std::uint64_t>::max();
    stream->send(net::make_frame(std::move(query)));
    net::steady_timer timer(m_raft->strand());
    node::close_after(timer, stream, leader_query_timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    const wire::freshness_reply* reply =
        answer ? answer.value().frame->message_as_freshness_reply() : nullptr;
    const std::string named =
        reply != nullptr && reply->leader() != nullptr ? reply->leader()->str() : std::string();
    std::vector<std::string> members;
    if (reply != nullptr && reply->members() != nullptr) {
        for (const auto* address : *reply->members()) {
            members.push_back(address->str());
        }
    }
    if (named.empty()) {
        m_raft->forget_reported_leader(name);
    }
    m_raft->set_reported_group(named, std::move(members));
    if (reply == nullptr || !reply->confirmed()) {
        co_return;
    }
    // Members of an earlier version name no leader; a member queries only the leader that it follows.
    const bool from_leader = named == name || (named.empty() && m_raft->is_member());
    if (reply->operator_address() != nullptr && from_leader) {
        m_raft->set_leader_operator_address(reply->operator_address()->str(), name);
    }
    if (!m_raft->is_member()) {
        co_return;
    }
    if (reply->config() != nullptr) {
        m_leader_view.update({reply->config()->data(), reply->config()->size()});
    }
    m_leader_view.confirm(reply->revision(), sent_at - milliseconds(reply->age_ms()));
}

void control_service::on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first)
{
    net::asio::co_spawn(
        m_raft->strand(),
        [self = shared_from_this(), stream, message = std::move(first)]() mutable {
            return self->serve_stream(stream, std::move(message));
        },
        net::asio::detached);
}

net::task<void> control_service::serve_stream(std::shared_ptr<net::frame_stream> stream,
                                              net::received_frame first)
{
    const net::stream_guard guard(stream);
    dispatch_message(stream, *first.frame);
    while (true) {
        const result<net::received_frame> next = co_await stream->receive();
        if (!next) {
            co_return;
        }
        dispatch_message(stream, *next.value().frame);
    }
}

void control_service::dispatch_message(const std::shared_ptr<net::frame_stream>& stream,
                                       const wire::frame& frame)
{
    if (const wire::raft_message* message = frame.message_as_raft_message()) {
        m_raft->step(*message, stream);
    } else if (const wire::poll* poll = frame.message_as_poll()) {
        handle_poll(stream, *poll);
    } else if (const wire::freshness_query* query = frame.message_as_freshness_query()) {
        handle_freshness_query(stream, *query);
    } else if (const wire::join_request* join = frame.message_as_join_request()) {
        stream->send(net::make_frame(m_raft->join(*join)));
    } else if (const wire::folder_query* folder = frame.message_as_folder_query()) {
        stream->send(net::make_frame(m_raft->answer(*folder)));
    } else if (const wire::key_bind* bind = frame.message_as_key_bind()) {
        wire::key_bindT request;
        bind->UnPackTo(&request);
        propose_key(stream, make_command(request, wall_now()));
    } else if (const wire::key_finish* finish = frame.message_as_key_finish()) {
        wire::key_finishT request;
        finish->UnPackTo(&request);
        propose_key(stream, make_command(request, wall_now()));
    }
}

void control_service::handle_poll(const std::shared_ptr<net::frame_stream>& stream, const wire::poll& poll)
{
    wire::pollT request;
    poll.UnPackTo(&request);
    const time_point now = clock::now();
    const member_view self = make_view(now);
    wire::poll_replyT reply = m_polls.handle(request, self, m_machine.config(), m_directory, now);
    if (m_usage) {
        handle_usage(request, self.is_leader, now, reply);
    }
    if (m_demand) {
        m_demand->answer(request, self.is_leader, now, reply);
    }
    stream->send(net::make_frame(std::move(reply)));
    m_process.counters().add("verbena_control_polls_total", {});
}

void control_service::handle_usage(const wire::pollT& poll, bool leads, time_point now,
                                   wire::poll_replyT& reply)
{
    observe_clock(*m_usage);
    m_usage->answer(poll, leads, now, reply);
    const std::uint64_t finished = m_machine.usage().last_finished();
    m_usage_unreported_ms = leads && finished != 0 ? (finished + 2) * m_settings.usage_window : 0;
}

void control_service::report_usage_step(const event::usage_windowT& line)
{
    event_log::write(line);
    m_process.counters().add("verbena_usage_windows_total", {{"outcome", line.outcome}});
}

void control_service::handle_freshness_query(const std::shared_ptr<net::frame_stream>& stream,
                                             const wire::freshness_query& query)
{
    if (query.leader() != nullptr) {
        m_raft->set_reported_group(query.leader()->str(), {});
    }
    const freshness found = make_freshness(confirmed_age(clock::now()), m_machine.config(), query.revision());
    wire::freshness_replyT reply;
    reply.nonce = query.nonce();
    reply.confirmed = found.confirmed;
    reply.age_ms = static_cast<std::uint32_t>(found.age.count());
    reply.revision = found.number;
    reply.config = found.config;
    reply.operator_address = m_settings.operator_listen;
    reply.applied_revision = m_machine.config().current_revision();
    reply.leader = m_raft->leader_address();
    reply.members = m_raft->member_addresses();
    stream->send(net::make_frame(std::move(reply)));
}

void control_service::propose_key(const std::shared_ptr<net::frame_stream>& stream,
                                  std::vector<std::uint8_t> command)
{
    const std::string leader = m_raft->leader_address();
    m_raft->propose(std::move(command), [stream, leader](result<std::vector<std::uint8_t>> outcome) {
        wire::key_replyT reply;
        reply.state = wire::key_state::unavailable;
        if (outcome) {
            const result<wire::key_replyT> parsed = parse_key_reply(outcome.value());
            if (parsed) {
                reply = parsed.value();
            }
        } else {
            // Also used when leadership changed and the outcome is unknown: the call is idempotent, so the
            // entry repeats it at the new leader.
            reply.state = wire::key_state::not_leader;
            reply.leader = leader;
        }
        stream->send(net::make_frame(std::move(reply)));
    });
}

net::task<operator_reply> control_service::run_call(std::string call, std::string body)
{
    using channel = net::asio::experimental::concurrent_channel<void(net::error_code, operator_reply)>;
    auto reply_channel = std::make_shared<channel>(co_await net::asio::this_coro::executor, 1);
    net::asio::post(m_raft->strand(), [self = shared_from_this(), reply_channel, call, body] {
        self->m_operator->handle(call, body, wall_now(), clock::now(), [reply_channel](operator_reply reply) {
            reply_channel->try_send(net::error_code(), std::move(reply));
        });
    });
    auto [failure, reply] = co_await reply_channel->async_receive(net::no_throw);
    co_return std::move(reply);
}

void control_service::reload(const settings_root& root)
{
    const result<std::vector<host_port>> members = node::control_members(*root.node);
    if (!members) {
        log::warn("control members not reloaded: " + describe(members.error()));
        return;
    }
    net::asio::post(m_raft->strand(), [self = shared_from_this(), value = members.value()] {
        self->m_raft->set_initial_members(value);
    });
}

net::task<void> control_service::handle(net::http_exchange& exchange)
{
    net::http_response response;
    const std::string& target = exchange.request().target;
    if (target == "/metrics") {
        response.content_type = "text/plain; version=0.0.4";
        response.body = m_process.counters().render();
    } else if (m_external_handler && !target.starts_with(call_prefix)) {
        response = co_await m_external_handler->handle(exchange.request(), *this);
    } else if (exchange.request().method != "POST" || !target.starts_with(call_prefix)) {
        response = refuse(404, "not_found", "there is no such call",
                          "POST /operator/v1/<call>, see docs/operators.md");
    } else {
        operator_reply reply =
            co_await run_call(target.substr(call_prefix.size()), std::move(exchange.request().body));
        response.status = static_cast<unsigned>(reply.status);
        response.body = std::move(reply.body);
        if (!reply.location.empty()) {
            response.headers.emplace_back("Location", reply.location);
        }
    }
    const result<void> sent = co_await exchange.reply(std::move(response));
    if (!sent) {
        m_process.counters().add("verbena_control_reply_failures_total", {});
    }
}

} // namespace verbena::control
