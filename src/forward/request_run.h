#pragma once

#include "base/random.h"
#include "forward/endpoint_call.h"
#include "forward/event_reader.h"
#include "forward/fleet.h"
#include "forward/reserved_memory.h"
#include "forward/shared_budget.h"
#include "route/table.h"

#include <optional>

namespace verbena::forward {

// A request that a route allows.
struct routed_request {
    std::shared_ptr<const route::table> rules; // keeps `route` and `service` alive
    const route::route_rule* route = nullptr;
    const route::service_rule* service = nullptr;
    std::string team;
    std::uint32_t priority = 0;
    caller_terms terms;
    time_point arrived;
    time_point deadline;
    std::uint64_t config_version = 0;
    milliseconds config_age{};
};

// What the runs of an entry share.
struct run_context {
    fleet& endpoints;
    const dialect& words;
    shared_budget& budget;
    metrics& counters;
    milliseconds stall{1'500}; // how long an endpoint waits for another one that it depends on
};

// Carries one request to endpoints until it is answered, refused or given up. An attempt that may have run is
// repeated only if the request is idempotent; a refusal says "not run" only if that is proved for every
// attempt.
class request_run : public std::enable_shared_from_this<request_run> {
public:
    request_run(run_context context, net::http_exchange& exchange, routed_request request);

    net::task<void> run(net::asio::any_io_executor executor);

    // The caller has closed its connection: the attempt under way is cancelled.
    void leave();

private:
    enum class attempt_end : std::uint8_t {
        answered, // the caller has the answer
        not_run,  // with proof
        may_have_run,
        failed_answer, // the endpoint answered with a failure that may be tried elsewhere
        caller_gone,
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
    dispatch_request to_dispatch(time_point now) const;
    std::uint32_t urgency() const;

    // Chooses endpoints, after a wait if they are not free yet.
    net::task<dispatch_result> choose();
    net::task<attempt_end> attempt(dispatch_choice choice);
    net::task<attempt_end> call_endpoint(const dispatch_choice& choice);
    net::task<attempt_end> take_answer(const dispatch_choice& choice, const answer_terms& head);
    net::task<attempt_end> take_whole(const dispatch_choice& choice, const answer_terms& head);
    net::task<attempt_end> take_events(const dispatch_choice& choice, const answer_terms& head);
    net::task<bool> pass_events(event_reader& reader, const dispatch_choice& choice,
                                const answer_terms& head);
    net::task<bool> pass_event(const stream_event& event, const dispatch_choice& choice,
                               const answer_terms& head);

    // Whether one more attempt may be made after one that ended like this.
    bool may_retry(attempt_end end, time_point now);
    net::task<void> finish(attempt_end end);
    void log_refusal(unsigned status, const std::string& reason, milliseconds retry_after,
                     milliseconds predicted);
    net::task<void> refuse(unsigned status, const std::string& reason, milliseconds retry_after);
    net::task<void> refuse_dispatch(const dispatch_refusal& refusal);
    milliseconds return_time(const dispatch_refusal& refusal, time_point now);

    void note(const dispatch_choice& choice, const char* outcome, unsigned status, const std::string& cause,
              attempt_health health);
    void count_end(const char* outcome, unsigned status);

    run_context m_context;
    net::http_exchange& m_exchange;
    routed_request m_request;
    net::asio::any_io_executor m_executor;
    std::shared_ptr<endpoint_call> m_call;
    std::shared_ptr<reserved_memory> m_memory; // of the present attempt
    bool m_left = false;
    bool m_may_have_run = false;
    std::uint32_t m_attempts = 0; // numbered for the log
    std::uint32_t m_runs = 0;     // that may have run
    bool m_sent = false;          // the present attempt may have reached its endpoint
    bool m_arrived_once = false;  // some attempt has reached an endpoint
    std::set<std::string> m_excluded;
    answer_state m_answer;
    std::optional<net::http_response> m_failed_answer;
    time_point m_attempt_began;
    time_point m_last_event_at;
    double m_least_interval_ms = 0;
    random_engine m_random;
};

} // namespace verbena::forward
