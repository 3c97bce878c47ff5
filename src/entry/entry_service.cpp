#include "entry/entry_service.h"

#include "base/log.h"
#include "node/freshness.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace verbena::entry {

namespace {

constexpr milliseconds refresh_interval{100};
constexpr milliseconds drain_poll_interval{20};
constexpr std::size_t max_buffered_answer = 16ULL * 1024 * 1024;

net::http_limits to_limits(const settings::entry_settingsT& settings)
{
    net::http_limits limits;
    limits.max_header = settings.max_header;
    limits.max_body = settings.max_body;
    limits.header_timeout = milliseconds(settings.header_timeout);
    limits.body_timeout = milliseconds(settings.body_timeout);
    limits.min_body_rate = settings.min_body_rate;
    limits.write_timeout = milliseconds(settings.reader_timeout);
    limits.max_connections = settings.max_connections;
    return limits;
}

caller_error stale_configuration_error()
{
    return caller_error{503,
                        "not_ready",
                        "this entry has no recently confirmed configuration",
                        "retry on another entry",
                        attempt_outcome::not_run,
                        milliseconds(1'000)};
}

} // namespace

result<std::shared_ptr<entry_service>> entry_service::create(node::process& process,
                                                             const settings::entry_settingsT& settings)
{
    auto service = std::make_shared<entry_service>(process, settings);
    BOOST_OUTCOME_TRY(service->open());
    return service;
}

entry_service::entry_service(node::process& process, const settings::entry_settingsT& settings)
    : m_process(process), m_settings(settings),
      m_selector(process.settings().failure_domain,
                 policy::buffer_caps{settings.stream_buffer, settings.team_buffer, settings.total_buffer},
                 settings.retry_percent / 100.0),
      m_directory([this](const std::string& name, const wire::announcementT* value) {
          m_selector.on_endpoint(name, value);
      })
{
}

result<void> entry_service::open()
{
    BOOST_OUTCOME_TRY(const host_port address, parse_host_port(m_settings.listen));
    BOOST_OUTCOME_TRY(const std::vector<host_port> members, node::control_members(m_process.settings()));
    metrics& counters = m_process.counters();
    net::connection_options connections;
    connections.self = net::peer_info{wire::role::entry, m_process.settings().name,
                                      m_process.settings().cluster, m_process.self_incarnation()};
    connections.counters = &counters;
    m_pool = std::make_shared<net::peer_pool>(m_process.io(), connections, this);
    node::control_client::options options;
    options.members = members;
    options.self = connections.self;
    m_control = std::make_shared<node::control_client>(m_process.io(), std::move(options), m_pool, m_config,
                                                       &m_directory, nullptr, counters);
    attempt_client::options attempt_options;
    attempt_options.self = m_process.self_incarnation();
    m_attempts = std::make_unique<attempt_client>(m_pool, attempt_options, m_selector, m_config, counters);
    m_dispatcher = std::make_unique<dispatcher>(*m_attempts, m_selector, counters);
    m_keys = std::make_unique<key_dispatcher>(*m_attempts, m_selector, *m_control, m_pool, counters);
    BOOST_OUTCOME_TRY(m_server, net::http_server::create(m_process.io(), address, to_limits(m_settings),
                                                         *this, counters, std::string("callers")));
    return success();
}

void entry_service::start()
{
    m_control->start();
    m_server->start();
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->refresh(); },
        net::asio::detached);
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->query_peers(); },
        net::asio::detached);
    metrics& counters = m_process.counters();
    counters.gauge("verbena_entry_active_requests", {}, [self = shared_from_this()] {
        return static_cast<double>(self->m_server->active_requests());
    });
    counters.gauge("verbena_entry_endpoints", {},
                   [self = shared_from_this()] { return static_cast<double>(self->m_selector.endpoints()); });
    counters.gauge("verbena_entry_reserved_buffer_bytes", {}, [self = shared_from_this()] {
        return static_cast<double>(self->m_selector.reserved_buffer());
    });
    counters.gauge("verbena_config_revision", {}, [self = shared_from_this()] {
        return static_cast<double>(self->m_config.held_revision());
    });
}

bool entry_service::can_serve(time_point now) const
{
    return m_config.is_fresh(now) && m_directory.loaded();
}

net::task<void> entry_service::refresh()
{
    bool ready = false;
    while (!m_stopping) {
        const time_point now = clock::now();
        m_selector.apply(m_config.current(), now);
        const bool can_serve_now = can_serve(now);
        if (can_serve_now != ready) {
            ready = can_serve_now;
            log::info(can_serve_now
                          ? "ready: configuration confirmed, endpoint directory loaded"
                          : "not ready: configuration not confirmed or endpoint directory not loaded");
        }
        m_process.set_ready(can_serve_now && !m_stopping);
        co_await net::sleep_for(refresh_interval);
    }
    m_process.set_ready(false);
}

net::task<void> entry_service::query_peers()
{
    while (!m_stopping) {
        co_await net::sleep_for(refresh_interval * 3);
        const std::optional<milliseconds> age = m_config.age(clock::now());
        if (age && *age < node::peer_query_age) {
            continue;
        }
        std::vector<std::shared_ptr<net::connection>> peers = m_pool->open_connections();
        // Rotates the peers, so that a peer with an old confirmation does not keep the others from being
        // queried.
        std::rotate(peers.begin(),
                    peers.begin() +
                        static_cast<std::ptrdiff_t>(peers.empty() ? 0 : m_next_peer++ % peers.size()),
                    peers.end());
        for (std::size_t i = 0; i < std::min(peers.size(), node::max_queried_peers); ++i) {
            net::asio::co_spawn(
                net::asio::make_strand(m_process.io()),
                [self = shared_from_this(), peer = peers[i]] {
                    return node::query_freshness(peer, self->m_config);
                },
                net::asio::detached);
        }
    }
}

void entry_service::stop()
{
    m_stopping = true;
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->drain(); },
        net::asio::detached);
}

net::task<void> entry_service::drain()
{
    co_await net::sleep_for(milliseconds(m_process.settings().stop_delay));
    m_server->stop_accepting();
    const time_point end = clock::now() + max_deadline;
    const bool drained = co_await m_server->close_when_idle(end);
    if (!drained) {
        log::warn("shutdown: requests are cut after the longest deadline");
    }
    co_await m_server->wait_idle(clock::now() + drain_poll_interval * 5);
    // Allows the last acknowledgements to agents to be written.
    co_await net::sleep_for(drain_poll_interval * 5);
    log::info("shutdown complete: " + std::to_string(m_server->active_requests()) + " requests in progress");
    m_process.stop();
}

void entry_service::on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first)
{
    if (const wire::freshness_query* query = first.frame->message_as_freshness_query()) {
        node::reply_freshness(stream, *query, m_config);
        return;
    }
    stream->close(make_error(error_kind::invalid_frame, "unexpected first message"));
}

net::http_response entry_service::refuse(unsigned status, const std::string& kind, const std::string& message,
                                         const std::string& remedy)
{
    return to_response(caller_error{status, kind, message, remedy, attempt_outcome::unknown});
}

net::task<void> entry_service::refuse_early(net::http_exchange& exchange, caller_error failure,
                                            const std::string& team)
{
    if (!exchange.request().header("Idempotency-Key").empty()) {
        // The key's record has not been read, so an earlier call with this key may have run.
        failure.outcome = attempt_outcome::unknown;
        failure.remedy +=
            "; an earlier call with this key may have run: use the same key when you resend the request";
    }
    co_await reply_error(exchange, failure, team);
}

net::task<void> entry_service::reply_error(net::http_exchange& exchange, const caller_error& failure,
                                           const std::string& team)
{
    m_process.counters().add("verbena_entry_refusals_total", {{"team", team}, {"type", failure.type}});
    const result<void> sent = co_await exchange.reply(to_response(failure));
    if (!sent) {
        m_process.counters().add("verbena_entry_reply_failures_total", {});
    }
}

net::task<void> entry_service::serve_models(net::http_exchange& exchange, const node::config_snapshot& config)
{
    boost::json::array models;
    for (const auto& service : config.document().services) {
        for (const std::string& model : service->models) {
            models.push_back(
                boost::json::object{{"id", model}, {"object", "model"}, {"owned_by", service->name}});
        }
    }
    net::http_response response;
    response.body = boost::json::serialize(boost::json::object{{"object", "list"}, {"data", models}}) + "\n";
    (void)co_await exchange.reply(std::move(response));
}

net::task<void> entry_service::handle(net::http_exchange& exchange)
{
    if (exchange.request().target == "/ready") {
        net::http_response response;
        const bool ready = can_serve(clock::now()) && !m_stopping;
        response.status = ready ? 200 : 503;
        response.content_type = "text/plain";
        response.body = ready ? "ready\n" : "not ready\n";
        (void)co_await exchange.reply(std::move(response));
        co_return;
    }
    co_await serve(exchange);
}

std::optional<caller_error> entry_service::check_size(const caller_request& request) const
{
    const std::uint64_t capacity = m_selector.largest_capacity(request.service);
    const std::uint64_t tokens = std::uint64_t{request.prompt_tokens} + request.max_tokens;
    if (request.plain || capacity == 0 || tokens <= capacity) {
        return std::nullopt;
    }
    return caller_error{413, "prompt_too_large",
                        "prompt too large: about " + std::to_string(request.prompt_tokens) +
                            " tokens; the largest endpoint can hold " + std::to_string(capacity) +
                            " tokens of prompt and response",
                        "send a shorter prompt or a lower max_tokens"};
}

net::task<void> entry_service::serve(net::http_exchange& exchange)
{
    const time_point now = clock::now();
    const std::shared_ptr<const node::config_snapshot> config = m_config.current();
    if (!config || !m_config.is_fresh(now)) {
        co_await refuse_early(exchange, stale_configuration_error(), "");
        co_return;
    }
    if (exchange.request().target == "/v1/models") {
        co_await serve_models(exchange, *config);
        co_return;
    }
    parse_options options;
    options.default_deadline = milliseconds(m_settings.default_deadline);
    parse_result parsed =
        parse_caller_request(exchange.request(), *config, options, m_selector.next_request_id(), now);
    if (!parsed) {
        co_await refuse_early(exchange, parsed.error(), "");
        co_return;
    }
    const caller_request request = std::move(parsed.value());
    std::optional<caller_error> refused = check_size(request);
    if (!refused) {
        refused = m_selector.admit(request, now);
    }
    if (refused) {
        co_await refuse_early(exchange, *refused, request.team);
        co_return;
    }
    auto cancellation = std::make_shared<request_cancellation>();
    auto ended = std::make_shared<bool>(false);
    const auto executor = co_await net::asio::this_coro::executor;
    net::asio::co_spawn(
        executor,
        [&exchange, cancellation, ended]() -> net::task<void> {
            const bool disconnected = co_await exchange.wait_closed(ended);
            if (disconnected) {
                cancellation->cancel();
            }
        },
        net::asio::detached);
    net::steady_timer deadline(executor, request.deadline);
    if (request.repeatable) {
        deadline.async_wait([cancellation, ended, &exchange](const net::error_code& failure) {
            if (!failure && !*ended) {
                cancellation->cancel();
                // Ends a pending write to a caller that does not read; it would exceed the deadline.
                exchange.cancel_wait();
            }
        });
    }
    if (request.streamed && !request.plain) {
        co_await serve_streamed(exchange, request, cancellation);
    } else {
        co_await serve_buffered(exchange, request, cancellation);
    }
    *ended = true;
    deadline.cancel();
    exchange.cancel_wait();
    m_selector.release(request, clock::now());
}

void entry_service::count_request_end(const caller_request& request, const dispatch_result& outcome)
{
    const char* end = outcome.done ? "done" : (outcome.caller_gone ? "caller_left" : "failed");
    const metric_labels labels{{"team", request.team}, {"length", to_string(request.length())}, {"end", end}};
    m_process.counters().add("verbena_entry_requests_total", labels);
    m_process.counters().observe("verbena_entry_request_seconds",
                                 {{"team", request.team}, {"length", to_string(request.length())}},
                                 clock::now() - request.arrived);
}

net::task<void> entry_service::serve_streamed(net::http_exchange& exchange, const caller_request& request,
                                              std::shared_ptr<request_cancellation> cancellation)
{
    stream_writer writer(exchange, request.arrived, [this, &request](clock::duration time) {
        m_process.counters().observe("verbena_entry_first_token_seconds",
                                     {{"team", request.team}, {"length", to_string(request.length())}}, time);
    });
    const std::function<void()> no_reset = [] {};
    const dispatch_result outcome = co_await m_dispatcher->run(request, writer, cancellation, no_reset);
    count_request_end(request, outcome);
    if (outcome.done) {
        (void)co_await writer.finish();
    } else if (writer.started()) {
        co_await writer.fail(outcome.failure);
    } else if (!outcome.caller_gone) {
        co_await reply_error(exchange, outcome.failure, request.team);
    }
}

net::task<void> entry_service::serve_buffered(net::http_exchange& exchange, const caller_request& request,
                                              std::shared_ptr<request_cancellation> cancellation)
{
    buffered_answer answer(max_buffered_answer);
    const std::function<void()> reset = [&answer] { answer.reset(); };
    dispatch_result outcome;
    if (request.repeatable) {
        outcome = co_await m_dispatcher->run(request, answer, cancellation, reset);
    } else {
        outcome = co_await m_keys->run(request, answer, cancellation);
    }
    count_request_end(request, outcome);
    if (outcome.done) {
        (void)co_await exchange.reply(answer.to_response());
    } else if (!outcome.caller_gone) {
        co_await reply_error(exchange, outcome.failure, request.team);
    }
}

} // namespace verbena::entry
