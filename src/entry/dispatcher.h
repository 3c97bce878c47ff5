#pragma once

#include "entry/answer_writer.h"
#include "node/control_client.h"

namespace verbena::entry {

// Result of a request. When `done` is set, the sink has the complete response; otherwise `failure` is sent to
// the caller unless it has disconnected.
struct dispatch_result {
    bool done = false;
    bool caller_gone = false;
    caller_error failure;
};

// Runs a repeatable request, retrying on other endpoints within its deadline and the retry budgets.
class dispatcher {
public:
    dispatcher(attempt_client& attempts, endpoint_selector& selector, metrics& counters);

    // `reset` is called before each retry to discard data that the failed attempt left in the sink.
    net::task<dispatch_result> run(const caller_request& request, answer_sink& sink,
                                   std::shared_ptr<request_cancellation> cancellation,
                                   std::function<void()> reset);

private:
    net::task<attempt_result> attempt(const caller_request& request, const chosen_endpoint& endpoint,
                                      std::uint32_t number, answer_sink& sink,
                                      std::shared_ptr<request_cancellation> cancellation);
    bool may_retry(const caller_request& request, const attempt_result& last, const answer_sink& sink);

    attempt_client& m_attempts;
    endpoint_selector& m_selector;
    metrics& m_metrics;
};

// Error for a request that no endpoint accepted or completed. `last` is null when there was no attempt;
// `may_have_run` is set when an attempt may have run.
caller_error make_failure(const caller_request& request, const attempt_result* last, bool may_have_run);

// Classifies an attempt's result for the endpoint's health tracking.
policy::attempt_end to_attempt_end(const attempt_result& end);

} // namespace verbena::entry
