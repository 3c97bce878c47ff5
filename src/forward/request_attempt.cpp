#include "base/event_log.h"
#include "forward/answer_source.h"
#include "forward/fleet_detail.h"
#include "forward/inactivity_limits.h"
#include "forward/part_names.h"
#include "forward/request_forwarder.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdio>

namespace verbena::forward {

using detail::to_u32;

namespace {

// Returned for an attempt that is not waited for any longer.
constexpr time_point no_extension{};

// The network round trip to an endpoint is at most a few milliseconds; a longer connect means a lost packet
// or a dead endpoint.
constexpr milliseconds connect_timeout{300};

// Another endpoint is asked for an idempotent request that is not a stream after this multiple of its
// objective.
constexpr int plain_timeout_in_objectives = 3;

// An endpoint may leave the type out; other parameters may follow it.
bool is_event_stream(std::string_view content_type)
{
    constexpr std::string_view type = "text/event-stream";
    const std::string_view found = content_type.substr(0, type.size());
    return content_type.empty() ||
           boost::beast::iequals({found.data(), found.size()}, {type.data(), type.size()});
}

// Length up to which a text in place of a limit is logged, in bytes.
constexpr std::size_t max_logged_limit = 64;

// The limit that an answer names, for the log.
std::string limit_text(const answer_metadata& head)
{
    if (!head.request_limit) {
        return head.unreadable_limit.substr(0, max_logged_limit);
    }
    char text[32];
    std::snprintf(text, sizeof text, "%g", *head.request_limit);
    return text;
}

// How long the process of an answer that ended with its connection is asked whether it still runs. Callers of
// streams wait at least 2 s for the next event, which another endpoint then has to send.
constexpr milliseconds source_check_time{1'000};

// Shortest interval at which another endpoint is looked for while one is silent.
constexpr milliseconds min_check_interval{1'000};

// How long an endpoint that seems silent is waited for until its backlog is known.
constexpr milliseconds backlog_reply_time{80};

} // namespace

void request_forwarder::log_dispatch(const attempt& current, std::uint64_t reserved_tokens) const
{
    const dispatch_choice& choice = current.choice;
    event::dispatchedT line;
    line.request = m_request.terms.id;
    line.attempt = current.number;
    line.endpoint = current.endpoint();
    line.helpers = static_cast<std::uint32_t>(choice.endpoints.size() - 1);
    line.reserved_tokens = reserved_tokens;
    for (std::size_t i = 1; i < choice.endpoints.size(); ++i) {
        line.helper_names += (i == 1 ? "" : " ") + choice.endpoints[i].name;
    }
    line.predicted_ms = to_u32(choice.predicted_first_event);
    line.time_left_ms = to_u32(time_left(current.began));
    line.prompt_tokens = m_request.terms.prompt_tokens;
    line.config_version = m_request.config_version;
    line.config_age_ms = to_u32(m_request.config_age);
    line.chosen_by = m_chosen_by;
    line.prompt_parts = part_names(m_request.terms.shared_parts);
    if (const auto limit = m_context.endpoints.limit_of(line.endpoint, current.began)) {
        line.limit = limit->rate;
        line.limit_age_ms = to_u32(limit->age);
    }
    event_log::write(line);
    m_context.counters.add("verbena_forward_attempts_total", {{"service", m_request.service->name}});
}

net::task<void> request_forwarder::run_attempt(attempt_ptr current)
{
    std::uint64_t reserved_tokens = 0;
    for (const chosen_endpoint& endpoint : current->choice.endpoints) {
        reserved_tokens += endpoint.reserved_tokens;
    }
    log_dispatch(*current, reserved_tokens);
    current->reservation = std::make_shared<memory_reservation>(m_context.protocol, m_context.counters,
                                                                m_request.terms.id, current->choice);
    const std::string refused_by = co_await current->reservation->reserve();
    attempt_end end = attempt_end::not_run;
    if (refused_by.empty() && !current->superseded && !m_caller_left && !m_stopped) {
        if (reserved_tokens != 0) {
            current->reservation->start_renewal(m_executor);
        }
        end = co_await call_endpoint(current);
    } else {
        if (!refused_by.empty()) {
            m_excluded.insert(refused_by);
        }
        end =
            record_attempt(*current, end, "not_run", 0, "memory reservation failed", attempt_health::neutral);
    }
    if (current->call) {
        current->call->close();
    }
    const bool lost =
        current->connection_lost && !m_answer.started && !m_caller_left && !m_stopped && !current->superseded;
    if (lost && !m_request.terms.shared_parts.empty()) {
        co_await examine_lost_answer(current);
    }
    m_context.endpoints.record_end(current->choice.number, clock::now(), current->report);
    current->reservation->release(m_executor);
    end_attempt(current, end);
}

net::task<result<void>> request_forwarder::connect_again(attempt_ptr current)
{
    const auto call = std::make_shared<endpoint_call>(m_executor);
    const result<void> connected =
        co_await call->connect(current->choice.endpoints.front().address, connect_timeout);
    call->close();
    co_return connected;
}

net::task<bool> request_forwarder::may_have_broken_off(attempt_ptr current)
{
    if (!current->call->ends_with_connection()) {
        co_return false;
    }
    const time_point begin = clock::now();
    const chosen_endpoint& endpoint = current->choice.endpoints.front();
    const answer_source source{endpoint.name, endpoint.address, current->born_ms,
                               m_request.service->health_path};
    source_check found = co_await check_source(m_context.protocol, source,
                                               std::min(m_request.deadline, begin + source_check_time));
    const std::uint64_t listed_ms = m_context.endpoints.born_ms(endpoint.name);
    if (found.state == source_state::running && listed_ms > current->born_ms && current->born_ms != 0) {
        found.state = source_state::ended;
        found.detail = "a later start is announced under its name";
    }
    event::answer_end_checkedT line;
    line.request = m_request.terms.id;
    line.attempt = current->number;
    line.endpoint = endpoint.name;
    line.state = to_string(found.state);
    line.born_ms = current->born_ms;
    line.stated_name = found.stated.name;
    line.stated_born_ms = found.stated.born_ms;
    line.detail = found.detail;
    line.elapsed_ms = to_u32(clock::now() - begin);
    event_log::write(line);
    m_context.counters.add("verbena_forward_answer_ends_checked_total", {{"state", line.state}});
    co_return found.state != source_state::running;
}

net::task<void> request_forwarder::examine_lost_answer(attempt_ptr current)
{
    const result<void> connected = co_await connect_again(current);
    event::answer_lostT line;
    line.request = m_request.terms.id;
    line.attempt = current->number;
    line.endpoint = current->endpoint();
    line.accepts = connected.has_value();
    line.detail = connected ? "" : connected.error().message;
    line.prompt_parts = part_names(m_request.terms.shared_parts);
    event_log::write(line);
    if (!connected && connected.error().kind == error_kind::unavailable) {
        m_context.endpoints.record_crash(m_request.terms.shared_parts, m_request.terms.id, line.endpoint,
                                         current->began, clock::now());
    }
}

net::task<request_forwarder::attempt_end> request_forwarder::call_endpoint(attempt_ptr current)
{
    const std::vector<chosen_endpoint>& endpoints = current->choice.endpoints;
    const chosen_endpoint& first = endpoints.front();
    const auto call = std::make_shared<endpoint_call>(m_executor);
    current->call = call;
    const result<void> connected = co_await call->connect(first.address, connect_timeout);
    if (!connected || current->superseded || m_caller_left || m_stopped) {
        co_return record_attempt(*current, attempt_end::not_run, "not_run", 0,
                                 connected ? "" : connected.error().message, attempt_health::unreachable);
    }
    const time_point now = clock::now();
    dispatch_metadata terms;
    terms.endpoint = first.name;
    terms.team = m_request.team;
    terms.time_left = time_left(now);
    terms.priority_level = priority_level();
    terms.last_event = m_answer.last_event;
    for (std::size_t i = 1; i < endpoints.size(); ++i) {
        const bool has_reservation = endpoints[i].reserved_tokens != 0;
        terms.helpers.push_back({endpoints[i].address,
                                 has_reservation ? current->reservation->reservation_id(i) : std::string()});
    }
    current->sent = true;
    current->sent_at = now;
    current->born_ms = m_context.endpoints.born_ms(first.name);
    ++m_possible_runs;
    call->send(m_context.protocol.endpoint_head(m_exchange.request(), terms), m_exchange.request().body);
    const inactivity_limits limits =
        is_stream() ? inactivity_limits_for(current->choice, m_request.route->max_pause, m_context.stall)
                    : plain_inactivity_limits();
    const time_point limit =
        is_idempotent() ? std::min(answer_limit(), now + limits.first_event) : answer_limit();
    const auto extend = [self = shared_from_this(), current, limits] {
        return self->on_inactivity(current, limits.between_events);
    };
    const result<answer_metadata> head = co_await call->read_head(m_context.protocol, limit, extend);
    if (!head) {
        const bool silent = head.error().kind == error_kind::timeout || current->reservation_unused;
        current->connection_lost = !silent;
        co_return record_attempt(*current, attempt_end::may_have_run, silent ? "silent" : "broken", 0,
                                 head.error().message,
                                 silent ? attempt_health::unreachable : attempt_health::failed);
    }
    co_return co_await handle_answer(current, head.value());
}

inactivity_limits request_forwarder::plain_inactivity_limits() const
{
    const milliseconds limit =
        std::max(m_request.route->objective * plain_timeout_in_objectives, milliseconds(1));
    return {limit, std::max(limit, min_check_interval)};
}

// The memory that a request has reserved at other endpoints must be free soon after its endpoint has died, of
// which silence may be the only sign. While the request lives, those endpoints report that it uses the
// memory.
net::task<void> request_forwarder::examine_reservation(attempt_ptr current)
{
    const std::optional<bool> used = co_await current->reservation->is_used();
    if (used == false && current->silent && !current->superseded) {
        current->reservation_unused = true;
        current->call->close();
    }
}

time_point request_forwarder::on_inactivity(const attempt_ptr& current, milliseconds interval)
{
    const time_point now = clock::now();
    if (now >= answer_limit() || current->superseded) {
        return no_extension;
    }
    // An endpoint that is known to be prefilling other prompts is not silent.
    if (is_stream() && !current->choice.has_reservation()) {
        if (!current->backlog_queried) {
            current->backlog_queried = true;
            net::asio::co_spawn(
                m_executor, [self = shared_from_this(), current] { return self->query_backlog(current); },
                net::asio::detached);
            return std::min(answer_limit(), now + backlog_reply_time);
        }
        current->backlog_queried = false;
        if (current->backlog_end > now) {
            return std::min(answer_limit(), current->backlog_end + interval / 2);
        }
    }
    on_silence(current);
    if (current->choice.has_reservation()) {
        net::asio::co_spawn(
            m_executor, [self = shared_from_this(), current] { return self->examine_reservation(current); },
            net::asio::detached);
    }
    current->next_check = std::min(answer_limit(), now + interval);
    return current->next_check;
}

void request_forwarder::record_endpoint_notice(attempt& current, const answer_metadata& head)
{
    current.named_limit = limit_text(head);
    record_limit(current, head);
    if (head.leaving) {
        current.report.leaving = true;
        m_context.endpoints.record_leaving(current.endpoint());
    }
    if (head.status == 503 && head.retry_after > milliseconds::zero()) {
        m_context.endpoints.record_retry_after(current.endpoint(), head.retry_after, clock::now());
    }
}

// Only an answer of a run shows that the endpoint names no limit any more: a refusal may come from a part of
// it that does not know, and another endpoint at its address says nothing about it.
void request_forwarder::record_limit(const attempt& current, const answer_metadata& head)
{
    const time_point now = clock::now();
    if (!head.unreadable_limit.empty()) {
        event::endpoint_limitT line;
        line.endpoint = current.endpoint();
        line.state = "unreadable";
        line.cause = "answer";
        line.request = m_request.terms.id;
        line.detail = head.unreadable_limit.substr(0, max_logged_limit);
        event_log::write(line);
    }
    const bool shows_none = head.sealed && !head.not_run && head.unreadable_limit.empty();
    if (!head.misdirected && (head.request_limit || shows_none)) {
        m_context.endpoints.record_limit(current.endpoint(), head.request_limit, current.sent_at,
                                         m_request.terms.id, now);
    }
}

net::task<request_forwarder::attempt_end> request_forwarder::handle_answer(attempt_ptr current,
                                                                           const answer_metadata& head)
{
    // A faulty endpoint may repeat the answer to another request, which says nothing about this one.
    if (head.id != m_request.terms.id) {
        co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                 "answer rejected: its request id is missing or another one",
                                 attempt_health::failed);
    }
    record_endpoint_notice(*current, head);
    if (head.not_run) {
        if (!head.failed_dependency.empty()) {
            const std::string failed = m_context.endpoints.endpoint_at(head.failed_dependency);
            current->report.unreachable.push_back(failed);
            m_excluded.insert(failed);
        }
        co_return record_attempt(*current, attempt_end::not_run, "not_run", head.status,
                                 head.misdirected ? "another endpoint answers at this address"
                                                  : head.failed_dependency,
                                 head.misdirected ? attempt_health::misdirected : attempt_health::neutral);
    }
    if (head.has_content_encoding || !head.sealed) {
        co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                 "answer rejected: content encoding or no seal", attempt_health::failed);
    }
    const bool good = head.status >= 200 && head.status < 300;
    if (good && is_stream() && is_event_stream(head.content_type)) {
        co_return co_await relay_events(current, head);
    }
    if (m_answer.started) {
        co_return record_attempt(*current, attempt_end::may_have_run, "refused_by_endpoint", head.status,
                                 "answer to a resumed stream that is no event stream",
                                 attempt_health::failed);
    }
    co_return co_await relay_body(current, head);
}

net::task<void> request_forwarder::query_backlog(attempt_ptr current)
{
    const milliseconds backlog = co_await m_context.scheduler.backlog(current->endpoint());
    current->backlog_end = clock::now() + backlog;
}

milliseconds request_forwarder::last_event_age(const attempt& current, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - std::max(current.began, current.last_event_at));
}

request_forwarder::attempt_end request_forwarder::record_attempt(attempt& current, attempt_end end,
                                                                 const char* outcome, unsigned status,
                                                                 const std::string& cause,
                                                                 attempt_health health)
{
    const time_point now = clock::now();
    if (m_caller_left || current.superseded) {
        // This process closed the connection, so its failure says nothing about the endpoint.
        health = attempt_health::neutral;
        outcome = m_caller_left ? "caller_left" : "superseded";
        end = m_caller_left ? attempt_end::caller_left : attempt_end::superseded;
    } else if (m_stopped && end != attempt_end::answered) {
        health = attempt_health::neutral;
        outcome = "stopping";
    }
    if (health == attempt_health::unreachable && current.silence_recorded) {
        health = attempt_health::neutral;
    }
    current.report.health = health;
    current.report.interval =
        std::chrono::microseconds(static_cast<std::int64_t>(current.min_interval_ms * 1000));
    event::attempt_endedT line;
    line.request = m_request.terms.id;
    line.attempt = current.number;
    line.endpoint = current.endpoint();
    line.outcome = outcome;
    line.status = status;
    line.cause = cause;
    line.elapsed_ms = to_u32(now - current.began);
    line.last_event = m_answer.last_event.value_or(0);
    line.last_event_age_ms = to_u32(last_event_age(current, now));
    line.named_limit = current.named_limit;
    event_log::write(line);
    m_context.counters.add("verbena_forward_attempt_ends_total",
                           {{"service", m_request.service->name}, {"outcome", outcome}});
    return end;
}

} // namespace verbena::forward
