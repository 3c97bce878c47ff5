#pragma once

#include "agent/answer_log.h"
#include "wire_generated.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace verbena::agent {

enum class attempt_phase : std::uint8_t { queued, running, ended };

// One attempt at this endpoint. The submit message and the body do not change after construction; the other
// members are guarded by the mutex of the admission table that holds the attempt.
struct attempt {
    attempt(attempt_id own_id, wire::submitT submitted, std::string request_body, time_point arrival,
            const net::asio::any_io_executor& executor,
            std::shared_ptr<std::atomic<std::uint64_t>> held = nullptr)
        : id(own_id), submit(std::move(submitted)), body(std::move(request_body)), arrived(arrival),
          deadline(arrival + milliseconds(submit.time_left_ms)), log(executor, std::move(held)),
          urgency(static_cast<request_class>(std::min<std::uint8_t>(submit.request_class, 2)))
    {
    }

    // Name of the attempt at the engine.
    std::string engine_id() const;

    const attempt_id id;
    const wire::submitT submit;
    std::string body;
    const time_point arrived;
    const time_point deadline;
    answer_log log;

    // Class under which the attempt competes; a team over its share competes as batch.
    request_class urgency;
    attempt_phase phase = attempt_phase::queued;
    bool cancel_requested = false;
    // Set when the entry's stream has ended before the answer; the owner lease runs from then.
    std::optional<time_point> owner_lost;
    std::optional<time_point> ended;
    time_point dispatched;
    // Time that the engine spent on the prompt; known after the first token.
    std::optional<clock::duration> prefill;
    // Counts deliveries; a resume takes over from an older one.
    std::uint64_t delivery = 0;
    // True once the entry has the whole answer.
    bool acknowledged = false;
};

inline attempt_id to_attempt_id(const wire::request_id& id, std::uint32_t number)
{
    return attempt_id{request_id{id.high(), id.low()}, number};
}

// Parses an engine's name of an attempt; empty when it has another form.
std::optional<attempt_id> parse_engine_id(const std::string& text);

} // namespace verbena::agent
