#include "forward/request_forwarder.h"

#include "base/event_log.h"
#include "forward/fleet_detail.h"
#include "forward/inactivity_limits.h"
#include "forward/part_names.h"

#include <algorithm>

namespace verbena::forward {

using detail::to_u32;

namespace {

constexpr std::size_t max_answer_bytes = 16ULL * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024 * 1024;

// An endpoint that is silent is not waited for any longer.
constexpr time_point no_extension{};

// The network round trip to an endpoint is at most a few milliseconds; a longer connect means a lost packet
// or a dead endpoint.
constexpr milliseconds connect_timeout{300};

// Bound on all attempts of a request, including those that have not run: they cost little, but an outage must
// not make a request retry until its deadline.
constexpr std::uint32_t max_total_attempts = 8;

// The caller of a stream disconnects after the longest of these times without an event, as documented by the
// platform.
constexpr milliseconds min_disconnect_time{2'000};
constexpr int disconnect_in_objectives = 4;
constexpr int disconnect_in_pauses = 8;

// An idempotent request that is not a stream is retried at another endpoint after this multiple of its
// objective.
constexpr int plain_timeout_in_objectives = 3;

// How long an endpoint that seems silent is waited for until its backlog is known.
constexpr milliseconds backlog_reply_time{80};

} // namespace

request_forwarder::request_forwarder(forwarder_context context, net::http_exchange& exchange,
                                     routed_request request)
    : m_context(std::move(context)), m_exchange(exchange), m_request(std::move(request)),
      m_random(std::hash<std::string>{}(m_request.terms.id))
{
    m_answer.last_event = m_request.terms.last_event;
}

bool request_forwarder::is_idempotent() const
{
    return m_request.route->kind == route::request_kind::safe || (is_stream() && m_request.route->resumable);
}

milliseconds request_forwarder::time_left(time_point now) const
{
    return std::max(std::chrono::duration_cast<milliseconds>(m_request.deadline - now), milliseconds::zero());
}

// Maps the priority of a team or route (0 first) and the length class of the prompt to the priority sent to
// engines. Each team priority covers three levels, one for each length class.
std::uint32_t request_forwarder::priority_level() const
{
    constexpr std::uint32_t levels = 3;
    constexpr std::uint32_t lowest = 9;
    const auto length = static_cast<std::uint32_t>(classify(m_request.terms.prompt_tokens));
    return std::min(m_request.priority * levels + length, lowest);
}

dispatch_request request_forwarder::make_dispatch_request(time_point now) const
{
    const route::route_rule& route = *m_request.route;
    dispatch_request request;
    request.service = m_request.service;
    request.time_left = time_left(now);
    request.excluded = m_excluded;
    policy::model_request& model = request.model;
    model.prompt_tokens = m_request.terms.prompt_tokens;
    model.output_tokens = m_request.terms.output_tokens;
    model.pause = route.max_pause;
    if (is_stream()) {
        model.disconnect_after = std::max({min_disconnect_time, route.objective * disconnect_in_objectives,
                                           route.max_pause * disconnect_in_pauses});
    }
    // Once an answer has started, its objective is the pause between events, counted from the last event.
    const bool resumes = m_answer.started && m_last_event_at != time_point{};
    model.objective = resumes ? std::max(route.max_pause, milliseconds(1)) : route.objective;
    model.used =
        std::chrono::duration_cast<milliseconds>(now - (resumes ? m_last_event_at : m_request.arrived));
    if (model.disconnect_after > milliseconds::zero()) {
        model.disconnect_after = std::max(model.disconnect_after - model.used, milliseconds(1));
    }
    // The value of a request is the work lost with it. An output token costs about as much as ten prompt
    // tokens.
    constexpr double output_weight = 10;
    model.value = (model.prompt_tokens + output_weight * model.output_tokens) / 1000 + 1;
    if (!m_answer.started) {
        request.parts = m_request.terms.shared_parts;
    }
    return request;
}

void request_forwarder::cancel()
{
    m_caller_left = true;
    m_choice_call->cancel();
    if (m_call) {
        m_call->close();
    }
}

net::task<void> request_forwarder::run(net::asio::any_io_executor executor)
{
    m_executor = executor;
    m_context.budget.record_request(m_request.service->name, clock::now());
    while (!m_caller_left) {
        const time_point now = clock::now();
        if (now >= m_request.deadline) {
            co_await refuse(m_may_have_run ? 504 : 503, "deadline", milliseconds::zero());
            co_return;
        }
        const dispatch_result found = co_await choose_endpoints();
        if (m_caller_left) {
            break;
        }
        if (!found.choice) {
            co_await refuse_dispatch(found.refusal);
            co_return;
        }
        // This process may have been suspended, or the request may have waited for long.
        if (m_context.may_send && !m_context.may_send(clock::now())) {
            m_context.endpoints.record_end(found.choice->number, clock::now());
            co_await refuse_unconfirmed();
            co_return;
        }
        const attempt_end end = co_await run_attempt(*found.choice);
        if (end == attempt_end::answered || end == attempt_end::caller_left ||
            !may_retry(end, clock::now())) {
            co_await finish(end);
            co_return;
        }
    }
    record_end("caller_left", 0);
}

net::task<dispatch_result> request_forwarder::choose_endpoints()
{
    const time_point now = clock::now();
    dispatch_request request = make_dispatch_request(now);
    request.answer_started = m_answer.started;
    const auto wait_limit =
        std::chrono::duration_cast<milliseconds>(m_request.arrived + m_request.route->objective - now);
    request.may_wait = wait_limit > milliseconds::zero();
    dispatch_result found =
        co_await m_context.scheduler.choose(std::move(request), wait_limit, m_choice_call);
    m_chosen_by = found.chosen_by;
    co_return found;
}

bool request_forwarder::may_retry(attempt_end end, time_point now)
{
    if (m_caller_left || m_attempts >= max_total_attempts || now >= m_request.deadline) {
        return false;
    }
    if (end != attempt_end::not_run && !is_idempotent()) {
        return false;
    }
    if (m_possible_runs >= m_request.route->max_attempts) {
        return false;
    }
    // Only an attempt after one that may have reached an endpoint counts as a retry.
    return !m_reached_endpoint || m_context.budget.try_retry(m_request.service->name, now);
}

net::task<request_forwarder::attempt_end> request_forwarder::run_attempt(dispatch_choice choice)
{
    ++m_attempts;
    m_attempt_began = clock::now();
    m_attempt_endpoint = choice.endpoints.front().name;
    m_attempt_sent = false;
    m_connection_lost = false;
    m_min_interval_ms = 0;
    m_report = attempt_report{};
    m_backlog_queried = false;
    m_backlog_end = time_point{};
    event::dispatchedT line;
    line.request = m_request.terms.id;
    line.attempt = m_attempts;
    line.endpoint = choice.endpoints.front().name;
    line.helpers = static_cast<std::uint32_t>(choice.endpoints.size() - 1);
    for (std::size_t i = 0; i < choice.endpoints.size(); ++i) {
        line.reserved_tokens += choice.endpoints[i].reserved_tokens;
        if (i != 0) {
            line.helper_names += (i == 1 ? "" : " ") + choice.endpoints[i].name;
        }
    }
    line.predicted_ms = to_u32(choice.predicted_first_event);
    line.time_left_ms = to_u32(time_left(m_attempt_began));
    line.prompt_tokens = m_request.terms.prompt_tokens;
    line.config_version = m_request.config_version;
    line.config_age_ms = to_u32(m_request.config_age);
    line.chosen_by = m_chosen_by;
    line.prompt_parts = part_names(m_request.terms.shared_parts);
    event_log::write(line);
    m_context.counters.add("verbena_forward_attempts_total", {{"service", m_request.service->name}});

    m_reservation = std::make_shared<memory_reservation>(m_context.protocol, m_context.counters,
                                                         m_request.terms.id, choice);
    const std::string refused_by = co_await m_reservation->reserve();
    attempt_end end = attempt_end::not_run;
    if (refused_by.empty() && !m_caller_left) {
        if (line.reserved_tokens != 0) {
            m_reservation->start_renewal(m_executor);
        }
        end = co_await call_endpoint(choice);
    } else {
        if (!refused_by.empty()) {
            m_excluded.insert(refused_by);
        }
        record_attempt(choice, "not_run", 0, "memory reservation failed", attempt_health::neutral);
    }
    if (m_call) {
        m_call->close();
        m_call = nullptr;
    }
    const bool lost = m_connection_lost && !m_answer.started && !m_caller_left;
    if (lost && !m_request.terms.shared_parts.empty()) {
        co_await examine_lost_answer(choice);
    }
    m_context.endpoints.record_end(choice.number, clock::now(), m_report);
    m_reservation->release(m_executor);
    if (end != attempt_end::answered) {
        m_excluded.insert(choice.endpoints.front().name);
    }
    m_reached_endpoint = m_reached_endpoint || m_attempt_sent;
    if (m_attempt_sent && end != attempt_end::not_run) {
        ++m_possible_runs;
        m_may_have_run = true;
    }
    co_return m_caller_left ? attempt_end::caller_left : end;
}

net::task<result<void>> request_forwarder::connect_again(const dispatch_choice& choice)
{
    m_call = std::make_shared<endpoint_call>(m_executor);
    const result<void> connected =
        co_await m_call->connect(choice.endpoints.front().address, connect_timeout);
    m_call->close();
    m_call = nullptr;
    co_return connected;
}

net::task<bool> request_forwarder::has_broken_off(const dispatch_choice& choice)
{
    if (!m_call->ends_with_connection()) {
        co_return false;
    }
    const result<void> connected = co_await connect_again(choice);
    co_return !connected && connected.error().kind == error_kind::unavailable;
}

net::task<void> request_forwarder::examine_lost_answer(const dispatch_choice& choice)
{
    const result<void> connected = co_await connect_again(choice);
    event::answer_lostT line;
    line.request = m_request.terms.id;
    line.attempt = m_attempts;
    line.endpoint = choice.endpoints.front().name;
    line.accepts = connected.has_value();
    line.detail = connected ? "" : connected.error().message;
    line.prompt_parts = part_names(m_request.terms.shared_parts);
    event_log::write(line);
    if (!connected && connected.error().kind == error_kind::unavailable) {
        m_context.endpoints.record_crash(m_request.terms.shared_parts, m_request.terms.id, line.endpoint,
                                         m_attempt_began, clock::now());
    }
}

net::task<request_forwarder::attempt_end> request_forwarder::call_endpoint(const dispatch_choice& choice)
{
    const chosen_endpoint& first = choice.endpoints.front();
    auto call = std::make_shared<endpoint_call>(m_executor);
    m_call = call;
    const result<void> connected = co_await call->connect(first.address, connect_timeout);
    if (!connected) {
        record_attempt(choice, "not_run", 0, connected.error().message, attempt_health::unreachable);
        co_return attempt_end::not_run;
    }
    const time_point now = clock::now();
    dispatch_metadata terms;
    terms.endpoint = first.name;
    terms.team = m_request.team;
    terms.time_left = time_left(now);
    terms.priority_level = priority_level();
    terms.last_event = m_answer.last_event;
    for (std::size_t i = 1; i < choice.endpoints.size(); ++i) {
        const bool has_reservation = choice.endpoints[i].reserved_tokens != 0;
        terms.helpers.push_back({choice.endpoints[i].address,
                                 has_reservation ? m_reservation->reservation_id(i) : std::string()});
    }
    m_attempt_sent = true;
    call->send(m_context.protocol.endpoint_head(m_exchange.request(), terms), m_exchange.request().body);
    time_point limit = m_request.deadline;
    if (is_stream() && is_idempotent()) {
        limit = std::min(
            limit,
            now + inactivity_limits_for(choice, m_request.route->max_pause, m_context.stall).first_event);
    } else if (is_idempotent()) {
        limit = std::min(
            limit, now + std::max(m_request.route->objective * plain_timeout_in_objectives, milliseconds(1)));
    }
    const result<answer_metadata> head = co_await call->read_head(m_context.protocol, limit);
    if (!head) {
        const bool silent = head.error().kind == error_kind::timeout;
        m_connection_lost = !silent;
        record_attempt(choice, silent ? "silent" : "broken", 0, head.error().message,
                       silent ? attempt_health::unreachable : attempt_health::failed);
        co_return attempt_end::may_have_run;
    }
    co_return co_await handle_answer(choice, head.value());
}

void request_forwarder::record_endpoint_notice(const std::string& endpoint, const answer_metadata& head)
{
    if (head.leaving) {
        m_report.leaving = true;
        m_context.endpoints.record_leaving(endpoint);
    }
    if (head.status == 503 && head.retry_after > milliseconds::zero()) {
        m_context.endpoints.record_retry_after(endpoint, head.retry_after, clock::now());
    }
}

net::task<request_forwarder::attempt_end> request_forwarder::handle_answer(const dispatch_choice& choice,
                                                                           const answer_metadata& head)
{
    record_endpoint_notice(choice.endpoints.front().name, head);
    if (head.not_run) {
        if (!head.failed_dependency.empty()) {
            const std::string failed = m_context.endpoints.endpoint_at(head.failed_dependency);
            m_report.unreachable.push_back(failed);
            m_excluded.insert(failed);
        }
        record_attempt(choice, "not_run", head.status,
                       head.misdirected ? "another endpoint answers at this address" : head.failed_dependency,
                       head.misdirected ? attempt_health::misdirected : attempt_health::neutral);
        co_return attempt_end::not_run;
    }
    if (head.id != m_request.terms.id || head.has_content_encoding || !head.sealed) {
        record_attempt(choice, "broken", head.status,
                       "answer rejected: wrong request id, content encoding or no seal",
                       attempt_health::failed);
        co_return attempt_end::may_have_run;
    }
    const bool good = head.status >= 200 && head.status < 300;
    if (good && is_stream()) {
        co_return co_await relay_events(choice, head);
    }
    co_return co_await relay_body(choice, head);
}

net::task<request_forwarder::attempt_end> request_forwarder::relay_body(const dispatch_choice& choice,
                                                                        const answer_metadata& head)
{
    net::http_response response;
    response.status = head.status;
    response.content_type = head.content_type;
    response.headers = head.headers;
    while (true) {
        const result<std::string> chunk = co_await m_call->read_some(m_request.deadline);
        if (!chunk) {
            m_connection_lost = chunk.error().kind != error_kind::timeout;
            record_attempt(choice, "broken", head.status, chunk.error().message, attempt_health::failed);
            co_return attempt_end::may_have_run;
        }
        if (chunk.value().empty()) {
            break;
        }
        response.body += chunk.value();
        if (response.body.size() > max_answer_bytes) {
            record_attempt(choice, "broken", head.status, "answer larger than 16 MiB",
                           attempt_health::failed);
            co_return attempt_end::may_have_run;
        }
    }
    if (co_await has_broken_off(choice)) {
        m_connection_lost = true;
        record_attempt(choice, "broken", head.status, "the endpoint ended before the end of the answer",
                       attempt_health::failed);
        co_return attempt_end::may_have_run;
    }
    if (head.status >= 500) {
        record_attempt(choice, "refused_by_endpoint", head.status, "", attempt_health::failed);
        m_failed_answer = std::move(response);
        co_return attempt_end::failed_answer;
    }
    record_attempt(choice, "answered", head.status, "", attempt_health::good);
    record_begun_answer();
    m_answer.first_event = clock::now();
    m_answer.started = true;
    const unsigned status = response.status;
    (void)co_await m_exchange.reply(std::move(response));
    record_end("done", status);
    co_return attempt_end::answered;
}

net::task<request_forwarder::attempt_end> request_forwarder::relay_events(const dispatch_choice& choice,
                                                                          const answer_metadata& head)
{
    event_reader reader;
    bool received = false;
    // Time of the latest complete event: single bytes do not show that the endpoint makes progress.
    time_point progress = clock::now();
    const inactivity_limits inactivity =
        inactivity_limits_for(choice, m_request.route->max_pause, m_context.stall);
    while (true) {
        time_point limit = m_request.deadline;
        if (is_idempotent()) {
            limit =
                std::min(limit, progress + (received ? inactivity.between_events : inactivity.first_event));
        }
        // Extends the timeout of an endpoint that is known to be prefilling other prompts.
        const auto extend_deadline = [self = shared_from_this(), name = choice.endpoints.front().name,
                                      inactivity, reserved = choice.has_reservation()]() {
            const time_point now = clock::now();
            if (reserved) {
                return no_extension;
            }
            if (!self->m_backlog_queried) {
                self->m_backlog_queried = true;
                net::asio::co_spawn(
                    self->m_executor, [self, name] { return self->query_backlog(name); },
                    net::asio::detached);
                return time_point(now + backlog_reply_time);
            }
            self->m_backlog_queried = false;
            const time_point extended = self->m_backlog_end + inactivity.between_events / 2;
            return self->m_backlog_end > now ? std::min(self->m_request.deadline, extended) : no_extension;
        };
        const result<std::string> chunk = co_await m_call->read_some(limit, extend_deadline);
        if (!chunk || (chunk.value().empty() && reader.pending_bytes() != 0)) {
            const bool silent = !chunk && chunk.error().kind == error_kind::timeout;
            m_connection_lost = !silent;
            record_attempt(choice, silent ? "silent" : "broken", head.status,
                           chunk ? "connection closed in the middle of an event" : chunk.error().message,
                           silent ? attempt_health::unreachable : attempt_health::failed);
            co_return attempt_end::may_have_run;
        }
        if (chunk.value().empty()) {
            break;
        }
        const std::size_t pending = reader.pending_bytes() + chunk.value().size();
        reader.feed(chunk.value());
        const bool written = co_await write_events(reader, choice, head);
        if (!written) {
            co_return attempt_end::caller_left;
        }
        if (reader.pending_bytes() < pending) {
            received = true;
            progress = clock::now();
        }
        if (reader.pending_bytes() > max_event_bytes) {
            record_attempt(choice, "broken", head.status, "event larger than 1 MiB", attempt_health::failed);
            co_return attempt_end::may_have_run;
        }
    }
    const bool empty = m_call->ends_with_connection() && !m_answer.started;
    if (empty || co_await has_broken_off(choice)) {
        m_connection_lost = true;
        record_attempt(choice, "broken", head.status,
                       empty ? "connection closed before the first event"
                             : "the endpoint ended before the end of the answer",
                       attempt_health::failed);
        co_return attempt_end::may_have_run;
    }
    if (!m_answer.started) {
        m_answer.started = true;
        (void)co_await m_exchange.start_stream(head.status, head.content_type, head.headers);
    }
    const result<void> finished = co_await m_exchange.finish();
    record_attempt(choice, "answered", head.status, finished ? "" : finished.error().message,
                   attempt_health::good);
    record_end("done", head.status);
    co_return attempt_end::answered;
}

net::task<void> request_forwarder::query_backlog(std::string endpoint)
{
    const milliseconds backlog = co_await m_context.scheduler.backlog(std::move(endpoint));
    m_backlog_end = clock::now() + backlog;
}

net::task<bool> request_forwarder::write_events(event_reader& reader, const dispatch_choice& choice,
                                                const answer_metadata& head)
{
    while (true) {
        const std::optional<stream_event> event = reader.next();
        if (!event) {
            co_return true;
        }
        const bool written = co_await write_event(*event, choice, head);
        if (!written) {
            m_caller_left = true;
            co_return false;
        }
    }
}

void request_forwarder::record_begun_answer()
{
    if (!m_request.terms.shared_parts.empty()) {
        m_context.endpoints.record_answer(m_request.terms.shared_parts, m_request.terms.id, clock::now());
    }
}

net::task<bool> request_forwarder::write_event(const stream_event& event, const dispatch_choice& choice,
                                               const answer_metadata& head)
{
    // A resumed run may repeat the event after which it was asked to resume.
    if (event.id && m_answer.last_event && *event.id <= *m_answer.last_event) {
        co_return true;
    }
    const time_point now = clock::now();
    if (!m_answer.started) {
        m_answer.started = true;
        const result<void> started =
            co_await m_exchange.start_stream(head.status, head.content_type, head.headers);
        if (!started) {
            co_return false;
        }
    }
    if (!m_answer.first_event) {
        record_begun_answer();
        m_answer.first_event = now;
        m_context.counters.observe("verbena_forward_first_event_seconds",
                                   {{"team", m_request.team}, {"route", m_request.route->name}},
                                   now - m_request.arrived);
    }
    const double interval = std::chrono::duration<double, std::milli>(now - m_last_event_at).count();
    if (m_last_event_at >= m_attempt_began && interval > 1 &&
        (m_min_interval_ms <= 0 || interval < m_min_interval_ms)) {
        m_min_interval_ms = interval;
    }
    if (m_last_event_at < m_attempt_began) {
        m_context.endpoints.record_first_event(choice.number, now);
    }
    m_last_event_at = now;
    const result<void> written = co_await m_exchange.write(event.text);
    if (!written) {
        co_return false;
    }
    ++m_answer.events;
    if (event.id) {
        m_answer.last_event = event.id;
    }
    co_return true;
}

void request_forwarder::record_attempt(const dispatch_choice& choice, const char* outcome, unsigned status,
                                       const std::string& cause, attempt_health health)
{
    const time_point now = clock::now();
    const std::string& endpoint = choice.endpoints.front().name;
    if (m_caller_left) {
        // This process closed the connection, so its failure says nothing about the endpoint.
        health = attempt_health::neutral;
        outcome = "caller_left";
    }
    m_report.health = health;
    m_report.interval = std::chrono::microseconds(static_cast<std::int64_t>(m_min_interval_ms * 1000));
    event::attempt_endedT line;
    line.request = m_request.terms.id;
    line.attempt = m_attempts;
    line.endpoint = endpoint;
    line.outcome = outcome;
    line.status = status;
    line.cause = cause;
    line.elapsed_ms = to_u32(now - m_attempt_began);
    line.last_event = m_answer.last_event.value_or(0);
    line.last_event_age_ms = to_u32(last_event_age(now));
    event_log::write(line);
    m_context.counters.add("verbena_forward_attempt_ends_total",
                           {{"service", m_request.service->name}, {"outcome", outcome}});
}

} // namespace verbena::forward
