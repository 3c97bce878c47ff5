#include "base/event_log.h"
#include "forward/fleet.h"
#include "forward/part_names.h"

namespace verbena::forward {

namespace {

std::string state_name(const policy::crash_record& record)
{
    if (record.trials_begun > record.trials_ended) {
        return "trial";
    }
    return policy::to_string(policy::state_of(record));
}

} // namespace

void fleet::begin_trial(const dispatch_choice& choice, const dispatch_request& request,
                        dispatch_record& record, time_point now)
{
    record.trial_parts = request.parts;
    ++m_endpoints.at(choice.endpoints.front().name).trials;
    for (const policy::crash_statement& changed : m_suspects.begin_trial(request.parts, now)) {
        m_changed_trials.push_back(changed);
    }
}

void fleet::end_trial(dispatch_record& record)
{
    if (record.trial_parts.empty()) {
        return;
    }
    const auto found = m_endpoints.find(record.notes.front().endpoint);
    if (found != m_endpoints.end() && found->second.trials != 0) {
        --found->second.trials;
    }
    for (const policy::crash_statement& changed : m_suspects.end_trial(record.trial_parts)) {
        m_changed_trials.push_back(changed);
    }
    record.trial_parts.clear();
}

void fleet::record_answer(const std::vector<policy::prompt_part>& parts, const std::string& request,
                          time_point now)
{
    std::vector<policy::crash_statement> changed;
    {
        const std::lock_guard lock(m_mutex);
        changed = m_suspects.on_answer(parts, now);
    }
    publish_crashes(changed, "answer", request);
}

void fleet::record_crash(const std::vector<policy::prompt_part>& parts, const std::string& request,
                         const std::string& endpoint, time_point sent, time_point now)
{
    std::vector<policy::crash_statement> changed;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_endpoints.find(endpoint);
        const bool planned =
            found != m_endpoints.end() &&
            (found->second.info.leaving || found->second.info.gone || found->second.announced_leaving);
        if (!planned) {
            changed = m_suspects.on_crash(parts, sent, now);
        }
    }
    publish_crashes(changed, "crash", request, endpoint);
}

std::optional<dispatch_refusal> fleet::crash_refusal(const std::vector<policy::prompt_part>& parts,
                                                     time_point now)
{
    const std::lock_guard lock(m_mutex);
    const policy::crash_verdict verdict = m_suspects.check(parts, now);
    if (verdict.what != policy::crash_verdict::action::refuse) {
        return std::nullopt;
    }
    dispatch_refusal refusal;
    refusal.why = dispatch_refusal::reason::crashing_prompt;
    refusal.part = verdict.part;
    refusal.retry_after = verdict.retry_after;
    return refusal;
}

void fleet::set_crashes_known(bool known)
{
    const std::lock_guard lock(m_mutex);
    m_crashes_known = known;
}

void fleet::apply_crash_records(const std::vector<policy::crash_statement>& received, time_point now)
{
    std::vector<policy::crash_statement> changed;
    {
        const std::lock_guard lock(m_mutex);
        m_crashes_known = true;
        for (const policy::crash_statement& statement : received) {
            if (const auto merged = m_suspects.merge(statement, now)) {
                changed.push_back(*merged);
            }
        }
    }
    publish_crashes(changed, "report");
}

std::vector<policy::crash_statement> fleet::crash_records(time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.records(now);
}

bool fleet::release_part(policy::prompt_part part, time_point now)
{
    std::vector<policy::crash_statement> changed;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto released = m_suspects.release(part, now)) {
            changed.push_back(*released);
        }
    }
    publish_crashes(changed, "operator");
    return !changed.empty();
}

void fleet::refresh_crash_records(time_point now)
{
    std::vector<policy::crash_statement> due;
    {
        const std::lock_guard lock(m_mutex);
        due = m_suspects.due_for_refresh(now);
    }
    if (m_on_crash && !due.empty()) {
        m_on_crash(due);
    }
}

void fleet::publish_crashes(const std::vector<policy::crash_statement>& changed, const char* cause,
                            const std::string& request, const std::string& endpoint)
{
    for (const policy::crash_statement& statement : changed) {
        event::prompt_part_stateT line;
        line.part = part_name(statement.part);
        line.state = state_name(statement.record);
        line.crashes = statement.record.crashes;
        line.trials = statement.record.blocked_trials;
        line.cause = cause;
        line.request = request;
        line.endpoint = endpoint;
        event_log::write(line);
    }
    if (m_on_crash && !changed.empty()) {
        m_on_crash(changed);
    }
}

} // namespace verbena::forward
