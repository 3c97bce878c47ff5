#pragma once

#include "agent/attempt_table.h"
#include "agent/engine_client.h"
#include "operator_generated.h"
#include "policy/admission_queue.h"
#include "policy/team_shares.h"

#include <mutex>
#include <optional>

namespace verbena::agent {

// Why work is refused. A refusal always proves that the attempt has not run here and will not run here.
struct refusal {
    wire::refusal reason = wire::refusal::none;
    std::string message;
    milliseconds retry_after{0};
};

// What the configuration and the process say about taking new work.
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

// Every hard limit of one endpoint: memory, cold start, drain, freshness and one run for each attempt.
// Decides and keeps the account; does no input or output. Thread-safe by one mutex, which is held for table
// work only.
class admission {
public:
    explicit admission(const admission_options& options);

    // Refusal before the body is read, so that a caller learns at once.
    std::optional<refusal> check(const wire::submitT& submit, const serving_state& state,
                                 time_point now) const;

    struct entry {
        std::optional<refusal> refused;
        std::shared_ptr<attempt> value; // the attempt that was added, or the one seen before under this id
        bool added = false;
        milliseconds queue_estimate{0};
    };

    // Puts a complete request into the queue. Checks everything again, because the body may have taken long.
    entry enqueue(const std::shared_ptr<attempt>& value, const serving_state& state, time_point now);

    struct work {
        std::vector<std::shared_ptr<attempt>> dispatch;
        std::vector<std::pair<std::shared_ptr<attempt>, refusal>> refused;
    };

    // What may be dispatched now, with its memory reserved, and what has to leave the queue unrun.
    work take_work(const serving_state& state, time_point now);

    // The engine gave the first token: its prompt no longer counts against the dispatch window.
    void first_token(const std::shared_ptr<attempt>& value, time_point now);

    // The endpoint has nothing of the attempt any more: frees its memory.
    void released(const std::shared_ptr<attempt>& value);

    // Ends the attempt. `sample` teaches the estimator and the cold limit; absent after a failure.
    void ended(const std::shared_ptr<attempt>& value, std::optional<policy::service_sample> sample,
               time_point now);

    // Removes a waiting attempt; true proves that it did not run.
    bool cancel_queued(const std::shared_ptr<attempt>& value, time_point now);

    // Takes over what the engine says. Returns the attempts that a restarted engine has lost.
    std::vector<std::shared_ptr<attempt>> observe(const engine_status& status);

    struct reconciliation {
        std::vector<std::string> unknown; // held by the engine, not by us: to be cancelled
        std::vector<std::shared_ptr<attempt>>
            vanished; // ended here and no longer held by the engine: memory freed
    };

    // Compares the account with what the engine holds.
    reconciliation reconcile(const std::vector<held_request>& held);

    // Repeatable attempts whose entry has been gone for longer than the owner lease, or whose deadline has
    // passed.
    std::vector<std::shared_ptr<attempt>> take_orphans(time_point now);

    std::shared_ptr<attempt> find(const attempt_id& id) const;
    bool close_unseen(const attempt_id& id, time_point now);

    // Starts a delivery of the answer to an entry and returns its number; older deliveries end.
    std::uint64_t begin_delivery(const std::shared_ptr<attempt>& value);
    bool is_current(const std::shared_ptr<attempt>& value, std::uint64_t delivery) const;
    void delivery_broken(const std::shared_ptr<attempt>& value, std::uint64_t delivery, time_point now);
    void acknowledged(const std::shared_ptr<attempt>& value);
    attempt_phase phase_of(const std::shared_ptr<attempt>& value) const;
    bool request_cancel(const std::shared_ptr<attempt>& value);
    bool cancel_requested(const std::shared_ptr<attempt>& value) const;

    wire::load_summaryT load() const;
    bool cold() const;
    // Attempts that are queued or running.
    std::size_t open_attempts() const;
    std::uint64_t held_answer_bytes() const { return m_answer_bytes->load(); }
    const std::shared_ptr<std::atomic<std::uint64_t>>& answer_counter() const { return m_answer_bytes; }
    // Ended attempts whose answer an entry may still be reading.
    std::size_t undelivered(time_point now) const;
    // Rank of the attempt inside the engine; 0 goes first.
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
    // Marks the attempt as ended and frees its request body.
    void end_attempt(attempt& value, time_point now);

    admission_options m_options;
    mutable std::mutex m_mutex;
    policy::memory_account m_memory;
    policy::cold_limit m_cold;
    policy::service_estimator m_estimator;
    policy::admission_queue m_queue;
    attempt_table m_table;
    policy::team_shares m_shares;
    // Request bodies and answers that this process holds.
    std::shared_ptr<std::atomic<std::uint64_t>> m_answer_bytes =
        std::make_shared<std::atomic<std::uint64_t>>(0);
    time_point m_expired{};
    std::optional<incarnation> m_engine;
};

} // namespace verbena::agent
