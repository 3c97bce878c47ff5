#include "entry/dispatcher.h"

namespace verbena::entry {

namespace {

// Limit of attempts for one request. A refusal costs little and proves that the attempt did not run, so it
// spends no retry budget; after this many the caller is asked to retry later.
constexpr std::size_t max_attempts = 5;

constexpr milliseconds default_retry_after{1'000};

milliseconds retry_after(const attempt_result* last)
{
    return last != nullptr && last->retry_after.count() > 0 ? last->retry_after : default_retry_after;
}

} // namespace

policy::attempt_end to_attempt_end(const attempt_result& ended)
{
    if (ended.outcome == attempt_outcome::done || ended.caller_gone) {
        return policy::attempt_end::success;
    }
    const bool refused_by_agent =
        ended.outcome == attempt_outcome::not_run && ended.refusal != wire::refusal::none;
    return refused_by_agent ? policy::attempt_end::refused : policy::attempt_end::failure;
}

caller_error make_failure(const caller_request& request, const attempt_result* last, bool may_have_run)
{
    const attempt_outcome outcome = may_have_run ? attempt_outcome::unknown : attempt_outcome::not_run;
    if (clock::now() >= request.deadline) {
        return caller_error{504,     "deadline",     "deadline exceeded", "send a longer X-Deadline-Ms",
                            outcome, milliseconds(0)};
    }
    if (last != nullptr && last->refusal == wire::refusal::too_large) {
        return caller_error{413,           "prompt_too_large",
                            last->message, "send a shorter prompt or a lower max_tokens",
                            outcome,       milliseconds(0)};
    }
    if (may_have_run) {
        return caller_error{502,
                            "answer_broken",
                            "response interrupted: " + last->message,
                            request.repeatable
                                ? "send the request again"
                                : "check whether the call took effect, then resend with the same key",
                            outcome,
                            milliseconds(0)};
    }
    if (last != nullptr && last->refusal == wire::refusal::deadline) {
        return caller_error{503,           "deadline_cannot_be_met",
                            last->message, "retry later or send a longer X-Deadline-Ms",
                            outcome,       retry_after(last)};
    }
    const std::string reason =
        last == nullptr ? "no endpoint available" : "no endpoint accepted the request: " + last->message;
    return caller_error{503, "no_endpoint", reason, "retry after the given time", outcome, retry_after(last)};
}

dispatcher::dispatcher(attempt_client& attempts, endpoint_selector& selector, metrics& counters)
    : m_attempts(attempts), m_selector(selector), m_metrics(counters)
{
}

net::task<attempt_result> dispatcher::attempt(const caller_request& request, const chosen_endpoint& endpoint,
                                              std::uint32_t number, answer_sink& sink,
                                              std::shared_ptr<request_cancellation> cancellation)
{
    m_selector.started(endpoint.name, request);
    const attempt_result ended =
        co_await m_attempts.run(request, endpoint, number, milliseconds(0), sink, std::move(cancellation));
    m_selector.finished(endpoint.name, request, to_attempt_end(ended), clock::now(), ended.answering);
    co_return ended;
}

bool dispatcher::may_retry(const caller_request& request, const attempt_result& last, const answer_sink& sink)
{
    if (sink.started() || clock::now() >= request.deadline) {
        return false;
    }
    // A refusal by an agent puts no load on an engine; any other retry spends the budget.
    if (last.outcome == attempt_outcome::not_run && last.refusal != wire::refusal::none) {
        return true;
    }
    const bool allowed = m_selector.allow_retry(request, clock::now());
    m_metrics.add("verbena_entry_retries_total",
                  {{"team", request.team}, {"allowed", allowed ? "yes" : "no"}});
    return allowed;
}

net::task<dispatch_result> dispatcher::run(const caller_request& request, answer_sink& sink,
                                           std::shared_ptr<request_cancellation> cancellation,
                                           std::function<void()> reset)
{
    dispatch_result outcome;
    std::vector<std::string> tried;
    std::optional<attempt_result> last;
    bool may_have_run = false;
    m_selector.count_request(request, clock::now());
    while (tried.size() < max_attempts) {
        const std::optional<chosen_endpoint> endpoint = m_selector.pick(request, tried, clock::now());
        if (!endpoint) {
            break;
        }
        const auto number = static_cast<std::uint32_t>(tried.size() + 1);
        last = co_await attempt(request, *endpoint, number, sink, cancellation);
        if (last->outcome == attempt_outcome::done) {
            outcome.done = true;
            co_return outcome;
        }
        if (last->caller_gone && clock::now() < request.deadline) {
            outcome.caller_gone = true;
            co_return outcome;
        }
        may_have_run = may_have_run || last->outcome == attempt_outcome::unknown;
        tried.push_back(endpoint->name);
        if (!may_retry(request, *last, sink)) {
            break;
        }
        reset();
    }
    outcome.failure = make_failure(request, last ? &*last : nullptr, may_have_run);
    co_return outcome;
}

} // namespace verbena::entry
