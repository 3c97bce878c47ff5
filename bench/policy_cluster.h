#pragma once

#include "bench/policy_engine.h"
#include "bench/policy_workload.h"
#include "policy/admission_queue.h"
#include "policy/buffer_account.h"
#include "policy/retry_budget.h"
#include "policy/router.h"
#include "policy/team_shares.h"

#include <array>
#include <map>
#include <optional>
#include <unordered_map>

namespace verbena::bench {

enum class scheduling : std::uint8_t { first_come, class_shares, shortest_work };

// One combination of policies that the bench compares.
struct setup {
    std::string name;
    policy::choice_rule rule = policy::choice_rule::two_candidates;
    scheduling order = scheduling::class_shares;
    bool limits = true;     // memory account, cold limit and deadline estimate
    bool priorities = true; // engine priority by length class
    bool shares = false;    // teams over their share get a lower request class
    bool pools = false;     // short and medium requests prefer different endpoints
    std::optional<policy::dispatch_window> window{};
};

// Conditions of one run.
struct cluster_options {
    std::uint64_t seed = 1;
    std::uint32_t endpoints = 20;
    std::uint32_t order_endpoints = 3;
    std::uint32_t domains = 3;
    clock::duration report_delay{}; // delay before a load report reaches the entry
    double report_loss = 0;         // fraction of load reports that are lost, 0 to 1
    clock::duration cold_report_lag = milliseconds(500);
    policy::buffer_caps buffers;
};

enum class job_outcome : std::uint8_t { open, done, refused, too_large, expired, failed, unknown };

// Outcome of one request.
struct job_result {
    job_outcome outcome = job_outcome::open;
    bool admitted = false;
    std::uint32_t attempts = 0;
    std::uint32_t runs = 0; // number of dispatches to an engine
    std::optional<time_point> first_token;
    time_point ended{};
};

class cluster;

// Simulated agent: the policy modules that an agent uses, and one simulated engine.
class simulated_agent final : public engine_listener {
public:
    simulated_agent(cluster& owner, std::uint32_t number, std::string name, std::string domain, bool plain);

    // Queues or refuses an attempt. Returns true when the attempt is admitted.
    bool submit(const job_spec& job, request_class assigned_class, const attempt_id& attempt,
                time_point deadline);
    void cancel(const attempt_id& attempt);
    // Taken out of service, the agent refuses new attempts and hands queued ones back to their entries.
    void set_in_service(bool in_service);
    void turn_cold();
    void tick();

    void first_token(const attempt_id& attempt) override;
    void finished(const attempt_id& attempt) override;
    void failed(const std::vector<attempt_id>& lost) override;

    policy::load_report report() const;
    simulated_engine& engine() { return m_engine; }
    const simulated_engine& engine() const { return m_engine; }
    const std::string& name() const { return m_name; }
    const std::string& domain() const { return m_domain; }
    bool plain() const { return m_plain; }
    std::size_t queued() const { return m_queue.size(); }
    std::uint64_t reserved_peak() const { return m_reserved_peak; }

private:
    struct dispatched {
        policy::queued_request request;
        time_point when{};
        std::optional<time_point> first_token;
        clock::duration prefill{};
        std::uint32_t output_tokens = 1;
    };

    bool meets_deadline(const policy::queued_request& request) const;
    void dispatch_queued();
    void record_run(const dispatched& run);

    cluster& m_owner;
    std::string m_name;
    std::string m_domain;
    bool m_plain;
    bool m_in_service = true;
    simulated_engine m_engine;
    policy::memory_account m_memory;
    policy::cold_limit m_cold;
    policy::admission_queue m_queue;
    policy::service_estimator m_estimator;
    std::unordered_map<attempt_id, dispatched> m_running;
    std::uint64_t m_reserved_peak = 0;
};

// Simulated entry: the policy modules that an entry uses.
class simulated_entry {
public:
    simulated_entry(cluster& owner, std::uint32_t number, const std::string& domain);

    void arrive(const job_spec& job);
    void admitted(const attempt_id& attempt);
    void refused(const attempt_id& attempt, const std::string& endpoint, const policy::load_report& load);
    void handed_back(const attempt_id& attempt, const std::string& endpoint);
    void first_token(const attempt_id& attempt);
    void finished(const attempt_id& attempt, const std::string& endpoint, const policy::load_report& load);
    void failed(const attempt_id& attempt, const std::string& endpoint);
    policy::router& router() { return m_router; }
    const policy::buffer_account& buffers() const { return m_buffers; }

private:
    struct open_job {
        const job_spec* job = nullptr;
        time_point arrival{};
        time_point deadline{};
        std::uint32_t attempt = 0;
        request_class assigned_class = request_class::standard;
        bool answering = false; // the current attempt has sent its first token
        std::string endpoint;   // endpoint of the current attempt; empty between attempts
        std::vector<std::string> tried;
    };

    policy::route_request make_route_request(const open_job& open) const;
    bool too_large(const job_spec& job) const;
    void send(std::uint64_t number);
    void handle_no_endpoint(std::uint64_t number);
    bool end_attempt(const attempt_id& attempt, const std::string& endpoint, policy::attempt_end end);
    void deliver_report(const std::string& endpoint, const policy::load_report& load);
    void retry_or_close(std::uint64_t number, job_outcome outcome_without_retry);
    void expire(std::uint64_t number);
    void close(std::uint64_t number, job_outcome outcome);
    void release_buffer(const job_spec& job, time_point arrival);

    cluster& m_owner;
    std::uint32_t m_number;
    policy::router m_router;
    policy::retry_budget m_budget;
    policy::buffer_account m_buffers;
    policy::team_shares m_shares;
    std::unordered_map<std::uint64_t, open_job> m_open_jobs;
};

// Simulated cluster: entries, agents and engines on one virtual clock.
class cluster {
public:
    cluster(const cluster_options& options, const setup& chosen);

    // Runs the workload for its length, then for the drain time in which open requests can end.
    void run(const std::vector<job_spec>& jobs, clock::duration length, clock::duration drain_time);

    // Schedules the removal or return of a failure domain. Each process receives the change within 2.5 s.
    void set_domain(const std::string& domain, bool in_service, clock::duration when);
    // Schedules an engine to become cold without notice.
    void turn_cold(std::uint32_t agent, clock::duration when);

    event_queue& events() { return m_events; }
    random_engine& random() { return m_random; }
    const cluster_options& options() const { return m_options; }
    const setup& chosen() const { return m_setup; }
    simulated_agent* agent(const std::string& name);
    simulated_entry& entry(const attempt_id& attempt) { return *m_entries[attempt.request.high]; }
    const std::vector<std::unique_ptr<simulated_agent>>& agents() const { return m_agents; }
    const std::vector<std::unique_ptr<simulated_entry>>& entries() const { return m_entries; }
    job_result& result(std::uint64_t number) { return m_results[number]; }
    const std::vector<job_result>& results() const { return m_results; }
    time_point start() const { return m_start; }
    const std::vector<job_spec>& jobs() const { return m_jobs; }

    // Time from the removal of the domain to the last dispatch by one of its agents; empty when there was
    // none.
    std::optional<clock::duration> last_dispatch_after_removal(const std::string& domain) const;
    void record_dispatch(const simulated_agent& agent);
    void record_buffer_peak();
    std::uint64_t buffer_peak() const { return m_buffer_peak; }

private:
    void tick(time_point end);

    cluster_options m_options;
    setup m_setup;
    random_engine m_random;
    event_queue m_events;
    time_point m_start;
    std::vector<std::unique_ptr<simulated_agent>> m_agents;
    std::vector<std::unique_ptr<simulated_entry>> m_entries;
    std::unordered_map<std::string, simulated_agent*> m_agents_by_name;
    std::vector<job_spec> m_jobs;
    std::vector<job_result> m_results;
    std::map<std::string, time_point> m_removed_at;
    std::map<std::string, clock::duration> m_last_dispatch;
    std::uint64_t m_buffer_peak = 0;
};

} // namespace verbena::bench
