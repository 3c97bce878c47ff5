#pragma once

#include "agent/attempt_table.h"
#include "agent/engine_client.h"
#include "operator_generated.h"
#include "policy/admission_queue.h"
#include "policy/team_shares.h"

#include <mutex>
#include <optional>

namespace verbena::agent {

// Reason for refusing an attempt. A refusal proves that the attempt has not run at this endpoint and will not
// run.
struct refusal {
    wire::refusal reason = wire::refusal::none;
    std::string message;
    milliseconds retry_after{0};
};

// Whether the configuration and the state of the process allow new work. `fresh`: the configuration was
// confirmed lately and the engine's status is known. `leaving`: the process is stopping.
struct serving_state {
    bool fresh = false;
    bool leaving = false;
    op::admin_state endpoint = op::admin_state::in;
    op::admin_state domain = op::admin_state::in;
};

struct admission_options {
    bool plain = false;
    std::uint64_t memory_tokens = 400'000;
    std::uint32_t prefill_tokens_per_s = 8'000;
    std::uint32_t cold_limit = 1;
    std::uint32_t warm_limit = 64;
    std::size_t queue_limit = 256;
    std::uint64_t answer_memory = 256ULL * 1024 * 1024;
    milliseconds owner_lease{5'000};
};

// Enforces the hard limits of one endpoint: memory, cold start, drain, configuration freshness and at most
// one run of each attempt. Performs no I/O. Thread-safe; the mutex is held only while the tables are
// accessed.
class admission {
public:
    explicit admission(const admission_options& options);

    // Checks a request before its body is received, so that a refusal reaches the caller early.
    std::optional<refusal> check(const wire::submitT& submit, const serving_state& state,
                                 time_point now) const;

    struct enqueue_result {
        std::optional<refusal> refused;
        std::shared_ptr<attempt> value; // the added attempt, or the existing one with this id
        bool added = false;
        milliseconds queue_estimate{0};
    };

    // Queues a request whose body is complete. Repeats the checks, because receiving the body may have taken
    // long.
    enqueue_result enqueue(const std::shared_ptr<attempt>& value, const serving_state& state, time_point now);

    struct work {
        std::vector<std::shared_ptr<attempt>> dispatch;
        std::vector<std::pair<std::shared_ptr<attempt>, refusal>> refused;
    };

    // Takes the attempts that may be dispatched now, with their memory reserved, and those that are refused
    // without having run.
    work take_work(const serving_state& state, time_point now);

    // Reports the first token: the attempt's prompt no longer counts against the dispatch window.
    void first_token(const std::shared_ptr<attempt>& value, time_point now);

    // Releases the attempt's memory reservation; called when the engine no longer holds the request.
    void released(const std::shared_ptr<attempt>& value);

    // Ends the attempt. `sample` updates the estimator and the cold limit; empty after a failure.
    void ended(const std::shared_ptr<attempt>& value, std::optional<policy::service_sample> sample,
               time_point now);

    // Removes a queued attempt; true proves that it did not run.
    bool cancel_queued(const std::shared_ptr<attempt>& value, time_point now);

    // Applies a status report of the engine. Returns the attempts that were lost when the engine restarted.
    std::vector<std::shared_ptr<attempt>> observe(const engine_status& status);

    struct reconciliation {
        std::vector<std::string> unknown; // held by the engine without a reservation here: to be cancelled
        std::vector<std::shared_ptr<attempt>>
            vanished; // ended and no longer held by the engine: reservation released
    };

    // Compares the memory reservations with the requests that the engine holds.
    reconciliation reconcile(const std::vector<held_request>& held);

    // Repeatable attempts whose entry has been disconnected for longer than the owner lease, or whose
    // deadline has passed.
    std::vector<std::shared_ptr<attempt>> take_orphans(time_point now);

    std::shared_ptr<attempt> find(const attempt_id& id) const;
    // See attempt_table::close_unseen().
    bool close_unseen(const attempt_id& id, time_point now);

    // Starts a delivery of the response to an entry and returns its number; replaces older deliveries.
    std::uint64_t begin_delivery(const std::shared_ptr<attempt>& value);
    bool is_current(const std::shared_ptr<attempt>& value, std::uint64_t delivery) const;
    void delivery_broken(const std::shared_ptr<attempt>& value, std::uint64_t delivery, time_point now);
    void acknowledged(const std::shared_ptr<attempt>& value);
    attempt_phase phase_of(const std::shared_ptr<attempt>& value) const;
    bool request_cancel(const std::shared_ptr<attempt>& value);
    bool cancel_requested(const std::shared_ptr<attempt>& value) const;

    wire::load_summaryT load() const;
    bool cold() const;
    // Number of attempts that are queued or running.
    std::size_t open_attempts() const;
    std::uint64_t held_answer_bytes() const { return m_answer_bytes->load(); }
    const std::shared_ptr<std::atomic<std::uint64_t>>& answer_counter() const { return m_answer_bytes; }
    // Number of ended attempts whose response an entry may still be reading.
    std::size_t undelivered(time_point now) const;
    // Scheduling rank of the attempt in the engine; 0 is the highest priority.
    std::uint32_t engine_rank(const std::shared_ptr<attempt>& value, time_point now) const;

private:
    std::optional<refusal> check_state(const serving_state& state) const;
    std::optional<refusal> check_size(const wire::submitT& submit) const;
    std::optional<refusal> check_deadline(const policy::queued_request& request, milliseconds time_left,
                                          time_point now) const;
    policy::queued_request to_queued(const wire::submitT& submit, const attempt_id& id,
                                     time_point arrival) const;
    policy::backlog backlog_of(const policy::queued_request& request, time_point now) const;
    milliseconds retry_hint() const;
    // Marks the attempt as ended and releases its request body.
    void end_attempt(attempt& value, time_point now);

    admission_options m_options;
    mutable std::mutex m_mutex;
    policy::memory_account m_memory;
    policy::cold_limit m_cold;
    policy::service_estimator m_estimator;
    policy::admission_queue m_queue;
    attempt_table m_table;
    policy::team_shares m_shares;
    // Bytes of request bodies and responses that this process holds.
    std::shared_ptr<std::atomic<std::uint64_t>> m_answer_bytes =
        std::make_shared<std::atomic<std::uint64_t>>(0);
    time_point m_last_expiry{};
    std::optional<incarnation> m_engine;
};

} // namespace verbena::agent
