#pragma once

#include "entry/dispatcher.h"

namespace verbena::entry {

// Runs an unrepeatable request: binds its idempotency key durably to one attempt before dispatch, and answers
// a resend from the record. See docs/design.md, section 4.6.
class key_dispatcher {
public:
    key_dispatcher(attempt_client& attempts, endpoint_selector& selector, node::control_client& control,
                   std::shared_ptr<net::peer_pool> pool, metrics& counters);

    // On success `answer` has the response.
    net::task<dispatch_result> run(const caller_request& request, buffered_answer& answer,
                                   std::shared_ptr<request_cancellation> cancellation);

private:
    // The attempt that a key is bound to, from the key's record or from this entry's bind call.
    struct bound_attempt {
        attempt_id id;
        std::string endpoint;
        incarnation agent = 0;
    };

    // Result of a step: what run() does next, the attempt that the key is bound to, and the error for the
    // caller.
    struct step {
        enum class kind : std::uint8_t { finished, rebind, follow, failed } action = kind::failed;
        bound_attempt bound;
        caller_error failure;
    };

    net::task<step> bind(const caller_request& request, const chosen_endpoint& endpoint, std::uint32_t number,
                         std::optional<bound_attempt> replaced, buffered_answer& answer);
    step handle_bind_reply(const caller_request& request, const wire::key_replyT& reply,
                           const bound_attempt& proposed, buffered_answer& answer, bool& bound_here);
    net::task<step> dispatch(const caller_request& request, const chosen_endpoint& endpoint,
                             const bound_attempt& bound, time_point window_start, buffered_answer& answer);
    net::task<step> follow(const caller_request& request, bound_attempt bound, buffered_answer& answer);
    net::task<result<wire::attempt_stateT>> query(const bound_attempt& bound, host_port address);
    // True when the key is still bound to `last`: no other entry has rebound it, so the outcome may be
    // reported as not run.
    net::task<bool> still_bound(const caller_request& request, const bound_attempt& last);
    wire::key_bindT make_bind(const caller_request& request, const bound_attempt& proposed) const;
    net::task<void> finish(const caller_request& request, const bound_attempt& bound,
                           const buffered_answer& answer);
    step unknown_outcome(const std::string& reason) const;

    attempt_client& m_attempts;
    endpoint_selector& m_selector;
    node::control_client& m_control;
    std::shared_ptr<net::peer_pool> m_pool;
    metrics& m_metrics;
};

} // namespace verbena::entry
