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

void endpoint_load::start(const work_key& key, const endpoint_work& work, double pace, time_point now)
{
    m_works[key] = work;
    const clock::duration reading = to_duration(work.answering ? 0 : work.read_ms * pace);
    m_read_until = std::max(m_read_until, now) + reading;
    sum_up();
}

void endpoint_load::first_event(const work_key& key, double pace, time_point now)
{
    const auto found = m_works.find(key);
    if (found == m_works.end() || found->second.answering) {
        return;
    }
    found->second.answering = true;
    sum_up();
    correct(pace, now);
}

void endpoint_load::end(const work_key& key, double pace, time_point now)
{
    if (m_works.erase(key) != 0) {
        sum_up();
        correct(pace, now);
    }
}

void endpoint_load::forget(incarnation entry, double pace, time_point now)
{
    const auto removed =
        std::erase_if(m_works, [entry](const auto& item) { return item.first.entry == entry; });
    if (removed != 0) {
        sum_up();
        correct(pace, now);
    }
}

double endpoint_load::backlog_ms(time_point now) const
{
    return ms_until(m_read_until, now);
}

// What is still to be read is never more than the parts of those that have not begun to answer.
void endpoint_load::correct(double pace, time_point now)
{
    m_read_until = std::min(m_read_until, now + to_duration(m_unread_ms * pace));
}

void endpoint_load::sum_up()
{
    m_unread_ms = 0;
    m_requests = 0;
    m_writers = 0;
    m_context = 0;
    m_held = 0;
    m_writer_value = 0;
    m_waiting_value = 0;
    m_waiting_rate = 0;
    m_tightest_pause = milliseconds::zero();
    m_earliest_due = time_point::max();
    for (const auto& [key, work] : m_works) {
        m_held += work.held_tokens;
        m_unread_ms += work.answering ? 0 : work.read_ms;
        if (!work.answering) {
            const auto objective = std::max<double>(static_cast<double>(work.objective.count()), 1);
            m_waiting_rate += work.value / objective / std::max<std::uint32_t>(work.parts, 1);
        }
        if (work.reads_for_other) {
            continue;
        }
        ++m_requests;
        if (work.pause > milliseconds::zero() &&
            (m_tightest_pause == milliseconds::zero() || work.pause < m_tightest_pause)) {
            m_tightest_pause = work.pause;
        }
        if (work.answering) {
            ++m_writers;
            m_context += work.context_tokens;
            m_writer_value += work.value;
        } else {
            m_waiting_value += work.value;
            m_earliest_due = std::min(m_earliest_due, work.due);
        }
    }
}

} // namespace verbena::policy
