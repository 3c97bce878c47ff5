#include "entry/dispatcher.h"

namespace verbena::entry {

namespace {

// Endpoints asked for one request. A refusal costs little and proves "not run", so it needs no retry budget,
// but a request that many endpoints refuse is better told to come back.
constexpr std::size_t most_attempts = 5;

constexpr milliseconds default_retry{1'000};

milliseconds retry_after(const attempt_result* last)
{
    return last != nullptr && last->retry_after.count() > 0 ? last->retry_after : default_retry;
}

} // namespace

policy::attempt_end to_attempt_end(const attempt_result& end)
{
    if (end.outcome == attempt_outcome::done || end.caller_gone) {
        return policy::attempt_end::success;
    }
    const bool answered = end.outcome == attempt_outcome::not_run && end.refusal != wire::refusal::none;
    return answered ? policy::attempt_end::refused : policy::attempt_end::failure;
}

caller_error failure_for(const caller_request& request, const attempt_result* last, bool unknown)
{
    const attempt_outcome outcome = unknown ? attempt_outcome::unknown : attempt_outcome::not_run;
    if (clock::now() >= request.deadline) {
        return caller_error{504,     "deadline",     "the deadline has passed", "send a longer X-Deadline-Ms",
                            outcome, milliseconds(0)};
    }
    if (last != nullptr && last->refusal == wire::refusal::too_large) {
        return caller_error{413,           "prompt_too_large",
                            last->message, "send a shorter prompt or a lower max_tokens",
                            outcome,       milliseconds(0)};
    }
    if (unknown) {
        return caller_error{502,
                            "answer_broken",
                            "the answer broke off: " + last->message,
                            request.repeatable ? "send the request again"
                                               : "look up the order, then resend with the same key",
                            outcome,
                            milliseconds(0)};
    }
    if (last != nullptr && last->refusal == wire::refusal::deadline) {
        return caller_error{503,           "deadline_cannot_be_met",
                            last->message, "retry later or send a longer X-Deadline-Ms",
                            outcome,       retry_after(last)};
    }
    const std::string why =
        last == nullptr ? "no endpoint is available" : "no endpoint took it: " + last->message;
    return caller_error{503, "no_endpoint", why, "retry after the given time", outcome, retry_after(last)};
}

dispatcher::dispatcher(attempt_client& attempts, endpoint_choice& choice, metrics& counters)
    : m_attempts(attempts), m_choice(choice), m_metrics(counters)
{
}

net::task<attempt_result> dispatcher::attempt(const caller_request& request, const chosen_endpoint& endpoint,
                                              std::uint32_t number, answer_sink& sink,
                                              std::shared_ptr<caller_watch> watch)
{
    m_choice.started(endpoint.name, request);
    const attempt_result end =
        co_await m_attempts.run(request, endpoint, number, milliseconds(0), sink, std::move(watch));
    m_choice.finished(endpoint.name, request, to_attempt_end(end), clock::now(), end.answering);
    co_return end;
}

bool dispatcher::may_retry(const caller_request& request, const attempt_result& last, const answer_sink& sink)
{
    if (sink.started() || clock::now() >= request.deadline) {
        return false;
    }
    // A refusal by an agent puts no load on an engine; everything else spends the budget.
    if (last.outcome == attempt_outcome::not_run && last.refusal != wire::refusal::none) {
        return true;
    }
    const bool allowed = m_choice.allow_retry(request, clock::now());
    m_metrics.add("verbena_entry_retries_total",
                  {{"team", request.team}, {"allowed", allowed ? "yes" : "no"}});
    return allowed;
}

net::task<dispatch_result> dispatcher::run(const caller_request& request, answer_sink& sink,
                                           std::shared_ptr<caller_watch> watch, std::function<void()> reset)
{
    dispatch_result outcome;
    std::vector<std::string> tried;
    std::optional<attempt_result> last;
    bool unknown = false;
    m_choice.count_request(request, clock::now());
    while (tried.size() < most_attempts) {
        const std::optional<chosen_endpoint> endpoint = m_choice.pick(request, tried, clock::now());
        if (!endpoint) {
            break;
        }
        const auto number = static_cast<std::uint32_t>(tried.size() + 1);
        last = co_await attempt(request, *endpoint, number, sink, watch);
        if (last->outcome == attempt_outcome::done) {
            outcome.done = true;
            co_return outcome;
        }
        if (last->caller_gone && clock::now() < request.deadline) {
            outcome.caller_gone = true;
            co_return outcome;
        }
        unknown = unknown || last->outcome == attempt_outcome::unknown;
        tried.push_back(endpoint->name);
        if (!may_retry(request, *last, sink)) {
            break;
        }
        reset();
    }
    outcome.failure = failure_for(request, last ? &*last : nullptr, unknown);
    co_return outcome;
}

} // namespace verbena::entry
