#include "policy/scheduling_scope.h"

#include "policy/engine_cost.h"

#include <algorithm>

namespace verbena::policy {

namespace {

// Processor time of a choice for each endpoint to choose from.
constexpr double choice_ms_per_endpoint = 0.0006;

// Requests a second to an endpoint whose service does not state its usual requests.
constexpr double assumed_rate = 1;

// Part of the processor time that choices may take; the messages for them, the notes and the own callers of
// the process need the rest.
constexpr double most_for_choices = 0.25;

// A scheduler that chooses for all domains goes on up to this much more than that.
constexpr double kept_above = 1.25;

// Requests a second that an endpoint can answer when all its slots are in use.
double endpoint_rate(const route::service_rule& service)
{
    if (!service.engine || service.engine->usual_answer_tokens == 0) {
        return assumed_rate;
    }
    const route::engine_rule& rule = *service.engine;
    const engine_cost cost(rule);
    const std::uint64_t context =
        std::uint64_t{rule.slots} * (rule.usual_prompt_tokens + rule.usual_answer_tokens);
    const double slot_ms = cost.prefill_ms(rule.usual_prompt_tokens) +
                           cost.decode_ms(rule.usual_answer_tokens, rule.slots, context);
    return rule.slots * 1'000.0 / std::max(slot_ms, 1.0);
}

} // namespace

const char* to_string(scheduling_scope value)
{
    return value == scheduling_scope::deployment ? "deployment" : "domain";
}

void scheduling_load::add(const route::service_rule& service, std::size_t endpoints)
{
    const auto count = static_cast<double>(endpoints);
    m_processor_share += count * endpoint_rate(service) * count * choice_ms_per_endpoint;
    m_slots_are_scarce =
        m_slots_are_scarce || (endpoints != 0 && service.engine && policy::slots_are_scarce(*service.engine));
}

scheduling_scope choose_scope(const scheduling_load& load, std::uint32_t available, scheduling_scope current)
{
    if (!load.slots_are_scarce()) {
        return scheduling_scope::domain;
    }
    const double share = (available == 0 ? 1'000.0 : available) * most_for_choices;
    const double most = current == scheduling_scope::deployment ? share * kept_above : share;
    return load.processor_share() <= most ? scheduling_scope::deployment : scheduling_scope::domain;
}

} // namespace verbena::policy
