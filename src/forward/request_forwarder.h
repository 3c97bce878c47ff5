#pragma once

#include "base/random.h"
#include "forward/endpoint_call.h"
#include "forward/event_reader.h"
#include "forward/fleet.h"
#include "forward/memory_reservation.h"
#include "forward/scheduler_client.h"
#include "forward/shared_retry_budget.h"
#include "route/table.h"

#include <atomic>
#include <optional>

namespace verbena::forward {

// A caller request with the route and service that it was matched to.
struct routed_request {
    std::shared_ptr<const route::table> rules; // keeps `route` and `service` alive
    const route::route_rule* route = nullptr;
    const route::service_rule* service = nullptr;
    std::string team;
    std::uint32_t priority = 0;
    request_metadata terms;
    time_point arrived;
    time_point deadline;
    std::uint64_t config_version = 0;
    milliseconds config_age{};
};

// State shared by all request forwarders of an entry.
struct forwarder_context {
    fleet& endpoints;
    scheduler_client& scheduler;
    const protocol_adapter& protocol;
    shared_retry_budget& budget;
    metrics& counters;
    milliseconds stall{1'500}; // how long an endpoint waits for another endpoint that it depends on
    std::function<bool(time_point)> may_send; // whether the configuration is recent enough to act on
    const std::atomic<bool>& stopping;        // whether this process is stopping
};

// Forwards one request to endpoints until it is answered, refused or given up. An attempt that may have run
// is retried only if the request is idempotent. A refusal states that the request has not run only if that is
// proven for every attempt.
class request_forwarder : public std::enable_shared_from_this<request_forwarder> {
public:
    request_forwarder(forwarder_context context, net::http_exchange& exchange, routed_request request);

    net::task<void> run(net::asio::any_io_executor executor);

    // Logs that the request is still in work when this process ends.
    void log_cut() const;

    // Cancels the current attempt; called when the caller has closed its connection.
    void cancel();

private:
    enum class attempt_end : std::uint8_t {
        answered, // the caller has received the answer
        not_run,  // proven not to have run
        may_have_run,
        failed_answer, // the endpoint answered with a failure; another endpoint may be tried
        caller_left,
    };

    struct answer_state {
        bool started = false;
        std::optional<std::uint64_t> last_event;
        std::uint32_t events = 0;
        std::optional<time_point> first_event;
    };

    bool is_stream() const { return m_request.route->kind == route::request_kind::stream; }
    bool is_idempotent() const;
    milliseconds time_left(time_point now) const;
    dispatch_request make_dispatch_request(time_point now) const;
    std::uint32_t priority_level() const;

    // Selects endpoints; waits for them if they are not free yet.
    net::task<dispatch_result> choose_endpoints();
    net::task<attempt_end> run_attempt(dispatch_choice choice);
    // Whether an answer that ended with its connection is incomplete. An endpoint that crashes ends its
    // connections in the same way as one that has finished.
    net::task<bool> has_broken_off(const dispatch_choice& choice);
    // The error is `unavailable` if the endpoint's address refuses connections.
    net::task<result<void>> connect_again(const dispatch_choice& choice);
    // Finds out whether an endpoint that has ended the connection before it began to answer has ended itself.
    net::task<void> examine_lost_answer(const dispatch_choice& choice);
    net::task<attempt_end> call_endpoint(const dispatch_choice& choice);
    net::task<attempt_end> handle_answer(const dispatch_choice& choice, const answer_metadata& head);
    net::task<attempt_end> relay_body(const dispatch_choice& choice, const answer_metadata& head);
    net::task<attempt_end> relay_events(const dispatch_choice& choice, const answer_metadata& head);
    net::task<bool> write_events(event_reader& reader, const dispatch_choice& choice,
                                 const answer_metadata& head);
    net::task<bool> write_event(const stream_event& event, const dispatch_choice& choice,
                                const answer_metadata& head);

    // The endpoint has begun to answer, so no part of the prompt has crashed it.
    void record_begun_answer();
    // Records what the head of an answer says about its endpoint itself.
    void record_endpoint_notice(const std::string& endpoint, const answer_metadata& head);
    // Asks for the backlog of an endpoint that is silent, to extend the time it is waited for.
    net::task<void> query_backlog(std::string endpoint);

    // Whether another attempt may follow one with this result. Draws on the retry budget.
    bool may_retry(attempt_end end, time_point now);
    net::task<void> finish(attempt_end end);
    void log_refusal(unsigned status, const std::string& reason, milliseconds retry_after,
                     const dispatch_refusal& refusal);
    net::task<void> refuse(unsigned status, const std::string& reason, milliseconds retry_after,
                           const dispatch_refusal& refusal = {});
    net::task<void> refuse_dispatch(const dispatch_refusal& refusal);
    net::task<void> refuse_unconfirmed();
    milliseconds retry_after_time(const dispatch_refusal& refusal, time_point now);

    void record_attempt(const dispatch_choice& choice, const char* outcome, unsigned status,
                        const std::string& cause, attempt_health health);
    void record_end(const char* outcome, unsigned status);
    // Time since the last event of the current attempt, or since it began.
    milliseconds last_event_age(time_point now) const;

    forwarder_context m_context;
    net::http_exchange& m_exchange;
    routed_request m_request;
    net::asio::any_io_executor m_executor;
    std::shared_ptr<endpoint_call> m_call;
    std::shared_ptr<choice_call> m_choice_call = std::make_shared<choice_call>();
    std::string m_chosen_by;
    attempt_report m_report; // of the current attempt
    bool m_backlog_queried = false;
    time_point m_backlog_end; // when the endpoint of the current attempt has finished its pending prefill
    std::shared_ptr<memory_reservation> m_reservation; // of the current attempt
    bool m_caller_left = false;
    bool m_may_have_run = false;
    std::uint32_t m_attempts = 0;      // attempts so far; also the attempt number in the log
    std::uint32_t m_possible_runs = 0; // attempts that may have run
    bool m_connection_lost = false;    // the endpoint ended the connection of the current attempt too early
    bool m_attempt_sent = false;       // the current attempt may have reached its endpoint
    bool m_reached_endpoint = false;   // some attempt may have reached an endpoint
    std::set<std::string> m_excluded;
    answer_state m_answer;
    std::optional<net::http_response> m_failed_answer;
    time_point m_attempt_began;
    std::string m_attempt_endpoint; // that answers the current attempt
    time_point m_last_event_at;
    double m_min_interval_ms = 0;
    random_engine m_random;
};

} // namespace verbena::forward
