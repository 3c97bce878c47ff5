#pragma once

#include "entry/dispatcher.h"

namespace verbena::entry {

// Runs a request that may not be repeated: binds its key to one attempt durably before dispatch, and answers
// a resend from the record. See docs/design.md, section 4.6.
class key_dispatcher {
public:
    key_dispatcher(attempt_client& attempts, endpoint_choice& choice, node::control_client& control,
                   std::shared_ptr<net::peer_pool> pool, metrics& counters);

    // On success the answer is in `answer`.
    net::task<dispatch_result> run(const caller_request& request, buffered_answer& answer,
                                   std::shared_ptr<caller_watch> watch);

private:
    // The attempt that owns the key, as the record or our own bind says.
    struct owner {
        attempt_id id;
        std::string endpoint;
        incarnation agent = 0;
    };

    // What a step says about what comes next.
    struct step {
        enum class kind : std::uint8_t { finished, rebind, follow, failed } next = kind::failed;
        owner bound;
        caller_error failure;
    };

    net::task<step> bind(const caller_request& request, const chosen_endpoint& endpoint, std::uint32_t number,
                         std::optional<owner> replaced, buffered_answer& answer);
    step take_bind_reply(const caller_request& request, const wire::key_replyT& reply, const owner& wanted,
                         buffered_answer& answer, bool& ours);
    net::task<step> dispatch(const caller_request& request, const chosen_endpoint& endpoint,
                             const owner& bound, time_point window_start, buffered_answer& answer);
    net::task<step> follow(const caller_request& request, owner bound, buffered_answer& answer);
    net::task<result<wire::attempt_stateT>> query(const owner& bound, host_port address);
    // True when the record still names `last`: no other entry has taken the key over, so "not run" may be
    // told.
    net::task<bool> still_bound(const caller_request& request, const owner& last);
    wire::key_bindT make_bind(const caller_request& request, const owner& wanted) const;
    net::task<void> finish(const caller_request& request, const owner& bound, const buffered_answer& answer);
    step unknown_outcome(const std::string& why) const;

    attempt_client& m_attempts;
    endpoint_choice& m_choice;
    node::control_client& m_control;
    std::shared_ptr<net::peer_pool> m_pool;
    metrics& m_metrics;
};

} // namespace verbena::entry
