#pragma once

#include "forward/fleet.h"

#include <algorithm>

// Conversions between requests, notes and the work of endpoints.
namespace verbena::forward::detail {

// Phases of a dispatch_note.
inline constexpr std::uint8_t phase_started = 0;
inline constexpr std::uint8_t phase_answering = 1;
inline constexpr std::uint8_t phase_ended = 2;
inline constexpr std::uint8_t phase_waiting = 3;

inline std::uint32_t to_u32(clock::duration value)
{
    const std::int64_t count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

inline policy::waiting_prompt to_waiting_prompt(const dispatch_request& request, const policy::work_key& key,
                                                time_point now)
{
    policy::waiting_prompt prompt;
    prompt.key = key;
    prompt.due = now + (request.model.objective - request.model.used);
    prompt.value = request.model.value;
    prompt.loss_per_ms = policy::loss_per_ms(request.model);
    if (request.service->engine) {
        prompt.prefill_ms =
            policy::engine_cost(*request.service->engine).prefill_ms(request.model.prompt_tokens);
    }
    return prompt;
}

inline policy::endpoint_work to_work(const wire::dispatch_noteT& note, time_point now)
{
    policy::endpoint_work work;
    work.prefill_ms = note.read_us / 1000.0;
    work.context_tokens = note.share_tokens;
    work.held_tokens = note.held_tokens;
    work.prefill_only = note.reads_for_other;
    work.parts = note.parts;
    work.due = now + milliseconds(note.first_event_ms);
    work.objective = milliseconds(note.objective_ms);
    work.pause = milliseconds(note.pause_ms);
    work.value = note.value;
    return work;
}

} // namespace verbena::forward::detail
