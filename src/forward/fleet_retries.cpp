#include "base/event_log.h"
#include "forward/fleet_detail.h"

// Repeated attempts that a scheduler grants; see docs/design/retry-budget.md.
namespace verbena::forward {

namespace {

bool is_repeat(wire::attempt_kind kind)
{
    return kind == wire::attempt_kind::repeat_lost || kind == wire::attempt_kind::repeat_silent;
}

const char* to_string(policy::retry_verdict value)
{
    switch (value) {
    case policy::retry_verdict::undecided:
        return "undecided";
    case policy::retry_verdict::granted:
        return "granted";
    case policy::retry_verdict::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace

void fleet::set_retry_options(const policy::retry_grant_options& options)
{
    const std::lock_guard lock(m_mutex);
    m_retry_grants.set_options(options);
}

policy::retry_pool_state fleet::retry_state(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_retry_grants.state(now);
}

void fleet::hear_statement(const dispatch_request& request, time_point now)
{
    if (!m_parts.retry_grants || request.alone || request.attempt == wire::attempt_kind::unstated) {
        return;
    }
    const incarnation entry = request.key ? request.key->entry : m_self;
    m_retry_grants.hear(request.service->name, entry, request.recent, now);
    const bool is_first_try = !request.wait;
    for (const std::string& name : request.silent) {
        const auto found = m_endpoints.find(name);
        if (is_first_try && entry != m_self && found != m_endpoints.end()) {
            apply_health(found->second, attempt_health::unreachable, now);
        }
    }
}

// An entry that chooses alone learns of silence by its own requests. The answer to a split prompt may be late
// because of another endpoint.
void fleet::watch_first_event(const dispatch_request& request, const dispatch_result& outcome, time_point now)
{
    const std::optional<route::engine_rule>& engine = request.service->engine;
    const bool watched = m_parts.first_event_watch && engine && policy::slots_are_scarce(*engine);
    if (!watched || request.alone || !outcome.choice || outcome.choice->endpoints.size() != 1) {
        return;
    }
    const policy::work_key key = request.key.value_or(policy::work_key{m_self, outcome.choice->number});
    m_first_events.expect(outcome.choice->endpoints.front().name, key, outcome.choice->predicted_first_event,
                          now);
}

void fleet::grant_repeat(const dispatch_request& request, dispatch_result& outcome, time_point now)
{
    if (!m_parts.retry_grants || request.alone || !outcome.choice || !is_repeat(request.attempt)) {
        return;
    }
    const bool silent = request.attempt == wire::attempt_kind::repeat_silent;
    const double worth = policy::repeat_worth(request.model, outcome.choice->predicted_first_event,
                                              request.time_left, request.answer_started);
    const policy::retry_pool_state before = m_retry_grants.state_of(request.service->name, now);
    const policy::retry_verdict verdict = m_retry_grants.decide(
        request.service->name, silent ? policy::retry_cause::silent : policy::retry_cause::lost, worth, now);
    const policy::work_key key = request.key.value_or(policy::work_key{m_self, outcome.choice->number});
    event::retry_decidedT line;
    line.service = request.service->name;
    line.entry = key.entry;
    line.number = key.number;
    line.cause = silent ? "silent" : "lost";
    line.verdict = to_string(verdict);
    line.worth = worth;
    line.used = before.used;
    line.limit = before.limit;
    event_log::write(line);
    outcome.repeat_granted = verdict == policy::retry_verdict::granted;
    if (verdict == policy::retry_verdict::refused) {
        wire::dispatch_noteT end;
        end.phase = detail::phase_ended;
        advance_phase(key, end, now);
        outcome = dispatch_result{};
        outcome.refusal.why = dispatch_refusal::reason::retry_budget;
    }
}

} // namespace verbena::forward
