#include "entry/key_dispatcher.h"

#include <xxhash.h>

namespace verbena::entry {

namespace {

// Time after the bind call was sent in which the attempt may be dispatched. The agent refuses it later.
constexpr milliseconds dispatch_window{10'000};

constexpr milliseconds key_call_timeout{5'000};
constexpr milliseconds query_timeout{1'000};
constexpr milliseconds follow_poll_interval{100};

// Consecutive unanswered attempt queries after which the outcome is reported as unknown.
constexpr int max_unanswered_queries = 5;

constexpr std::size_t max_binds = 4;

std::unique_ptr<wire::request_id> to_wire(const request_id& id)
{
    return std::make_unique<wire::request_id>(id.high, id.low);
}

std::uint64_t fingerprint_of(const caller_request& request)
{
    const std::string text = request.method + ' ' + request.path + '\n' + request.body;
    return XXH3_64bits(text.data(), text.size());
}

caller_error key_error(unsigned status, const char* type, const char* message, const char* remedy,
                       attempt_outcome outcome)
{
    return caller_error{status, type, message, remedy, outcome, milliseconds(0)};
}

} // namespace

key_dispatcher::key_dispatcher(attempt_client& attempts, endpoint_selector& selector,
                               node::control_client& control, std::shared_ptr<net::peer_pool> pool,
                               metrics& counters)
    : m_attempts(attempts), m_selector(selector), m_control(control), m_pool(std::move(pool)),
      m_metrics(counters)
{
}

key_dispatcher::step key_dispatcher::unknown_outcome(const std::string& reason) const
{
    step failed;
    failed.failure =
        caller_error{409,
                     "outcome_unknown",
                     "an earlier attempt may have run: " + reason,
                     "check whether the call took effect; if not, send the request with a new key",
                     attempt_outcome::unknown,
                     milliseconds(0)};
    return failed;
}

key_dispatcher::step key_dispatcher::handle_bind_reply(const caller_request& request,
                                                       const wire::key_replyT& reply,
                                                       const bound_attempt& proposed, buffered_answer& answer,
                                                       bool& bound_here)
{
    step next;
    switch (reply.state) {
    case wire::key_state::bound:
        bound_here = true;
        next.action = step::kind::follow;
        next.bound = proposed;
        return next;
    case wire::key_state::bound_elsewhere:
    case wire::key_state::conflict:
        next.action = step::kind::follow;
        if (reply.id != nullptr) {
            next.bound.id = attempt_id{request_id{reply.id->high(), reply.id->low()}, reply.attempt};
        }
        next.bound.endpoint = reply.endpoint;
        next.bound.agent = reply.agent_incarnation;
        return next;
    case wire::key_state::finished:
        m_metrics.add("verbena_entry_key_replays_total", {{"team", request.team}});
        answer.reset();
        answer.head(reply.status, reply.content_type);
        next.action = step::kind::finished;
        next.bound.id.number = 0;
        return next;
    case wire::key_state::key_reused:
        next.failure = key_error(409, "key_reused", "idempotency key already used for another request",
                                 "send each request with a unique key", attempt_outcome::unknown);
        return next;
    case wire::key_state::key_expired:
        next.failure = key_error(409, "key_expired", "idempotency key expired or issued in the future",
                                 "check whether an earlier call with this key took effect; if not, send the "
                                 "request with a new key",
                                 attempt_outcome::unknown);
        return next;
    case wire::key_state::unavailable:
        // A control member also replies this when it cannot read the reply of the log, so it proves nothing
        // about the key.
        next.failure = caller_error{503,
                                    "key_table_full",
                                    "idempotency key table full or unavailable",
                                    "send the request again with the same key",
                                    attempt_outcome::unknown,
                                    milliseconds(5'000)};
        return next;
    default:
        // The state of the key is not known, so an earlier call with it may have run.
        next.failure = caller_error{503,
                                    "control_unavailable",
                                    "idempotency key could not be recorded",
                                    "send the request again with the same key",
                                    attempt_outcome::unknown,
                                    milliseconds(1'000)};
        return next;
    }
}

wire::key_bindT key_dispatcher::make_bind(const caller_request& request, const bound_attempt& proposed) const
{
    wire::key_bindT bind;
    bind.team = request.team;
    bind.key = request.key;
    bind.fingerprint = fingerprint_of(request);
    bind.id = to_wire(proposed.id.request);
    bind.attempt = proposed.id.number;
    bind.endpoint = proposed.endpoint;
    bind.agent_incarnation = proposed.agent;
    return bind;
}

net::task<bool> key_dispatcher::still_bound(const caller_request& request, const bound_attempt& last)
{
    auto reply = co_await m_control.call_key(net::make_frame(make_bind(request, last)), key_call_timeout);
    co_return reply.has_value() && reply.value().state == wire::key_state::bound;
}

net::task<key_dispatcher::step> key_dispatcher::bind(const caller_request& request,
                                                     const chosen_endpoint& endpoint, std::uint32_t number,
                                                     std::optional<bound_attempt> replaced,
                                                     buffered_answer& answer)
{
    const time_point window_start = clock::now();
    const bound_attempt proposed{attempt_id{request.id, number}, endpoint.name, endpoint.agent};
    wire::key_bindT bind = make_bind(request, proposed);
    if (replaced) {
        bind.replaces = true;
        bind.replaces_id = to_wire(replaced->id.request);
        bind.replaces_attempt = replaced->id.number;
    }
    const auto time_left = std::chrono::duration_cast<milliseconds>(request.deadline - clock::now());
    wire::key_replyT reply;
    reply.state = wire::key_state::not_leader;
    auto call_result =
        co_await m_control.call_key(net::make_frame(std::move(bind)), std::min(time_left, key_call_timeout));
    if (call_result) {
        reply = std::move(call_result.value());
    }
    bool bound_here = false;
    step next = handle_bind_reply(request, reply, proposed, answer, bound_here);
    if (next.action == step::kind::finished) {
        std::string recorded(reply.answer.begin(), reply.answer.end());
        const result<void> stored = co_await answer.data(std::move(recorded));
        if (!stored) {
            co_return unknown_outcome(stored.error().message);
        }
    }
    if (bound_here) {
        co_return co_await dispatch(request, endpoint, proposed, window_start, answer);
    }
    co_return next;
}

net::task<key_dispatcher::step> key_dispatcher::dispatch(const caller_request& request,
                                                         const chosen_endpoint& endpoint,
                                                         const bound_attempt& bound, time_point window_start,
                                                         buffered_answer& answer)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - window_start);
    step next;
    next.bound = bound;
    if (elapsed >= dispatch_window) {
        // Nothing has been or will be sent for this attempt, so it did not run.
        next.action = step::kind::rebind;
        co_return next;
    }
    m_selector.started(endpoint.name, request);
    // Not cancelled when the caller disconnects, so that the outcome of the attempt is recorded.
    auto cancellation = std::make_shared<request_cancellation>();
    const attempt_result end = co_await m_attempts.run(request, endpoint, bound.id.number,
                                                       dispatch_window - elapsed, answer, cancellation);
    m_selector.finished(endpoint.name, request, to_attempt_end(end), clock::now(), end.answering);
    if (end.outcome == attempt_outcome::done) {
        co_await finish(request, bound, answer);
        next.action = step::kind::finished;
    } else if (end.outcome == attempt_outcome::not_run) {
        next.action = step::kind::rebind;
        next.failure = make_failure(request, &end, false);
    } else {
        next.action = step::kind::follow;
    }
    co_return next;
}

net::task<void> key_dispatcher::finish(const caller_request& request, const bound_attempt& bound,
                                       const buffered_answer& answer)
{
    wire::key_finishT finish;
    finish.team = request.team;
    finish.key = request.key;
    finish.id = to_wire(bound.id.request);
    finish.attempt = bound.id.number;
    finish.status = static_cast<std::uint16_t>(answer.status());
    finish.content_type = answer.content_type();
    finish.answer.assign(answer.body().begin(), answer.body().end());
    const auto reply = co_await m_control.call_key(net::make_frame(std::move(finish)), key_call_timeout);
    if (!reply) {
        // The caller still gets the response; a resend gets the outcome from the agent.
        m_metrics.add("verbena_entry_key_finish_failures_total", {});
    }
}

net::task<result<wire::attempt_stateT>> key_dispatcher::query(const bound_attempt& bound, host_port address)
{
    auto opened = co_await m_pool->open_stream(std::move(address), query_timeout);
    if (!opened) {
        co_return opened.error();
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    const net::stream_guard guard(stream);
    wire::attempt_queryT message;
    message.id = to_wire(bound.id.request);
    message.attempt = bound.id.number;
    message.agent_incarnation = bound.agent;
    stream->send(net::make_frame(std::move(message)));
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    node::close_after(timer, stream, query_timeout);
    while (true) {
        const result<net::received_frame> answer = co_await stream->receive();
        if (!answer) {
            timer.cancel();
            co_return answer.error();
        }
        const wire::attempt_state* state = answer.value().frame->message_as_attempt_state();
        // The state of another attempt would make this one count as not run, or pass on a foreign answer.
        if (state != nullptr && state->id() != nullptr &&
            attempt_id{request_id{state->id()->high(), state->id()->low()}, state->attempt()} == bound.id) {
            timer.cancel();
            wire::attempt_stateT unpacked;
            state->UnPackTo(&unpacked);
            co_return unpacked;
        }
        m_metrics.add("verbena_entry_dropped_messages_total",
                      {{"reason", state == nullptr ? "unexpected_message" : "other_attempt"}});
    }
}

// Queries the agent until the attempt has ended or its outcome cannot be determined.
net::task<key_dispatcher::step> key_dispatcher::follow(const caller_request& request, bound_attempt bound,
                                                       buffered_answer& answer)
{
    step next;
    next.bound = bound;
    int unanswered = 0;
    while (clock::now() < request.deadline) {
        const std::optional<chosen_endpoint> endpoint = m_selector.find(bound.endpoint);
        result<wire::attempt_stateT> state = make_error(error_kind::unavailable, "unknown endpoint");
        if (endpoint) {
            state = co_await query(bound, endpoint->address);
        }
        if (!state) {
            if (++unanswered >= max_unanswered_queries) {
                co_return unknown_outcome("the endpoint does not respond");
            }
            co_await net::sleep_for(follow_poll_interval * unanswered);
            continue;
        }
        unanswered = 0;
        const wire::attempt_stateT& found = state.value();
        if (found.phase == wire::attempt_phase::done) {
            answer.reset();
            answer.head(found.status, found.content_type);
            std::string bytes(found.answer.begin(), found.answer.end());
            (void)co_await answer.data(std::move(bytes));
            co_await finish(request, bound, answer);
            next.action = step::kind::finished;
            co_return next;
        }
        if (found.not_run) {
            next.action = step::kind::rebind;
            co_return next;
        }
        if (found.phase == wire::attempt_phase::wrong_incarnation ||
            found.phase == wire::attempt_phase::failed) {
            co_return unknown_outcome("the endpoint restarted or the attempt failed there");
        }
        co_await net::sleep_for(follow_poll_interval);
    }
    next.failure = caller_error{504,
                                "deadline",
                                "deadline exceeded: the attempt is still running",
                                "send the request again with the same key",
                                attempt_outcome::unknown,
                                milliseconds(1'000)};
    co_return next;
}

net::task<dispatch_result> key_dispatcher::run(const caller_request& request, buffered_answer& answer,
                                               std::shared_ptr<request_cancellation> cancellation)
{
    dispatch_result outcome;
    std::vector<std::string> tried;
    std::optional<bound_attempt> replaced;
    caller_error last_failure = make_failure(request, nullptr, false);
    m_selector.count_request(request, clock::now());
    for (std::uint32_t number = 1; number <= max_binds && !cancellation->cancelled(); ++number) {
        const std::optional<chosen_endpoint> endpoint = m_selector.pick(request, tried, clock::now());
        if (!endpoint) {
            break;
        }
        step next = co_await bind(request, *endpoint, number, replaced, answer);
        if (next.action == step::kind::follow) {
            next = co_await follow(request, next.bound, answer);
        }
        if (next.action == step::kind::finished) {
            outcome.done = true;
            co_return outcome;
        }
        if (next.action == step::kind::failed) {
            outcome.failure = next.failure;
            co_return outcome;
        }
        replaced = next.bound;
        last_failure = next.failure.type.empty() ? make_failure(request, nullptr, false) : next.failure;
        tried.push_back(endpoint->name);
        answer.reset();
    }
    // The request is proved not to have run only while the key is bound to this entry's last attempt: without
    // a bind nothing is known about earlier calls with this key, and another entry may have rebound it.
    const bool not_run_proved = replaced && co_await still_bound(request, *replaced);
    last_failure.outcome = not_run_proved ? attempt_outcome::not_run : attempt_outcome::unknown;
    last_failure.remedy = "send the request again with the same key";
    outcome.failure = last_failure;
    co_return outcome;
}

} // namespace verbena::entry
