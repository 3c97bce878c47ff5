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
            std::shared_ptr<std::atomic<std::uint64_t>> held_bytes = nullptr)
        : id(own_id), submit(std::move(submitted)), body(std::move(request_body)), arrived_at(arrival),
          deadline(arrival + milliseconds(submit.time_left_ms)), log(executor, std::move(held_bytes)),
          urgency(static_cast<request_class>(std::min<std::uint8_t>(submit.request_class, 2)))
    {
    }

    // Request id of the attempt at the engine: 32 hex digits, "-" and the attempt number.
    std::string engine_id() const;

    const attempt_id id;
    const wire::submitT submit;
    std::string body;
    const time_point arrived_at;
    const time_point deadline;
    answer_log log;

    // Request class used for scheduling; batch when the team is over its share.
    request_class urgency;
    attempt_phase phase = attempt_phase::queued;
    bool cancel_requested = false;
    // Start of the owner lease: when the entry's stream ended before the response was complete.
    std::optional<time_point> owner_lost_at;
    std::optional<time_point> ended_at;
    time_point dispatched_at;
    // Time that the engine spent on the prompt; set at the first token.
    std::optional<clock::duration> prefill;
    // Number of the current delivery; a resume starts a new one, which replaces the older one.
    std::uint64_t delivery = 0;
    // True once the entry has received the complete response.
    bool acknowledged = false;
};

inline attempt_id to_attempt_id(const wire::request_id& id, std::uint32_t number)
{
    return attempt_id{request_id{id.high(), id.low()}, number};
}

// Parses the result of attempt::engine_id(); empty when the text has another form.
std::optional<attempt_id> parse_engine_id(const std::string& text);

} // namespace verbena::agent
