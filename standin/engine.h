#pragma once

#include "base/error.h"
#include "base/random.h"
#include "base/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbena::standin {

struct engine_options {
    // Prompt tokens per second that all requests in prefill share.
    double prefill_rate = 20'000;
    // Most prompt tokens that one step processes, so that a long prompt does not block decoding.
    std::uint32_t chunk_tokens = 512;
    // Duration of one decode step for the whole batch.
    std::chrono::microseconds decode_step{20'000};
    std::size_t max_batch = 32;
    std::uint64_t capacity_tokens = 200'000;
    // The engine is cold until this many requests have finished or this time has passed. 0 switches a
    // condition off; 0 and 0 mean that the engine is never cold.
    std::uint32_t cold_requests = 4;
    milliseconds cold_time{5'000};
    // Most unfinished requests of a cold engine; one more makes it restart because of overload.
    std::uint32_t cold_limit = 1;
    // When an injected fault makes the engine cold, the limit is enforced only after this time, so that
    // senders can learn of the state from the status. Starts and overload restarts have no grace period.
    milliseconds cold_grace{2'000};
    // Factor applied to the duration of a step while the engine is cold.
    double cold_slowdown = 1;
    // How long the stream of a finished request can be resumed.
    milliseconds finished_retention{30'000};
    // Age of the load figures in the reply of /v1/status.
    milliseconds report_lag{0};
};

enum class request_state { waiting, prefill, decode, finished };

const char* to_string(request_state state);

struct engine_request {
    std::string id;
    std::string model;
    std::uint32_t priority = 0;
    std::uint32_t prompt_tokens = 1;
    std::uint32_t max_tokens = 1;
    std::uint64_t prompt_hash = 0;
    std::uint64_t prefix_hash = 0;
};

// A request and its progress in the engine.
struct tracked_request {
    engine_request request;
    request_state state = request_state::waiting;
    std::uint64_t sequence = 0;
    // Prompt tokens not yet processed. Fractional, because requests share the budget of a step.
    double prefill_remaining = 0;
    double step_prefill_tokens = 0;
    std::uint32_t generated = 0;
    // KV-cache memory in tokens.
    std::uint64_t kv_tokens = 0;
    time_point finished_at;
};

enum class engine_event_kind { started, progress, finished, cancelled, overload, cold, warm, peak_memory };

const char* to_string(engine_event_kind kind);

// An event inside the engine. `reason` is set for overload. `tokens` is the KV-cache use of the request, or
// of the whole engine for overload and peak_memory.
struct engine_event {
    engine_event_kind kind = engine_event_kind::progress;
    time_point at;
    std::string id;
    std::string reason;
    std::uint64_t tokens = 0;
};

struct engine_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::uint64_t used_tokens = 0;
};

// Simulated model engine with continuous batching. It does no I/O and reads no clock: time is an argument and
// effects are returned as events. Not thread safe.
class engine {
public:
    engine(const engine_options& options, std::uint64_t seed, time_point now);

    // Submits a request. Fails with `conflict` when the id is in use and with `unavailable` when the request
    // overloaded the engine, which then drops all requests and restarts.
    result<void> submit(engine_request request, time_point now);

    // Drops a request and frees its memory. Returns false when the id is unknown.
    bool cancel(const std::string& id, time_point now);

    // Runs all steps that end at or before `now`.
    void advance(time_point now);

    // End of the current step; empty when the engine is idle.
    std::optional<time_point> next_step() const { return m_step_end; }

    // Makes a running engine cold. Requests already submitted continue.
    void become_cold(time_point now);
    // Sets the factor applied to the duration of every later step.
    void set_slowdown(double factor) { m_slowdown = factor; }

    std::vector<engine_event> take_events();
    const tracked_request* find(const std::string& id) const;
    const std::map<std::string, tracked_request>& requests() const { return m_requests; }
    std::uint64_t incarnation_number() const { return m_incarnation; }
    bool cold() const { return m_cold; }
    std::uint64_t used_tokens() const { return m_used_tokens; }
    const engine_options& options() const { return m_options; }
    engine_load load() const;
    // The load `report_lag` before `now`; zero when none was recorded by then.
    engine_load reported_load(time_point now) const;

private:
    void begin_step(time_point now);
    void finish_step(time_point now);
    void admit_waiting(time_point now);
    double allocate_prefill();
    void generate_token(tracked_request& tracked, time_point now);
    void finish(tracked_request& tracked, time_point now);
    void start_cold(time_point now, milliseconds grace);
    void restart_after_overload(const std::string& reason, time_point now);
    void allocate_kv(tracked_request& tracked, std::uint64_t tokens);
    void release_kv(tracked_request& tracked);
    void apply_time_limits(time_point now);
    void emit(engine_event_kind kind, time_point now, const std::string& id = {}, std::uint64_t tokens = 0,
              const std::string& reason = {});
    void record_load(time_point now);

    engine_options m_options;
    random_engine m_random;
    std::uint64_t m_incarnation = 0;
    std::map<std::string, tracked_request> m_requests;
    std::vector<engine_event> m_events;
    std::deque<std::pair<time_point, engine_load>> m_load_history;
    std::optional<time_point> m_step_end;
    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_used_tokens = 0;
    std::uint64_t m_peak_tokens = 0;
    std::uint64_t m_reported_peak_tokens = 0;
    double m_slowdown = 1;
    bool m_cold = false;
    time_point m_cold_since;
    time_point m_cold_limit_start;
    std::uint32_t m_cold_finished = 0;
};

} // namespace verbena::standin
