#pragma once

#include "base/random.h"
#include "forward/answer_memory.h"
#include "forward/endpoint_call.h"
#include "forward/event_reader.h"
#include "forward/fleet.h"
#include "forward/inactivity_limits.h"
#include "forward/memory_reservation.h"
#include "forward/scheduler_client.h"
#include "forward/shared_retry_budget.h"
#include "node/usage_counter.h"
#include "route/table.h"

#include <atomic>
#include <optional>
#include <vector>

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
    answer_memory& memory;
    node::usage_counter* usage = nullptr; // counts the answers that begin
    // This entry's part of the budget in services whose repeated attempts the schedulers grant; null if they
    // grant none.
    shared_retry_budget* own_budget = nullptr;
};

// Forwards one request to endpoints until it is answered, refused or given up. An attempt that may have run
// is retried only if the request is idempotent. A refusal states that the request has not run only if that is
// proven for every attempt.
//
// An attempt whose endpoint is silent goes on until its connection ends or the deadline passes. Another
// endpoint may be asked beside it if the request is idempotent; the attempt that first has something for the
// caller answers, and the others end.
class request_forwarder : public std::enable_shared_from_this<request_forwarder> {
public:
    request_forwarder(forwarder_context context, net::http_exchange& exchange, routed_request request);

    net::task<void> run(net::asio::any_io_executor executor);

    // Whether the caller has received the whole answer of an endpoint.
    bool answered() const { return m_answered; }

    // Logs that the request is still in work when this process ends.
    void log_cut() const;

    // Cancels all attempts; called when the caller has closed its connection.
    void cancel();

    // Answers the request now unless a part of its answer has been delivered; called when this process has
    // to stop before the request has ended.
    void end_for_stop();

private:
    enum class attempt_end : std::uint8_t {
        answered, // the caller has received the answer
        not_run,  // proven not to have run
        may_have_run,
        failed_answer, // the endpoint answered with a failure; another endpoint may be tried
        caller_left,
        superseded, // another attempt answers
    };

    struct attempt {
        dispatch_choice choice;
        std::uint32_t number = 0; // in the log
        time_point began;
        time_point last_event_at;
        std::shared_ptr<endpoint_call> call;
        std::shared_ptr<memory_reservation> reservation;
        attempt_report report;
        time_point backlog_end; // when the endpoint has finished its pending prefill
        bool backlog_queried = false;
        bool sent = false;            // the request may have reached the endpoint
        bool connection_lost = false; // the endpoint ended the connection too early
        bool silent = false;
        bool silence_recorded = false;   // with the health of the endpoint
        bool superseded = false;         // another attempt answers
        bool reservation_unused = false; // so the endpoint no longer runs the request
        time_point next_check;           // of a silent endpoint
        time_point sent_at;              // when its request was sent
        std::uint64_t born_ms = 0;       // start of the endpoint as announced by then; 0 = unknown
        std::string named_limit;         // in the head of its answer; for the log
        double min_interval_ms = 0;

        const std::string& endpoint() const { return choice.endpoints.front().name; }
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    struct answer_state {
        bool started = false;
        bool resumable = true; // the last event has an id, after which another endpoint can go on
        std::optional<std::uint64_t> last_event;
        std::uint32_t events = 0;
        std::optional<time_point> first_event;
    };

    bool is_stream() const { return m_request.route->kind == route::request_kind::stream; }
    bool is_idempotent() const;
    milliseconds time_left(time_point now) const;
    // When the request ends unless its answer has begun: shortly before its deadline.
    time_point answer_limit() const;
    // Time without an event after which the caller of a stream disconnects, as documented by the platform.
    milliseconds disconnect_time() const;
    // Whether an answer has begun that another endpoint has to go on with.
    bool resumes() const { return m_answer.started && m_last_event_at != time_point{}; }
    // When an answer that has begun is of no use to its caller any more unless it goes on.
    time_point resume_limit() const;
    dispatch_request make_dispatch_request(time_point now) const;
    std::uint32_t priority_level() const;

    // Whether the scheduler decides whether this request may be sent once more.
    bool is_granted_by_scheduler() const;
    // The budget of this entry alone.
    shared_retry_budget& budget() const;
    // Counts a repeated attempt if the scheduler has granted it, or else if the budget of this entry allows
    // it.
    bool draw_on_budget(const dispatch_result& found, policy::retry_cause cause);
    void count_repeat(policy::retry_cause cause, const char* decision) const;

    // Selects endpoints; waits for them until `wait_end` if they are not free yet.
    net::task<dispatch_result> choose_endpoints(time_point wait_end, wire::attempt_kind kind);
    // Ends a request for whose next attempt the retry budget does not suffice.
    net::task<void> end_without_budget();
    // When the first event is late.
    time_point objective_end() const { return m_request.arrived + m_request.route->objective; }
    // Whether a begun answer that no endpoint can go on with now may find one later; waits before the next
    // try.
    net::task<bool> await_endpoint(const dispatch_refusal& refusal);
    // Whether this process may still act on the choice. Gives the endpoints up if not.
    bool confirm(const dispatch_choice& choice);
    void start_attempt(dispatch_choice choice);
    // The bytes of an answer that this process holds. It closes the call if they are too many.
    std::unique_ptr<answer_memory::account> open_account(const attempt_ptr& current);
    // Drops the answer kept for the case that no other attempt succeeds, if its memory was given up.
    void drop_failed_answer();
    // Returns when an attempt has answered, when none is open any more, or when the caller has left.
    net::task<attempt_end> await_attempts();
    net::task<void> run_attempt(attempt_ptr current);
    void log_dispatch(const attempt& current, std::uint64_t reserved_tokens) const;
    void end_attempt(const attempt_ptr& current, attempt_end end);
    // Ends an attempt that an exception has ended, for example for want of memory.
    void abandon_attempt(const attempt_ptr& current);

    // Whether the attempt may answer the caller. Ends the others if so.
    bool claim(const attempt_ptr& current);
    // Handles the expiry of an inactivity timeout. Returns the time of the next check; a time in the past
    // ends the attempt.
    time_point on_inactivity(const attempt_ptr& current, milliseconds interval);
    void on_silence(const attempt_ptr& current);
    // Records the silence with the health of the endpoint, once for each attempt. An endpoint that has begun
    // to answer and sends no event is worse than one that is late: it takes each request and answers few.
    void record_silence(const attempt& current);
    // Ends an attempt with a silent endpoint if no request uses the memory that it has reserved.
    net::task<void> examine_reservation(attempt_ptr current);
    // Asks another endpoint beside silent ones.
    net::task<void> ask_another();
    void log_silence(const std::string& decision) const;

    // Whether an answer that ended with its connection may be incomplete: it is complete only if the process
    // that has sent it is known to run still.
    net::task<bool> may_have_broken_off(attempt_ptr current);
    // The error is `unavailable` if the endpoint's address refuses connections.
    net::task<result<void>> connect_again(attempt_ptr current);
    // Finds out whether an endpoint that has ended the connection before it began to answer has ended itself.
    net::task<void> examine_lost_answer(attempt_ptr current);
    net::task<attempt_end> call_endpoint(attempt_ptr current);
    inactivity_limits plain_inactivity_limits() const;
    net::task<attempt_end> handle_answer(attempt_ptr current, const answer_metadata& head);
    net::task<attempt_end> relay_body(attempt_ptr current, const answer_metadata& head);
    net::task<attempt_end> relay_events(attempt_ptr current, const answer_metadata& head);
    net::task<attempt_end> finish_events(attempt_ptr current, const answer_metadata& head);
    // Returns `answered` when all complete events are written.
    net::task<attempt_end> write_events(event_reader& reader, attempt_ptr current,
                                        const answer_metadata& head);
    net::task<bool> write_event(const stream_event& event, attempt_ptr current, const answer_metadata& head);

    // The endpoint has begun to answer, so no part of the prompt has crashed it.
    void record_begun_answer();
    // Records what the head of an answer says about its endpoint itself.
    void record_endpoint_notice(attempt& current, const answer_metadata& head);
    void record_limit(const attempt& current, const answer_metadata& head);
    // Asks for the backlog of an endpoint that is silent, to extend the time it is waited for.
    net::task<void> query_backlog(attempt_ptr current);

    // Why no attempt may follow one that has ended like this; null if one may.
    const char* reason_against_attempt(attempt_end end, time_point now) const;
    // Draws on the retry budget. Once an answer has begun, waits for the budget until its caller would leave.
    net::task<bool> may_retry(attempt_end end);
    net::task<void> finish(attempt_end end);
    void log_refusal(unsigned status, const std::string& reason, milliseconds retry_after,
                     const dispatch_refusal& refusal);
    net::task<void> refuse(unsigned status, const std::string& reason, milliseconds retry_after,
                           const dispatch_refusal& refusal = {});
    net::task<void> refuse_dispatch(const dispatch_refusal& refusal);
    net::task<void> refuse_unconfirmed();
    milliseconds retry_after_time(const dispatch_refusal& refusal, time_point now);

    // Returns `end`, or what takes precedence over it.
    attempt_end record_attempt(attempt& current, attempt_end end, const char* outcome, unsigned status,
                               const std::string& cause, attempt_health health);
    void record_end(const char* outcome, unsigned status);
    // Time since the last event of the attempt, or since it began.
    static milliseconds last_event_age(const attempt& current, time_point now);

    forwarder_context m_context;
    net::http_exchange& m_exchange;
    routed_request m_request;
    net::asio::any_io_executor m_executor;
    std::optional<net::steady_timer> m_change; // cancelled when await_attempts() has something to do
    std::shared_ptr<choice_call> m_choice_call = std::make_shared<choice_call>();
    std::string m_chosen_by;
    std::vector<attempt_ptr> m_open;
    attempt_ptr m_answering; // the attempt that has answered last, while it is neither silent nor ended
    attempt_end m_last_end = attempt_end::not_run;
    bool m_answered = false;
    bool m_silence_noticed = false;
    bool m_choosing_another = false;
    bool m_awaits_grant = false; // the next attempt repeats the request and has to be granted
    bool m_caller_left = false;
    bool m_stopped = false; // by end_for_stop()
    bool m_may_have_run = false;
    std::uint32_t m_attempts = 0;       // attempts so far; also the attempt number in the log
    std::uint32_t m_possible_runs = 0;  // attempts that may have run or may still run
    bool m_reached_endpoint = false;    // some attempt may have reached an endpoint
    std::set<std::string> m_excluded;   // endpoints that attempts have used or found failed
    std::set<std::string> m_refused_by; // those that only have refused the request
    answer_state m_answer;
    std::optional<net::http_response> m_failed_answer;
    std::unique_ptr<answer_memory::account> m_failed_answer_memory; // counts its body
    time_point m_last_event_at;
    random_engine m_random;
};

} // namespace verbena::forward
