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
    // Prompt tokens that one step takes at most, so that decoding goes on beside a long prompt.
    std::uint32_t chunk_tokens = 512;
    // Time of one decode step for the whole batch.
    std::chrono::microseconds decode_step{20'000};
    std::size_t max_batch = 32;
    std::uint64_t capacity_tokens = 200'000;
    // The engine stays cold until this many requests have finished or the time has passed. 0 and 0 mean
    // that it is never cold.
    std::uint32_t cold_requests = 4;
    milliseconds cold_time{5'000};
    // Unfinished requests that a cold engine bears; one more makes it fall over.
    std::uint32_t cold_limit = 1;
    // After turning cold by a fault, the limit is enforced only after this time, so that whoever sends can
    // learn of it. A start and a fall have no such grace.
    milliseconds cold_grace{2'000};
    // Factor on the duration of a step while the engine is cold.
    double cold_slowdown = 1;
    // How long a finished answer can be resumed.
    milliseconds keep_finished{30'000};
    // Age of the load figures in status().
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

// A request as the engine holds it.
struct held_request {
    engine_request request;
    request_state state = request_state::waiting;
    std::uint64_t order = 0;
    // Prompt tokens still to be computed.
    double prefill_left = 0;
    double step_share = 0;
    std::uint32_t generated = 0;
    // KV memory in tokens.
    std::uint64_t kv_tokens = 0;
    time_point finished_at;
};

enum class engine_fact { started, progress, finished, cancelled, overload, cold, warm, peak_memory };

const char* to_string(engine_fact fact);

// Something that happened inside the engine. `reason` is set for overloads, `tokens` holds the KV tokens
// of the request, or of the whole engine for overload and peak_memory.
struct engine_event {
    engine_fact fact = engine_fact::progress;
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

// Simulated model engine with continuous batching. Pure: time is an argument, effects are returned as
// events. Not thread safe.
class engine {
public:
    engine(const engine_options& options, std::uint64_t seed, time_point now);

    // Takes a request. Fails with `conflict` when the id is known and with `unavailable` when the request
    // made the engine fall over.
    result<void> submit(engine_request request, time_point now);

    // Drops a request and frees its memory; false when the id is unknown.
    bool cancel(const std::string& id, time_point now);

    // Runs all steps that end at or before `now`.
    void advance(time_point now);

    // End of the running step; empty when the engine is idle.
    std::optional<time_point> next_step() const { return m_step_end; }

    // Turns cold while it runs. Requests already held go on.
    void turn_cold(time_point now);
    // Multiplies the duration of every later step.
    void set_slowdown(double factor) { m_slowdown = factor; }

    std::vector<engine_event> take_events();
    const held_request* find(const std::string& id) const;
    const std::map<std::string, held_request>& requests() const { return m_requests; }
    std::uint64_t incarnation_number() const { return m_incarnation; }
    bool cold() const { return m_cold; }
    std::uint64_t used_tokens() const { return m_used; }
    const engine_options& options() const { return m_options; }
    engine_load load() const;
    // The load as it was `report_lag` ago.
    engine_load reported_load(time_point now) const;

private:
    void begin_step(time_point now);
    void finish_step(time_point now);
    void admit_waiting(time_point now);
    double share_prefill();
    void end_prefill_or_decode(held_request& held, time_point now);
    void finish(held_request& held, time_point now);
    void start_cold(time_point now, milliseconds grace);
    void fall_over(const std::string& reason, time_point now);
    void hold_memory(held_request& held, std::uint64_t tokens);
    void release(held_request& held);
    void expire(time_point now);
    void emit(engine_fact fact, time_point now, const std::string& id = {}, std::uint64_t tokens = 0,
              const std::string& reason = {});
    void note_load(time_point now);

    engine_options m_options;
    random_engine m_random;
    std::uint64_t m_incarnation = 0;
    std::map<std::string, held_request> m_requests;
    std::vector<engine_event> m_events;
    std::deque<std::pair<time_point, engine_load>> m_loads;
    std::optional<time_point> m_step_end;
    std::uint64_t m_order = 0;
    std::uint64_t m_used = 0;
    std::uint64_t m_peak = 0;
    std::uint64_t m_peak_reported = 0;
    double m_slowdown = 1;
    bool m_cold = false;
    time_point m_cold_since;
    time_point m_cold_enforced;
    std::uint32_t m_cold_finished = 0;
};

} // namespace verbena::standin
