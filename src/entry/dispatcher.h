#pragma once

#include "entry/answer_writer.h"
#include "node/control_client.h"

namespace verbena::entry {

// How a request ended: the answer is in the sink, or the caller gets an error.
struct dispatch_result {
    bool done = false;
    bool caller_gone = false;
    caller_error failure;
};

// Tries a repeatable request at one endpoint after another, within its deadline and the retry budgets.
class dispatcher {
public:
    dispatcher(attempt_client& attempts, endpoint_choice& choice, metrics& counters);

    // `reset` is called before each further attempt, so that the sink forgets what the last one left.
    net::task<dispatch_result> run(const caller_request& request, answer_sink& sink,
                                   std::shared_ptr<caller_watch> watch, std::function<void()> reset);

private:
    net::task<attempt_result> attempt(const caller_request& request, const chosen_endpoint& endpoint,
                                      std::uint32_t number, answer_sink& sink,
                                      std::shared_ptr<caller_watch> watch);
    bool may_retry(const caller_request& request, const attempt_result& last, const answer_sink& sink);

    attempt_client& m_attempts;
    endpoint_choice& m_choice;
    metrics& m_metrics;
};

// The error for a request that no endpoint took or finished. `unknown` is true when an attempt may have run.
caller_error failure_for(const caller_request& request, const attempt_result* last, bool unknown);

// How an attempt's end counts for the endpoint's health.
policy::attempt_end to_attempt_end(const attempt_result& end);

} // namespace verbena::entry
