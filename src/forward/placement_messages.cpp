#include "forward/placement_messages.h"

#include "forward/fleet_detail.h"

#include <algorithm>

namespace verbena::forward {

namespace {

std::uint32_t to_u32(milliseconds value)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, longest));
}

} // namespace

wire::placement_requestT to_message(const dispatch_request& request, milliseconds wait_limit,
                                    incarnation entry, std::uint64_t number)
{
    const policy::model_request& model = request.model;
    wire::placement_requestT message;
    message.entry = entry;
    message.number = number;
    message.service = request.service->name;
    message.prompt_tokens = model.prompt_tokens;
    message.output_tokens = model.output_tokens;
    message.objective_ms = to_u32(model.objective);
    message.used_ms = to_u32(model.used);
    message.pause_ms = to_u32(model.pause);
    message.disconnect_after_ms = to_u32(model.disconnect_after);
    message.value = static_cast<float>(model.value);
    message.time_left_ms = to_u32(request.time_left);
    message.may_wait_ms = to_u32(wait_limit);
    message.answer_started = request.answer_started;
    message.excluded.assign(request.excluded.begin(), request.excluded.end());
    message.prompt_parts = request.parts;
    message.attempt = request.attempt;
    message.window_requests = request.recent.requests;
    message.window_repeats = request.recent.repeats;
    message.silent.assign(request.silent.begin(), request.silent.end());
    return message;
}

dispatch_request to_request(const wire::placement_request& message, const route::service_rule& service)
{
    dispatch_request request;
    request.service = &service;
    request.key = policy::work_key{message.entry(), message.number()};
    policy::model_request& model = request.model;
    model.prompt_tokens = message.prompt_tokens();
    model.output_tokens = message.output_tokens();
    model.objective = milliseconds(message.objective_ms());
    model.used = milliseconds(message.used_ms());
    model.pause = milliseconds(message.pause_ms());
    model.disconnect_after = milliseconds(message.disconnect_after_ms());
    model.value = message.value();
    request.time_left = milliseconds(message.time_left_ms());
    request.answer_started = message.answer_started();
    if (message.excluded() != nullptr) {
        for (const auto* name : *message.excluded()) {
            request.excluded.insert(name->str());
        }
    }
    if (message.prompt_parts() != nullptr) {
        request.parts.assign(message.prompt_parts()->begin(), message.prompt_parts()->end());
    }
    request.attempt = message.attempt();
    request.recent = {message.window_requests(), message.window_repeats()};
    if (message.silent() != nullptr) {
        for (const auto* name : *message.silent()) {
            request.silent.insert(name->str());
        }
    }
    return request;
}

wire::placement_replyT to_message(const dispatch_result& found, std::vector<wire::dispatch_noteT> notes)
{
    wire::placement_replyT reply;
    if (!found.choice) {
        reply.state = wire::placement_state::refused;
        reply.reason = static_cast<std::uint8_t>(found.refusal.why);
        reply.predicted_ms = to_u32(found.refusal.predicted);
        reply.prompt_part = found.refusal.part;
        reply.retry_after_ms = to_u32(found.refusal.retry_after);
        return reply;
    }
    reply.state = wire::placement_state::chosen;
    reply.repeat_granted = found.repeat_granted;
    reply.predicted_ms = to_u32(found.choice->predicted_first_event);
    for (wire::dispatch_noteT& note : notes) {
        reply.notes.push_back(std::make_unique<wire::dispatch_noteT>(std::move(note)));
    }
    return reply;
}

dispatch_refusal read_refusal(const wire::placement_reply& reply)
{
    dispatch_refusal refusal;
    constexpr auto last = static_cast<std::uint8_t>(dispatch_refusal::reason::retry_budget);
    refusal.why = static_cast<dispatch_refusal::reason>(std::min(reply.reason(), last));
    refusal.predicted = milliseconds(reply.predicted_ms());
    refusal.part = reply.prompt_part();
    refusal.retry_after = milliseconds(reply.retry_after_ms());
    return refusal;
}

wire::dispatch_noteT make_end_note(std::uint64_t number)
{
    wire::dispatch_noteT note;
    note.number = number;
    note.phase = detail::phase_ended;
    return note;
}

} // namespace verbena::forward
