#include "node/usage_counter.h"

#include <algorithm>

namespace verbena::node {

namespace {

// Bounds the memory of kept slices, about 60 kB for each 24 teams.
constexpr std::size_t max_slices = 600;

// After a change of leader all kept slices are sent again. This many a poll are sent within a few seconds and
// keep a poll below about 50 kB with 50 teams in each slice.
constexpr std::size_t slices_per_message = 16;

// Lengths and ages are rounded down from the same origin, so that lengths add up without drift.
std::uint32_t whole_ms(time_point from, time_point to)
{
    using std::chrono::floor;
    const milliseconds difference =
        floor<milliseconds>(to.time_since_epoch()) - floor<milliseconds>(from.time_since_epoch());
    return static_cast<std::uint32_t>(std::max<std::int64_t>(difference.count(), 0));
}

} // namespace

void usage_counter::set_kept(milliseconds kept, time_point now, wall_time wall)
{
    if (kept == milliseconds::zero() && !m_counts) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_kept = kept;
    if (kept == milliseconds::zero()) {
        m_counts = false;
        m_closed.clear();
        m_open.clear();
    } else if (!m_counts) {
        m_last_number += m_last_number == 0 ? 0 : 1; // a gap: the next slice does not follow the last one
        m_begin = now;
        m_end = now;
        m_counts = true;
        advance(now, wall);
    }
}

void usage_counter::record(const std::string& team, time_point now, wall_time wall)
{
    if (!m_counts || team.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    advance(now, wall);
    ++m_open[team];
}

std::vector<std::unique_ptr<wire::usage_sliceT>> usage_counter::slices_after(std::uint64_t acknowledged,
                                                                             time_point now, wall_time wall)
{
    std::vector<std::unique_ptr<wire::usage_sliceT>> out;
    if (!m_counts) {
        return out;
    }
    const std::lock_guard lock(m_mutex);
    advance(now, wall);
    auto next = std::find_if(m_closed.begin(), m_closed.end(),
                             [acknowledged](const slice& value) { return value.number > acknowledged; });
    for (; next != m_closed.end() && out.size() < slices_per_message; ++next) {
        auto item = std::make_unique<wire::usage_sliceT>();
        item->number = next->number;
        item->age_ms = whole_ms(next->end, now);
        item->length_ms = whole_ms(next->begin, next->end);
        for (const auto& [team, requests] : next->teams) {
            auto count = std::make_unique<wire::team_usageT>();
            count->team = team;
            count->requests = requests;
            item->teams.push_back(std::move(count));
        }
        out.push_back(std::move(item));
    }
    return out;
}

std::uint64_t usage_counter::flush(time_point now)
{
    if (!m_counts) {
        return 0;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_open.empty()) {
        close_slice(std::max(now, m_begin));
    }
    return m_last_number;
}

void usage_counter::advance(time_point now, wall_time wall)
{
    if (now < m_end) {
        return;
    }
    if (m_end > m_begin) {
        close_slice(m_end);
    }
    const milliseconds into = wall.time_since_epoch() % slice_length;
    // A pause becomes one slice without counts.
    if (now - into - m_begin >= slice_length / 2) {
        close_slice(now - into);
    }
    m_end = now - into + slice_length;
    if (m_end - m_begin < slice_length / 2) {
        m_end += slice_length;
    }
    while (!m_closed.empty() && m_closed.front().end + m_kept < now) {
        m_closed.pop_front();
    }
}

void usage_counter::close_slice(time_point end)
{
    slice closed;
    closed.number = ++m_last_number;
    closed.begin = m_begin;
    closed.end = end;
    closed.teams.assign(m_open.begin(), m_open.end());
    m_open.clear();
    m_begin = end;
    m_closed.push_back(std::move(closed));
    if (m_closed.size() > max_slices) {
        m_closed.pop_front();
    }
}

} // namespace verbena::node
