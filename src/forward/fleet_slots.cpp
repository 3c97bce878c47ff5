#include "forward/fleet_detail.h"
#include "policy/slot_queue.h"

#include <algorithm>

namespace verbena::forward {

namespace {

// Bounds of the interval at which a request that waits for a slot retries its dispatch. The endings of
// answers are a few milliseconds old when a scheduler hears of them, and each try costs processor time.
constexpr milliseconds min_slot_wait{5};
constexpr milliseconds max_slot_wait{40};

// Prompts that are placed unsplit need a slot and little else. Longer ones wait until several endpoints can
// prefill them.
bool is_unsplit(double prefill_ms)
{
    return prefill_ms <= policy::placement_options{}.max_unsplit_ms;
}

// Mean time that a request of the service occupies a slot of an endpoint whose slots are all taken.
double mean_slot_ms(const policy::engine_cost& cost)
{
    const route::engine_rule& rule = cost.rule();
    const std::uint64_t context =
        std::uint64_t{rule.slots} * (rule.usual_prompt_tokens + rule.usual_answer_tokens);
    return cost.prefill_ms(rule.usual_prompt_tokens) +
           cost.decode_ms(rule.usual_answer_tokens, rule.slots, context);
}

} // namespace

bool fleet::waits_for_slot(const route::service_rule& service, double prefill_ms) const
{
    return m_parts.slot_queue && service.engine && policy::slots_are_scarce(*service.engine) &&
           is_unsplit(prefill_ms);
}

bool fleet::waits_for_slot(const dispatch_request& request) const
{
    const std::optional<route::engine_rule>& engine = request.service->engine;
    return engine && !request.answer_started &&
           waits_for_slot(*request.service,
                          policy::engine_cost(*engine).prefill_ms(request.model.prompt_tokens));
}

// The first event of an answer follows the prefill after one more pass of the endpoint.
milliseconds fleet::shortest_first_event(const dispatch_request& request)
{
    const policy::engine_cost cost(*request.service->engine);
    const double ms =
        cost.prefill_ms(request.model.prompt_tokens) + cost.event_interval_ms(1, request.model.prompt_tokens);
    return milliseconds(static_cast<std::int64_t>(ms));
}

double fleet::queue_loss_per_ms(const dispatch_request& request, time_point now) const
{
    double loss = 0;
    for (const auto& [key, other] : m_waiting) {
        const bool behind = key != request.wait && other.service == request.service->name &&
                            !waits_for_slot(*request.service, other.prompt.prefill_ms);
        loss += behind && other.prompt.due > now ? other.prompt.loss_per_ms : 0;
    }
    return loss;
}

milliseconds fleet::first_event_at(const endpoint_state& state, const dispatch_request& request,
                                   time_point now) const
{
    const policy::engine_cost cost(*request.service->engine);
    const double pass_ms = cost.event_interval_ms(state.load.decoding_requests() + 1,
                                                  state.load.context_tokens() + request.model.prompt_tokens);
    const double ms =
        state.load.backlog_ms(now) +
        (cost.prefill_ms(request.model.prompt_tokens) + 1.5 * pass_ms) * slowdown_of(state, now);
    return milliseconds(static_cast<std::int64_t>(std::min(ms, 1e9)));
}

fleet::free_slots fleet::find_free_slots(const dispatch_request& request,
                                         const std::vector<endpoint_state*>& found, time_point now) const
{
    const policy::engine_cost cost(*request.service->engine);
    const double quick_ms =
        static_cast<double>(request.model.objective.count()) * policy::placement_options{}.prediction_margin;
    const double slot_ms = std::max(mean_slot_ms(cost), 1.0);
    free_slots result;
    for (endpoint_state* state : found) {
        const milliseconds first_event = first_event_at(*state, request, now);
        const auto first_event_ms = static_cast<double>(first_event.count());
        const std::size_t requests = state->load.requests();
        const std::size_t slots = state->info.slots;
        const double freed = static_cast<double>(std::min(requests, slots)) / slot_ms;
        result.supply.freed_anywhere_per_ms += freed;
        const std::size_t usable = usable_slots(*state, cost.rule(), now);
        result.supply.freed_per_ms += first_event_ms <= quick_ms && requests <= usable ? freed : 0;
        if (requests >= slots) {
            continue;
        }
        if (first_event_ms > quick_ms) {
            auto& best = result.supply.slow_first_event;
            best = best ? std::min(*best, first_event) : first_event;
            result.slow.push_back(state);
            continue;
        }
        if (requests >= usable) {
            result.supply.reserved += slots - requests;
            result.reserved.push_back(state);
            continue;
        }
        result.supply.free += usable - requests;
        result.supply.reserved += slots - usable;
        result.quick.push_back(state);
    }
    return result;
}

dispatch_result fleet::dispatch_to_free_slot(const dispatch_request& request,
                                             const std::vector<endpoint_state*>& found, time_point now)
{
    const policy::engine_cost cost(*request.service->engine);
    const free_slots slots = find_free_slots(request, found, now);
    const policy::work_key own = request.wait.value_or(policy::work_key{m_self, 0});
    const double pass_ms = cost.event_interval_ms(1, request.model.prompt_tokens);
    std::vector<policy::waiting_prompt> waiting{detail::to_waiting_prompt(request, own, now)};
    for (const auto& [key, other] : m_waiting) {
        if (key != own && other.service == request.service->name &&
            waits_for_slot(*request.service, other.prompt.prefill_ms)) {
            waiting.push_back(other.prompt);
        }
    }
    for (policy::waiting_prompt& prompt : waiting) {
        prompt.prefill_ms += pass_ms;
    }
    const milliseconds disconnect = request.model.disconnect_after;
    const milliseconds left =
        disconnect > milliseconds::zero() ? std::min(disconnect, request.time_left) : request.time_left;
    const policy::slot_decision decision =
        policy::decide_slot(waiting, own, slots.supply, left - shortest_first_event(request), now);
    switch (decision.action) {
    case policy::slot_action::take:
        return dispatch_model(request, slots.quick, now);
    case policy::slot_action::take_reserved:
        return dispatch_model(request, slots.reserved.empty() ? slots.quick : slots.reserved, now);
    case policy::slot_action::take_slow:
        return dispatch_model(request, slots.slow, now);
    case policy::slot_action::wait:
    case policy::slot_action::refuse:
        break;
    }
    dispatch_result outcome;
    if (decision.action == policy::slot_action::refuse) {
        outcome.refusal.why = dispatch_refusal::reason::no_slot;
        outcome.refusal.predicted = decision.start_after;
        outcome.refusal.retry_after = decision.start_after;
        return outcome;
    }
    outcome.wait = std::clamp(decision.start_after / 2, min_slot_wait, max_slot_wait);
    return outcome;
}

std::size_t fleet::slot_waiters() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [this](const auto& item) {
            const auto engine = m_engines.find(item.second.service);
            return m_parts.slot_queue && engine != m_engines.end() &&
                   policy::slots_are_scarce(engine->second) && is_unsplit(item.second.prompt.prefill_ms);
        }));
}

} // namespace verbena::forward
