#include "policy/endpoint_load.h"

#include <algorithm>

namespace verbena::policy {

namespace {

clock::duration to_duration(double ms)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

double ms_until(time_point end, time_point now)
{
    return end <= now ? 0 : std::chrono::duration<double, std::milli>(end - now).count();
}

} // namespace

void endpoint_load::start(const work_key& key, const endpoint_work& work, double slowdown, time_point now)
{
    m_work[key] = work;
    const clock::duration prefill = to_duration(work.answering ? 0 : work.prefill_ms * slowdown);
    m_prefill_end = std::max(m_prefill_end, now) + prefill;
    recompute_totals();
}

void endpoint_load::first_event(const work_key& key, double slowdown, time_point now)
{
    const auto found = m_work.find(key);
    if (found == m_work.end() || found->second.answering) {
        return;
    }
    found->second.answering = true;
    recompute_totals();
    cap_backlog(slowdown, now);
}

void endpoint_load::end(const work_key& key, double slowdown, time_point now)
{
    if (m_work.erase(key) != 0) {
        recompute_totals();
        cap_backlog(slowdown, now);
    }
}

void endpoint_load::remove_entry(incarnation entry, double slowdown, time_point now)
{
    const auto removed =
        std::erase_if(m_work, [entry](const auto& item) { return item.first.entry == entry; });
    if (removed != 0) {
        recompute_totals();
        cap_backlog(slowdown, now);
    }
}

double endpoint_load::backlog_ms(time_point now) const
{
    return ms_until(m_prefill_end, now);
}

// Caps the predicted backlog at the prefill of the requests that have not sent their first event.
void endpoint_load::cap_backlog(double slowdown, time_point now)
{
    m_prefill_end = std::min(m_prefill_end, now + to_duration(m_remaining_prefill_ms * slowdown));
}

void endpoint_load::recompute_totals()
{
    m_remaining_prefill_ms = 0;
    m_requests = 0;
    m_decoding_requests = 0;
    m_context_tokens = 0;
    m_held_tokens = 0;
    m_decoding_value = 0;
    m_waiting_value = 0;
    m_waiting_loss_per_ms = 0;
    m_shortest_pause = milliseconds::zero();
    m_earliest_due = time_point::max();
    for (const auto& [key, work] : m_work) {
        m_held_tokens += work.held_tokens;
        m_remaining_prefill_ms += work.answering ? 0 : work.prefill_ms;
        if (!work.answering) {
            const auto objective = std::max<double>(static_cast<double>(work.objective.count()), 1);
            m_waiting_loss_per_ms += work.value / objective / std::max<std::uint32_t>(work.parts, 1);
        }
        if (work.prefill_only) {
            continue;
        }
        ++m_requests;
        if (work.pause > milliseconds::zero() &&
            (m_shortest_pause == milliseconds::zero() || work.pause < m_shortest_pause)) {
            m_shortest_pause = work.pause;
        }
        if (work.answering) {
            ++m_decoding_requests;
            m_context_tokens += work.context_tokens;
            m_decoding_value += work.value;
        } else {
            m_waiting_value += work.value;
            m_earliest_due = std::min(m_earliest_due, work.due);
        }
    }
}

} // namespace verbena::policy
