#include "base/event_log.h"
#include "forward/fleet_detail.h"
#include "forward/part_names.h"
#include "forward/request_forwarder.h"

#include <algorithm>

namespace verbena::forward {

using detail::to_u32;

namespace {

// Bounds of the retry-after time of a refusal.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{3'000};

// Callers honour a retry-after time of up to one third of the time they have left.
constexpr int retry_after_divisor = 3;

} // namespace

net::task<void> request_forwarder::finish(attempt_end end)
{
    if (end == attempt_end::answered) {
        co_return;
    }
    if (end == attempt_end::caller_left || m_caller_left) {
        record_end("caller_left", 0);
        co_return;
    }
    if (m_answer.started) {
        // The stream is not finished, so the caller can tell that the answer is incomplete.
        record_end("broken", 0);
        co_return;
    }
    if (m_failed_answer) {
        const unsigned status = m_failed_answer->status;
        (void)co_await m_exchange.reply(std::move(*m_failed_answer));
        record_end("failed_answer", status);
        co_return;
    }
    if (!m_may_have_run) {
        const dispatch_refusal refusal;
        co_await refuse(503, m_stopped ? "stopping" : "not_run",
                        m_stopped ? min_retry_after : retry_after_time(refusal, clock::now()));
        co_return;
    }
    if (m_stopped) {
        co_await refuse(502, "stopping", milliseconds::zero());
        co_return;
    }
    const bool late = clock::now() >= answer_limit();
    co_await refuse(late ? 504 : 502, late ? "deadline" : "may_have_run", milliseconds::zero());
}

// Adds jitter, so that callers refused together return spread over the time in which endpoints become free.
milliseconds request_forwarder::retry_after_time(const dispatch_refusal& refusal, time_point now)
{
    const bool knows_when = refusal.why == dispatch_refusal::reason::rate_limited ||
                            refusal.why == dispatch_refusal::reason::no_slot;
    if (refusal.retry_after > milliseconds::zero() && !knows_when) {
        std::uniform_real_distribution<double> later(1, 1.25);
        return std::chrono::duration_cast<milliseconds>(refusal.retry_after * later(m_random));
    }
    const milliseconds over =
        knows_when ? refusal.retry_after : refusal.predicted - m_request.route->objective;
    const milliseconds base = std::clamp(over, min_retry_after, max_retry_after);
    std::uniform_real_distribution<double> spread(0.75, 1.5);
    const auto drawn = std::chrono::duration_cast<milliseconds>(base * spread(m_random));
    return std::min(drawn, time_left(now) / retry_after_divisor);
}

net::task<void> request_forwarder::refuse_dispatch(const dispatch_refusal& refusal)
{
    if (m_answer.started) {
        log_refusal(0, to_string(refusal.why), milliseconds::zero(), refusal);
        record_end("broken", 0);
        co_return;
    }
    if (m_failed_answer) {
        co_await finish(attempt_end::failed_answer);
        co_return;
    }
    if (m_may_have_run) {
        co_await refuse(502, to_string(refusal.why), milliseconds::zero(), refusal);
        co_return;
    }
    co_await refuse(503, to_string(refusal.why), retry_after_time(refusal, clock::now()), refusal);
}

void request_forwarder::log_refusal(unsigned status, const std::string& reason, milliseconds retry_after,
                                    const dispatch_refusal& refusal)
{
    const time_point now = clock::now();
    event::refusedT line;
    line.request = m_request.terms.id;
    line.route = m_request.route->name;
    line.team = m_request.team;
    line.status = status;
    line.reason = reason;
    line.retry_after_ms = to_u32(retry_after);
    line.usable = static_cast<std::uint32_t>(m_context.endpoints.usable_count(m_request.service->name, now));
    line.predicted_ms = to_u32(refusal.predicted);
    line.attempts = m_attempts;
    line.may_have_run = m_may_have_run;
    line.config_version = m_request.config_version;
    line.config_age_ms = to_u32(m_request.config_age);
    line.chosen_by = m_chosen_by;
    if (refusal.part != 0) {
        line.prompt_part = part_name(refusal.part);
    }
    event_log::write(line);
}

// Like an entry that has no confirmed configuration when a request arrives.
net::task<void> request_forwarder::refuse_unconfirmed()
{
    if (m_may_have_run) {
        co_await refuse(502, "not_ready", milliseconds::zero());
        co_return;
    }
    co_await refuse(503, "not_ready", min_retry_after);
}

net::task<void> request_forwarder::refuse(unsigned status, const std::string& reason,
                                          milliseconds retry_after, const dispatch_refusal& refusal)
{
    if (m_answer.started || m_caller_left) {
        record_end(m_caller_left ? "caller_left" : "broken", 0);
        co_return;
    }
    log_refusal(status, reason, retry_after, refusal);
    m_context.counters.add("verbena_forward_refusals_total",
                           {{"team", m_request.team}, {"route", m_request.route->name}, {"reason", reason}});
    std::string message = m_may_have_run ? "the request may have run" : "the request has not run";
    if (refusal.why == dispatch_refusal::reason::crashing_prompt) {
        message += "; endpoints crash under the part " + part_name(refusal.part) +
                   " of its prompt: send it without that part";
    }
    net::http_response response = m_context.protocol.refusal(status, reason, message, retry_after);
    (void)co_await m_exchange.reply(std::move(response));
    record_end("refused", status);
}

void request_forwarder::log_cut() const
{
    const time_point now = clock::now();
    event::request_cutT line;
    line.request = m_request.terms.id;
    line.answer_started = m_answer.started;
    line.last_event = m_answer.last_event.value_or(0);
    line.total_ms = to_u32(now - m_request.arrived);
    for (const attempt_ptr& current : m_open) {
        line.attempt = current->number;
        line.endpoint = current->endpoint();
        line.last_event_age_ms = to_u32(last_event_age(*current, now));
        event_log::write(line);
    }
    if (m_open.empty()) {
        event_log::write(line);
    }
}

void request_forwarder::record_end(const char* outcome, unsigned status)
{
    const time_point now = clock::now();
    event::request_endedT line;
    line.request = m_request.terms.id;
    line.route = m_request.route->name;
    line.team = m_request.team;
    line.outcome = outcome;
    line.status = status;
    line.attempts = m_attempts;
    line.events = m_answer.events;
    line.first_event_ms = m_answer.first_event ? to_u32(*m_answer.first_event - m_request.arrived) : 0;
    line.total_ms = to_u32(now - m_request.arrived);
    line.stopping = m_context.stopping;
    event_log::write(line);
    const metric_labels labels{{"team", m_request.team}, {"route", m_request.route->name}, {"end", outcome}};
    m_context.counters.add("verbena_forward_requests_total", labels);
    m_context.counters.observe("verbena_forward_request_seconds",
                               {{"team", m_request.team}, {"route", m_request.route->name}},
                               now - m_request.arrived);
}

} // namespace verbena::forward
