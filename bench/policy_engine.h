#pragma once

#include "base/types.h"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace verbena::bench {

// Discrete-event queue with a virtual clock. Events with equal times run in the order in which they were
// scheduled.
class event_queue {
public:
    time_point now() const { return m_now; }
    void at(time_point when, std::function<void()> action);
    void after(clock::duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }

    // Runs all events up to and including the given time.
    void run_until(time_point end);

private:
    struct event {
        time_point when{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    struct later {
        bool operator()(const event& left, const event& right) const;
    };

    time_point m_now = time_point{} + std::chrono::hours(1);
    std::uint64_t m_sequence = 0;
    std::priority_queue<event, std::vector<event>, later> m_events;
};

// Parameters of the simulated engine. A step takes the base time, a time per decoding request and the time of
// its prefill chunk: 20 ms per token when only decoding, 35 ms with prefill, about 14,600 prompt tokens/s.
struct engine_options {
    std::uint64_t capacity_tokens = 400'000;
    clock::duration base_step = milliseconds(20);
    clock::duration step_per_request = std::chrono::microseconds(50);
    std::uint32_t chunk_tokens = 512;
    clock::duration chunk_time = milliseconds(15);
    bool priorities = true;
    double cold_slowdown = 6;         // factor on the step time when fully cold
    std::uint32_t cold_requests = 16; // a cold engine fails when it holds more requests than this
    double requests_per_success = 4;  // increase of that bound per success
    std::uint32_t successes_to_warm = 16;
    clock::duration restart_time = std::chrono::seconds(2); // after a failure
};

// One request in the engine.
struct engine_job {
    attempt_id attempt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 1;
    std::uint32_t priority = 0;
    std::uint64_t sequence = 0;
    std::uint32_t prefilled = 0;
    std::uint32_t generated = 0;

    bool decoding() const { return prefilled == prompt_tokens; }
};

// Callbacks of the engine to its agent.
class engine_listener {
public:
    virtual ~engine_listener() = default;
    virtual void first_token(const attempt_id& attempt) = 0;
    virtual void finished(const attempt_id& attempt) = 0;
    // The engine failed and restarts; all its requests are lost.
    virtual void failed(const std::vector<attempt_id>& lost) = 0;
};

// Simulated engine: continuous batching with chunked prefill by priority, bounded KV memory and cold start.
// It fails when its requests hold more tokens than its capacity, or when it is cold and holds too many
// requests.
class simulated_engine {
public:
    simulated_engine(event_queue& events, engine_listener& listener, const engine_options& options);

    void submit(engine_job job);
    void cancel(const attempt_id& attempt);
    void turn_cold() { m_successes = 0; }

    bool up() const { return m_up; }
    bool cold() const { return m_successes < m_options.successes_to_warm; }
    incarnation current() const { return m_incarnation; }
    std::uint64_t tokens_held() const;
    std::size_t running() const { return m_jobs.size(); }
    std::uint32_t memory_failures() const { return m_memory_failures; }
    std::uint32_t cold_failures() const { return m_cold_failures; }
    double prefilled_tokens() const { return m_prefilled_tokens; }

private:
    struct prefill_part {
        attempt_id attempt;
        std::uint32_t tokens = 0;
    };

    void start_step();
    void end_step(const std::vector<prefill_part>& prefill, const std::vector<attempt_id>& decode);
    std::vector<prefill_part> plan_prefill() const;
    clock::duration step_time(const std::vector<prefill_part>& prefill, std::size_t decoding) const;
    engine_job* find(const attempt_id& attempt);
    void finish(const attempt_id& attempt);
    void fail();

    event_queue& m_events;
    engine_listener& m_listener;
    engine_options m_options;
    std::vector<engine_job> m_jobs;
    std::uint64_t m_sequence = 0;
    incarnation m_incarnation = 1;
    bool m_busy = false;
    bool m_up = true;
    std::uint32_t m_successes = 0;
    std::uint32_t m_memory_failures = 0;
    std::uint32_t m_cold_failures = 0;
    double m_prefilled_tokens = 0;
};

} // namespace verbena::bench
