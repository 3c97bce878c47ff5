#include "control/demand_collector.h"

#include <algorithm>

namespace verbena::control {

namespace {

// Schedulers poll at least every second. One that is silent for longer has stopped, or another one schedules.
constexpr milliseconds report_timeout{3'000};
constexpr std::chrono::seconds forget_time{60};
// Bounds on what polls can make this member hold.
constexpr std::size_t max_reporters = 1'000;
constexpr std::size_t max_rows = 10'000;

std::uint32_t to_count(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, 1'000'000'000));
}

std::uint64_t increase(std::uint64_t to, std::uint64_t from)
{
    return to > from ? to - from : 0;
}

} // namespace

demand_collector::event_counts demand_collector::counts_of(const wire::service_demandT& row)
{
    return {row.answered, row.late, row.turned_away};
}

void demand_collector::answer(const wire::pollT& poll, bool leads, time_point now, wire::poll_replyT& reply)
{
    reply.demand_wanted = leads;
    if (leads != m_leads) {
        m_leads = leads;
        m_reporters.clear();
    }
    if (!leads || poll.demand.empty()) {
        return;
    }
    std::erase_if(m_reporters, [now](const auto& item) { return now - item.second.received > forget_time; });
    if (poll.demand.size() > max_rows ||
        (m_reporters.size() >= max_reporters && !m_reporters.contains(poll.incarnation))) {
        return;
    }
    reporter& from = m_reporters[poll.incarnation];
    from.failure_domain = poll.failure_domain;
    from.received = now;
    from.rows.clear();
    for (const auto& row : poll.demand) {
        const subject key{row->service, row->failure_domain};
        // What happened before the first report of a scheduler is not known to be recent.
        from.taken.try_emplace(key, counts_of(*row));
        from.rows[key] = *row;
    }
    std::erase_if(from.taken, [&from](const auto& item) { return !from.rows.contains(item.first); });
}

std::map<demand_collector::subject, demand_collector::reporter*>
demand_collector::choose_reporters(time_point now)
{
    std::map<subject, reporter*> chosen;
    for (auto& [id, candidate] : m_reporters) {
        if (now - candidate.received > report_timeout) {
            continue;
        }
        for (const auto& [key, row] : candidate.rows) {
            reporter*& best = chosen[key];
            const bool own = candidate.failure_domain == key.second;
            const bool best_own = best != nullptr && best->failure_domain == key.second;
            if (best == nullptr || (own && !best_own) ||
                (own == best_own && candidate.received > best->received)) {
                best = &candidate;
            }
        }
    }
    return chosen;
}

demand_collector::event_counts demand_collector::take_events(reporter& from, const subject& key)
{
    const auto row = from.rows.find(key);
    if (row == from.rows.end()) {
        return {};
    }
    const event_counts now = counts_of(row->second);
    event_counts& taken = from.taken[key];
    const event_counts added{increase(now.answered, taken.answered), increase(now.late, taken.late),
                             increase(now.refused, taken.refused)};
    taken = now;
    return added;
}

std::map<demand_collector::subject, policy::scaling_sample> demand_collector::take_samples(time_point now)
{
    std::map<subject, policy::scaling_sample> samples;
    std::map<std::string, std::uint32_t> waiting; // by service
    for (const auto& [key, from] : choose_reporters(now)) {
        const wire::service_demandT& row = from->rows.at(key);
        policy::scaling_sample& sample = samples[key];
        sample.starting = std::min(row.starting, row.endpoints);
        sample.ready = row.endpoints - sample.starting;
        sample.slots =
            row.endpoints == 0 ? 0 : to_count(std::uint64_t{row.slots} * sample.ready / row.endpoints);
        sample.in_work = row.in_work;
        sample.age = std::chrono::duration_cast<milliseconds>(now - from->received);
        // Every scheduler knows all answers, and only its own refusals.
        for (auto& [id, other] : m_reporters) {
            const event_counts added = take_events(other, key);
            sample.refused += to_count(added.refused);
            if (&other == from) {
                sample.answered = to_count(added.answered);
                sample.late = to_count(added.late);
            }
            // Every scheduler knows all requests that wait.
            const auto own = other.rows.find(key);
            if (own != other.rows.end() && now - other.received <= report_timeout) {
                waiting[key.first] = std::max(waiting[key.first], own->second.waiting);
            }
        }
    }
    for (auto& [key, sample] : samples) {
        sample.waiting = std::exchange(waiting[key.first], 0);
    }
    return samples;
}

} // namespace verbena::control
