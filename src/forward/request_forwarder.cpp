#include "forward/request_forwarder.h"

#include "base/event_log.h"
#include "forward/fleet_detail.h"

#include <algorithm>
#include <utility>

namespace verbena::forward {

using detail::to_u32;

namespace {

// Bound on all attempts of a request, including those that have not run: they cost little, but an outage must
// not make a request retry until its deadline.
constexpr std::uint32_t max_total_attempts = 8;

// The caller of a stream disconnects after the longest of these times without an event.
constexpr milliseconds min_disconnect_time{2'000};
constexpr int disconnect_in_objectives = 4;
constexpr int disconnect_in_pauses = 8;

// A caller leaves at its deadline. What ends a request without an answer has to reach it before, also from a
// machine that is short of processor time.
constexpr milliseconds max_refusal_time{50};

// How often an answer that waits for the retry budget, or for the configuration to be confirmed, tries again.
constexpr milliseconds retry_poll_interval{20};

// The same for one that waits for an endpoint.
constexpr milliseconds endpoint_poll_interval{100};

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

time_point request_forwarder::answer_limit() const
{
    if (m_answer.started) {
        return m_request.deadline;
    }
    return m_request.deadline -
           std::min<clock::duration>(max_refusal_time, (m_request.deadline - m_request.arrived) / 20);
}

milliseconds request_forwarder::disconnect_time() const
{
    const route::route_rule& route = *m_request.route;
    return std::max({min_disconnect_time, route.objective * disconnect_in_objectives,
                     route.max_pause * disconnect_in_pauses});
}

time_point request_forwarder::resume_limit() const
{
    return std::min(m_request.deadline, m_last_event_at + disconnect_time());
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
        model.disconnect_after = disconnect_time();
    }
    // Once an answer has started, its objective is the pause between events, counted from the last event.
    model.objective = resumes() ? std::max(route.max_pause, milliseconds(1)) : route.objective;
    model.used =
        std::chrono::duration_cast<milliseconds>(now - (resumes() ? m_last_event_at : m_request.arrived));
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
    for (const attempt_ptr& current : m_open) {
        if (current->call) {
            current->call->close();
        }
    }
    if (m_change) {
        m_change->cancel();
    }
}

void request_forwarder::end_for_stop()
{
    if (m_answer.started || m_answering || m_caller_left) {
        return;
    }
    m_stopped = true;
    m_choice_call->cancel();
    for (const attempt_ptr& current : m_open) {
        m_may_have_run = m_may_have_run || current->sent;
        if (current->call) {
            current->call->close();
        }
    }
    m_change->cancel();
}

net::task<void> request_forwarder::run(net::asio::any_io_executor executor)
{
    m_executor = executor;
    m_change.emplace(executor);
    budget().record_request(m_request.service->name, clock::now());
    while (!m_caller_left) {
        const time_point now = clock::now();
        if (now >= answer_limit()) {
            co_await refuse(m_may_have_run ? 504 : 503, "deadline", milliseconds::zero());
            co_return;
        }
        const dispatch_result found = co_await choose_endpoints(
            resumes() ? resume_limit() : objective_end(),
            m_awaits_grant ? wire::attempt_kind::repeat_lost : wire::attempt_kind::counted);
        if (m_caller_left) {
            break;
        }
        if (m_stopped) {
            if (found.choice) {
                m_context.endpoints.record_end(found.choice->number, clock::now());
            }
            co_await finish(attempt_end::not_run);
            co_return;
        }
        if (!found.choice) {
            if (co_await await_endpoint(found.refusal)) {
                continue;
            }
            if (found.refusal.why == dispatch_refusal::reason::retry_budget) {
                count_repeat(policy::retry_cause::lost, "refused");
                co_await end_without_budget();
            } else {
                co_await refuse_dispatch(found.refusal);
            }
            co_return;
        }
        if (!confirm(*found.choice)) {
            if (resumes() && clock::now() + retry_poll_interval < resume_limit()) {
                co_await net::sleep_for(retry_poll_interval);
                continue;
            }
            co_await refuse_unconfirmed();
            co_return;
        }
        if (m_awaits_grant && !draw_on_budget(found, policy::retry_cause::lost)) {
            m_context.endpoints.record_end(found.choice->number, clock::now());
            if (resumes() && clock::now() + endpoint_poll_interval < resume_limit()) {
                co_await net::sleep_for(endpoint_poll_interval);
                continue;
            }
            co_await end_without_budget();
            co_return;
        }
        start_attempt(*found.choice);
        const attempt_end end = co_await await_attempts();
        const bool ended = end == attempt_end::answered || end == attempt_end::caller_left;
        if (ended || !co_await may_retry(end)) {
            co_await finish(end);
            co_return;
        }
    }
    record_end("caller_left", 0);
}

bool request_forwarder::is_granted_by_scheduler() const
{
    const std::optional<route::engine_rule>& engine = m_request.service->engine;
    return m_context.own_budget != nullptr && engine && policy::slots_are_scarce(*engine);
}

shared_retry_budget& request_forwarder::budget() const
{
    return is_granted_by_scheduler() ? *m_context.own_budget : m_context.budget;
}

bool request_forwarder::draw_on_budget(const dispatch_result& found, policy::retry_cause cause)
{
    const std::string& service = m_request.service->name;
    if (found.repeat_granted) {
        budget().record_retry(service, clock::now());
        count_repeat(cause, "granted");
        return true;
    }
    // Silent attempts need not leave anything to lost answers where a scheduler usually decides.
    const policy::retry_cause counted = is_granted_by_scheduler() ? policy::retry_cause::lost : cause;
    const bool allowed = budget().try_retry(service, clock::now(), counted);
    count_repeat(cause, allowed ? "own" : "refused");
    return allowed;
}

void request_forwarder::count_repeat(policy::retry_cause cause, const char* decision) const
{
    m_context.counters.add("verbena_forward_repeats_total",
                           {{"service", m_request.service->name},
                            {"cause", cause == policy::retry_cause::lost ? "lost" : "silent"},
                            {"decision", decision}});
}

net::task<void> request_forwarder::end_without_budget()
{
    event_log::write(event::retry_refusedT{{},
                                           m_request.terms.id,
                                           m_attempts,
                                           "retry_budget",
                                           m_answer.last_event.value_or(0),
                                           to_u32(time_left(clock::now()))});
    co_await finish(m_last_end);
}

net::task<dispatch_result> request_forwarder::choose_endpoints(time_point wait_end, wire::attempt_kind kind)
{
    const time_point now = clock::now();
    dispatch_request request = make_dispatch_request(now);
    if (is_granted_by_scheduler()) {
        request.attempt = kind;
        request.recent = budget().statement(m_request.service->name, now);
    }
    if (request.attempt == wire::attempt_kind::repeat_silent) {
        for (const attempt_ptr& current : m_open) {
            request.silent.insert(current->endpoint());
        }
    }
    request.answer_started = m_answer.started;
    const auto wait_limit = std::chrono::duration_cast<milliseconds>(wait_end - now);
    request.may_wait = wait_limit > milliseconds::zero();
    m_choice_call = std::make_shared<choice_call>();
    dispatch_result found =
        co_await m_context.scheduler.choose(std::move(request), wait_limit, m_choice_call);
    m_chosen_by = found.chosen_by;
    co_return found;
}

net::task<bool> request_forwarder::await_endpoint(const dispatch_refusal& refusal)
{
    const time_point next = clock::now() + endpoint_poll_interval;
    const bool may_change = refusal.why == dispatch_refusal::reason::no_endpoint ||
                            refusal.why == dispatch_refusal::reason::rate_limited ||
                            refusal.why == dispatch_refusal::reason::retry_budget;
    if (!may_change || !resumes() || next >= resume_limit()) {
        co_return false;
    }
    // An endpoint that was full may have room by then.
    for (const std::string& name : std::exchange(m_refused_by, {})) {
        m_excluded.erase(name);
    }
    if (!m_context.endpoints.has_endpoint_left(m_request.service->name, m_excluded, clock::now())) {
        co_return false;
    }
    co_await net::sleep_for(endpoint_poll_interval);
    co_return true;
}

bool request_forwarder::confirm(const dispatch_choice& choice)
{
    // This process may have been suspended, or the request may have waited for long.
    const bool confirmed = !m_context.may_send || m_context.may_send(clock::now());
    if (!confirmed) {
        m_context.endpoints.record_end(choice.number, clock::now());
    }
    return confirmed;
}

const char* request_forwarder::reason_against_attempt(attempt_end end, time_point now) const
{
    if (m_caller_left) {
        return "caller_left";
    }
    if (m_stopped) {
        return "stopping";
    }
    if (now >= answer_limit()) {
        return "deadline";
    }
    if (end != attempt_end::not_run && !is_idempotent()) {
        return "not_idempotent";
    }
    if (m_answer.started && !m_answer.resumable) {
        return "events_without_ids";
    }
    const bool attempts_left =
        m_attempts < max_total_attempts && m_possible_runs < m_request.route->max_attempts;
    return attempts_left ? nullptr : "max_attempts";
}

net::task<bool> request_forwarder::may_retry(attempt_end end)
{
    const time_point begin = clock::now();
    time_point now = begin;
    const char* reason = reason_against_attempt(end, now);
    // Only an attempt after one that may have reached an endpoint counts as a retry.
    const bool counts = m_reached_endpoint;
    m_awaits_grant = false;
    while (reason == nullptr && counts &&
           !budget().try_retry(m_request.service->name, now, policy::retry_cause::lost)) {
        if (is_granted_by_scheduler()) {
            m_awaits_grant = true;
            break;
        }
        if (!resumes() || now + retry_poll_interval >= resume_limit()) {
            reason = "retry_budget";
            count_repeat(policy::retry_cause::lost, "refused");
            break;
        }
        co_await net::sleep_for(retry_poll_interval);
        now = clock::now();
        reason = reason_against_attempt(end, now);
    }
    const std::uint64_t last_event = m_answer.last_event.value_or(0);
    if (reason == nullptr && counts && !m_awaits_grant) {
        count_repeat(policy::retry_cause::lost, "own");
    }
    if (reason != nullptr) {
        event_log::write(event::retry_refusedT{
            {}, m_request.terms.id, m_attempts, reason, last_event, to_u32(time_left(now))});
        co_return false;
    }
    if (now != begin) {
        const auto waited = std::chrono::duration_cast<milliseconds>(now - begin);
        event_log::write(event::retry_delayedT{
            {}, m_request.terms.id, m_attempts, last_event, to_u32(waited), to_u32(time_left(now))});
    }
    co_return true;
}

void request_forwarder::start_attempt(dispatch_choice choice)
{
    auto current = std::make_shared<attempt>();
    current->choice = std::move(choice);
    current->number = ++m_attempts;
    current->began = clock::now();
    m_open.push_back(current);
    net::asio::co_spawn(
        m_executor, [self = shared_from_this(), current] { return self->run_attempt(current); },
        [self = shared_from_this(), current](const std::exception_ptr& failure) {
            if (failure) {
                self->abandon_attempt(current);
            }
        });
}

net::task<request_forwarder::attempt_end> request_forwarder::await_attempts()
{
    // Without an answering attempt none uses the exchange, so that the open ones may outlive it.
    while (!m_answered && !m_open.empty() && (!(m_caller_left || m_stopped) || m_answering)) {
        if (std::exchange(m_silence_noticed, false) && !m_caller_left) {
            co_await ask_another();
            continue;
        }
        m_change->expires_at(time_point::max());
        co_await m_change->async_wait(net::no_throw);
    }
    if (m_answered) {
        co_return attempt_end::answered;
    }
    co_return m_caller_left ? attempt_end::caller_left : m_last_end;
}

void request_forwarder::end_attempt(const attempt_ptr& current, attempt_end end)
{
    if (current->sent) {
        m_reached_endpoint = true;
        if (end == attempt_end::not_run) {
            --m_possible_runs;
            m_refused_by.insert(current->endpoint());
        } else {
            m_may_have_run = true;
        }
    }
    if (end != attempt_end::answered) {
        m_excluded.insert(current->endpoint());
    }
    std::erase(m_open, current);
    if (m_answering == current) {
        m_answering = nullptr;
    }
    if (end != attempt_end::superseded) {
        m_last_end = end;
    }
    m_answered = m_answered || end == attempt_end::answered;
    m_change->cancel();
}

void request_forwarder::abandon_attempt(const attempt_ptr& current)
{
    if (current->call) {
        current->call->close();
    }
    if (current->reservation) {
        current->reservation->release(m_executor);
    }
    m_context.endpoints.record_end(current->choice.number, clock::now());
    end_attempt(current, attempt_end::may_have_run);
}

bool request_forwarder::claim(const attempt_ptr& current)
{
    if (current->superseded || m_caller_left || m_stopped) {
        return false;
    }
    current->silent = false;
    current->next_check = time_point{};
    if (m_answering == current) {
        return true;
    }
    m_answering = current;
    for (const attempt_ptr& other : m_open) {
        if (other != current) {
            other->superseded = true;
            if (other->call) {
                other->call->close();
            }
        }
    }
    if (m_choosing_another) {
        m_choice_call->cancel();
    }
    return true;
}

void request_forwarder::on_silence(const attempt_ptr& current)
{
    current->silent = true;
    m_excluded.insert(current->endpoint());
    if (!current->silence_recorded) {
        current->silence_recorded = true;
        record_silence(*current);
    }
    if (m_answering == current) {
        m_answering = nullptr;
    }
    m_silence_noticed = true;
    m_change->cancel();
}

void request_forwarder::record_silence(const attempt& current)
{
    const time_point now = clock::now();
    const bool stalled = current.call && current.call->has_begun() && current.last_event_at == time_point{};
    if (stalled && !current.choice.has_reservation()) {
        // The attempt may stay open until the deadline, and the other entries must know before.
        attempt_report report;
        report.health = attempt_health::stalled;
        m_context.endpoints.record_end(current.choice.number, now, report);
        return;
    }
    m_context.endpoints.record_health(current.endpoint(),
                                      stalled ? attempt_health::stalled : attempt_health::unreachable, now);
}

net::task<void> request_forwarder::ask_another()
{
    const auto is_silent = [](const attempt_ptr& current) { return current->silent; };
    const auto all_silent = [this, is_silent] {
        return !m_open.empty() && std::all_of(m_open.begin(), m_open.end(), is_silent);
    };
    if (!all_silent()) {
        co_return;
    }
    if (const char* reason = reason_against_attempt(attempt_end::may_have_run, clock::now())) {
        log_silence(reason);
        co_return;
    }
    m_choosing_another = true;
    const dispatch_result found =
        co_await choose_endpoints(objective_end(), wire::attempt_kind::repeat_silent);
    m_choosing_another = false;
    if (m_caller_left || m_answered || !all_silent()) {
        if (found.choice) {
            m_context.endpoints.record_end(found.choice->number, clock::now());
        }
        co_return;
    }
    if (!found.choice) {
        if (found.refusal.why == dispatch_refusal::reason::retry_budget) {
            count_repeat(policy::retry_cause::silent, "refused");
        }
        log_silence(to_string(found.refusal.why));
        co_return;
    }
    if (!confirm(*found.choice)) {
        log_silence("not_ready");
        co_return;
    }
    if (!draw_on_budget(found, policy::retry_cause::silent)) {
        m_context.endpoints.record_end(found.choice->number, clock::now());
        log_silence("retry_budget");
        co_return;
    }
    log_silence("asked_another");
    start_attempt(*found.choice);
}

void request_forwarder::log_silence(const std::string& decision) const
{
    const time_point now = clock::now();
    for (const attempt_ptr& current : m_open) {
        event::attempt_silentT line;
        line.request = m_request.terms.id;
        line.attempt = current->number;
        line.endpoint = current->endpoint();
        line.silent_ms = to_u32(last_event_age(*current, now));
        line.last_event = m_answer.last_event.value_or(0);
        line.decision = decision;
        line.time_left_ms = to_u32(time_left(now));
        line.begun = current->call && current->call->has_begun();
        event_log::write(line);
    }
    m_context.counters.add("verbena_forward_silences_total",
                           {{"service", m_request.service->name}, {"decision", decision}});
}

} // namespace verbena::forward
