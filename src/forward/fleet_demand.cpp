#include "forward/fleet.h"

namespace verbena::forward {

namespace {

bool shows_lack_of_room(dispatch_refusal::reason why)
{
    return why == dispatch_refusal::reason::no_endpoint || why == dispatch_refusal::reason::too_late ||
           why == dispatch_refusal::reason::too_harmful;
}

} // namespace

void fleet::count_first_event(const dispatch_record& record, time_point now)
{
    for (const wire::dispatch_noteT& note : record.notes) {
        const auto endpoint = m_endpoints.find(note.endpoint);
        if (!note.reads_for_other && endpoint != m_endpoints.end()) {
            const wire::announcementT& info = endpoint->second.info;
            outcome_counts& counts = m_outcomes[{info.service, info.failure_domain}];
            ++counts.answered;
            counts.late += record.due != time_point{} && now > record.due ? 1 : 0;
            return;
        }
    }
}

// An entry that chooses alone lacks knowledge of the load rather than room.
void fleet::count_refusal(const dispatch_request& request, const dispatch_result& outcome)
{
    if (!outcome.choice && outcome.wait == milliseconds::zero() && !request.alone &&
        shows_lack_of_room(outcome.refusal.why)) {
        ++m_outcomes[{request.service->name, domain_of(request)}].refused;
    }
}

// Endpoints of a domain out of service are counted: they are there for its return.
std::vector<std::unique_ptr<wire::service_demandT>>
fleet::demand_summary(const std::set<std::string>& services, time_point now) const
{
    std::map<std::pair<std::string, std::string>, wire::service_demandT> rows;
    const std::lock_guard lock(m_mutex);
    for (const std::string& service : services) {
        rows[{service, m_own_domain}];
    }
    for (const auto& [name, state] : m_endpoints) {
        const bool leaves = state.info.leaving || state.info.gone || state.announced_leaving;
        if (!services.contains(state.info.service) || leaves || state.misdirected || !is_listed(state, now) ||
            now < state.superseded_until) {
            continue;
        }
        wire::service_demandT& row = rows[{state.info.service, state.info.failure_domain}];
        ++row.endpoints;
        row.starting += now < state.cold_until ? 1 : 0;
        row.slots += state.info.slots;
        row.in_work += static_cast<std::uint32_t>(state.load.requests());
    }
    for (const auto& [key, request] : m_waiting) {
        if (services.contains(request.service)) {
            ++rows[{request.service, m_own_domain}].waiting;
        }
    }
    std::vector<std::unique_ptr<wire::service_demandT>> summary;
    for (auto& [key, row] : rows) {
        const auto counts = m_outcomes.find(key);
        if (counts != m_outcomes.end()) {
            row.answered = counts->second.answered;
            row.late = counts->second.late;
            row.turned_away = counts->second.refused;
        }
        row.service = key.first;
        row.failure_domain = key.second;
        summary.push_back(std::make_unique<wire::service_demandT>(std::move(row)));
    }
    return summary;
}

} // namespace verbena::forward
