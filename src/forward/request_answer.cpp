#include "forward/event_progress.h"
#include "forward/inactivity_limits.h"
#include "forward/request_forwarder.h"

#include <algorithm>

// How an answer of an endpoint reaches the caller.
namespace verbena::forward {

namespace {

constexpr std::size_t max_answer_bytes = 16ULL * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024 * 1024;

const std::string memory_limit_cause =
    "the answers of all requests exceed their memory, and this one is the largest of its endpoint";

} // namespace

std::unique_ptr<answer_memory::account> request_forwarder::open_account(const attempt_ptr& current)
{
    return std::make_unique<answer_memory::account>(
        m_context.memory, current->endpoint(),
        [executor = m_executor, call = current->call, weak = weak_from_this()] {
            net::asio::post(executor, [call, weak] {
                call->close();
                if (const auto self = weak.lock()) {
                    self->drop_failed_answer();
                }
            });
        });
}

void request_forwarder::drop_failed_answer()
{
    if (m_failed_answer_memory && m_failed_answer_memory->given_up()) {
        m_failed_answer.reset();
    }
}

net::task<request_forwarder::attempt_end> request_forwarder::relay_body(attempt_ptr current,
                                                                        const answer_metadata& head)
{
    net::http_response response;
    response.status = head.status;
    response.content_type = head.content_type;
    response.headers = head.headers;
    const inactivity_limits inactivity = plain_inactivity_limits();
    const auto extend = [self = shared_from_this(), current, inactivity] {
        return self->on_inactivity(current, inactivity.between_events);
    };
    auto held = open_account(current);
    const time_point first_check = clock::now() + inactivity.between_events;
    while (true) {
        const time_point limit = is_idempotent()
                                     ? std::min(answer_limit(), std::max(first_check, current->next_check))
                                     : answer_limit();
        const result<std::string> chunk = co_await current->call->read_some(limit, extend);
        if (!chunk) {
            current->connection_lost = chunk.error().kind != error_kind::timeout && !held->given_up();
            co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                     held->given_up() ? memory_limit_cause : chunk.error().message,
                                     attempt_health::failed);
        }
        if (chunk.value().empty()) {
            break;
        }
        append(response.body, chunk.value(), *held);
        // The timer of a read does not expire while bytes keep coming.
        const time_point now = clock::now();
        if (now >= answer_limit()) {
            co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                     "the answer was not complete before the deadline",
                                     attempt_health::failed);
        }
        // Nor do bytes that keep coming show that the answer ever ends.
        if (is_idempotent() && now >= std::max(first_check, current->next_check)) {
            on_inactivity(current, inactivity.between_events);
        }
        if (response.body.size() > max_answer_bytes || held->given_up()) {
            co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                     held->given_up() ? memory_limit_cause : "answer larger than 16 MiB",
                                     attempt_health::failed);
        }
    }
    // Nothing tells a success whose body is empty from one that was cut after its head.
    const bool good = head.status >= 200 && head.status < 300;
    const bool cut_after_head = good && response.body.empty() && current->call->ends_with_connection() &&
                                m_exchange.request().method != "HEAD";
    if (cut_after_head || co_await may_have_broken_off(current)) {
        current->connection_lost = true;
        co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                 cut_after_head
                                     ? "connection closed before the first byte of the body"
                                     : "the endpoint ended, or was not reached, at the end of the answer",
                                 attempt_health::failed);
    }
    if (head.status >= 500) {
        m_failed_answer = std::move(response);
        m_failed_answer_memory = std::move(held);
        co_return record_attempt(*current, attempt_end::failed_answer, "refused_by_endpoint", head.status, "",
                                 attempt_health::failed);
    }
    const bool answers = claim(current);
    const attempt_end end =
        record_attempt(*current, attempt_end::answered, "answered", head.status, "", attempt_health::good);
    if (!answers) {
        co_return end;
    }
    record_begun_answer();
    m_answer.first_event = clock::now();
    m_answer.started = true;
    const unsigned status = response.status;
    (void)co_await m_exchange.reply(std::move(response));
    record_end("done", status);
    co_return attempt_end::answered;
}

net::task<request_forwarder::attempt_end> request_forwarder::relay_events(attempt_ptr current,
                                                                          const answer_metadata& head)
{
    event_reader reader;
    const inactivity_limits inactivity =
        inactivity_limits_for(current->choice, m_request.route->max_pause, m_context.stall);
    event_progress progress(clock::now(), inactivity);
    const auto held = open_account(current);
    const auto extend = [self = shared_from_this(), current, inactivity] {
        return self->on_inactivity(current, inactivity.between_events);
    };
    while (true) {
        const time_point limit =
            is_idempotent() ? std::min(answer_limit(), std::max(progress.silent_at(), current->next_check))
                            : answer_limit();
        const result<std::string> chunk = co_await current->call->read_some(limit, extend);
        if (!chunk || (chunk.value().empty() && reader.pending_bytes() != 0)) {
            const bool silent =
                current->reservation_unused || (!chunk && chunk.error().kind == error_kind::timeout);
            current->connection_lost = !silent && !held->given_up();
            const std::string cause = held->given_up() ? memory_limit_cause
                                      : chunk          ? "connection closed in the middle of an event"
                                                       : chunk.error().message;
            co_return record_attempt(*current, attempt_end::may_have_run, silent ? "silent" : "broken",
                                     head.status, cause,
                                     silent ? attempt_health::unreachable : attempt_health::failed);
        }
        if (chunk.value().empty()) {
            break;
        }
        const std::size_t pending = reader.pending_bytes() + chunk.value().size();
        reader.feed(chunk.value());
        const attempt_end written = co_await write_events(reader, current, head);
        if (written != attempt_end::answered) {
            co_return record_attempt(*current, written, "caller_left", head.status, "",
                                     attempt_health::neutral);
        }
        progress.on_bytes(clock::now(), reader.pending_bytes() < pending);
        held->set(reader.allocated_bytes());
        const bool endless = is_idempotent() && progress.is_endless();
        if (endless || reader.pending_bytes() > max_event_bytes) {
            co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                     endless ? "event without an end" : "event larger than 1 MiB",
                                     attempt_health::failed);
        }
    }
    co_return co_await finish_events(current, head);
}

net::task<request_forwarder::attempt_end> request_forwarder::finish_events(attempt_ptr current,
                                                                           const answer_metadata& head)
{
    const bool empty = current->call->ends_with_connection() && !m_answer.started;
    if (empty || co_await may_have_broken_off(current)) {
        current->connection_lost = true;
        co_return record_attempt(*current, attempt_end::may_have_run, "broken", head.status,
                                 empty ? "connection closed before the first event"
                                       : "the endpoint ended, or was not reached, at the end of the answer",
                                 attempt_health::failed);
    }
    if (!claim(current)) {
        co_return record_attempt(*current, attempt_end::answered, "answered", head.status, "",
                                 attempt_health::good);
    }
    if (!m_answer.started) {
        m_answer.started = true;
        (void)co_await m_exchange.start_stream(head.status, head.content_type, head.headers);
    }
    const result<void> finished = co_await m_exchange.finish();
    const attempt_end end = record_attempt(*current, attempt_end::answered, "answered", head.status,
                                           finished ? "" : finished.error().message, attempt_health::good);
    record_end("done", head.status);
    co_return end;
}

net::task<request_forwarder::attempt_end>
request_forwarder::write_events(event_reader& reader, attempt_ptr current, const answer_metadata& head)
{
    while (const std::optional<stream_event> event = reader.next()) {
        // A resumed run may repeat the event after which it was asked to resume.
        if (event->id && m_answer.last_event && *event->id <= *m_answer.last_event) {
            continue;
        }
        if (!claim(current)) {
            co_return current->superseded ? attempt_end::superseded : attempt_end::caller_left;
        }
        if (!co_await write_event(*event, current, head)) {
            m_caller_left = true;
            co_return attempt_end::caller_left;
        }
    }
    co_return attempt_end::answered;
}

void request_forwarder::record_begun_answer()
{
    if (m_context.usage != nullptr) {
        m_context.usage->record(m_request.team, clock::now(), node::usage_counter::wall_now());
    }
    if (!m_request.terms.shared_parts.empty()) {
        m_context.endpoints.record_answer(m_request.terms.shared_parts, m_request.terms.id, clock::now());
    }
}

net::task<bool> request_forwarder::write_event(const stream_event& event, attempt_ptr current,
                                               const answer_metadata& head)
{
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
    if (current->last_event_at == time_point{}) {
        m_context.endpoints.record_first_event(current->choice.number, now);
    } else {
        const double interval =
            std::chrono::duration<double, std::milli>(now - current->last_event_at).count();
        if (interval > 1 && (current->min_interval_ms <= 0 || interval < current->min_interval_ms)) {
            current->min_interval_ms = interval;
        }
    }
    current->last_event_at = now;
    m_last_event_at = now;
    // Counted before the write is complete: another attempt must not write the event again.
    ++m_answer.events;
    m_answer.resumable = event.id.has_value() || (m_answer.resumable && !event.has_data);
    if (event.id) {
        m_answer.last_event = event.id;
    }
    const result<void> written = co_await m_exchange.write(event.text);
    co_return written.has_value();
}

} // namespace verbena::forward
