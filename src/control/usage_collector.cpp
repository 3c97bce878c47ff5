#include "control/usage_collector.h"

#include <algorithm>
#include <cmath>

namespace verbena::control {

namespace {

// Added to the time for which entries keep slices: a change of leader takes up to 3 s, and the first slices
// reach the new leader with the second poll, after 2 s.
constexpr milliseconds kept_reserve{5'000};

// Bounds the memory of entries.
constexpr milliseconds max_kept{300'000};

// After it began to lead, a member waits this long for the entries to send the slices that they keep: two
// polls of entries in other failure domains, 900 ms apart, and a few more for slices that exceed one message.
constexpr milliseconds settle_time{3'000};

// Part of the time until a report is due after which it is sent even if counts of some entries are missing.
// The rest is left for the replicated log and for calls that fail.
constexpr double wait_share = 0.7;

// The clocks of two machines differ in rate by less than this.
constexpr int max_drift_divisor = 1'000;

// Windows kept while none is recorded, as without a quorum.
constexpr std::size_t max_windows = 1'000;

} // namespace

void usage_collector::answer(const wire::pollT& poll, bool leads, time_point now, wire::poll_replyT& reply)
{
    if (leads && !m_leads) {
        begin(now);
    }
    m_leads = leads;
    if (poll.role != wire::role::entry) {
        return;
    }
    reply.usage_kept_ms = static_cast<std::uint32_t>(kept().count());
    if (!leads) {
        return;
    }
    const auto [found, added] = m_entries.try_emplace(poll.incarnation);
    entry_record& record = found->second;
    record.last_heard = now;
    if (added) {
        // The slices of this poll may begin after others that an earlier run of this member had acknowledged.
        // The reply asks for all that the entry keeps.
        record.name = poll.name;
        replace_others(poll);
        drop_old(now);
    } else {
        for (const auto& slice : poll.usage_slices) {
            add_slice(*slice, poll.incarnation, record, now);
        }
    }
    reply.usage_wanted = true;
    reply.usage_acknowledged = record.last_number;
}

std::optional<usage_summary> usage_collector::next_closed(std::uint64_t after, time_point now) const
{
    if (!m_leads || now - m_began < settle_time) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> window = next_window(after, now);
    if (!window) {
        return std::nullopt;
    }
    const time_point begin = begin_of(*window);
    const time_point end = begin_of(*window + 1);
    if (now < end) {
        return std::nullopt;
    }
    usage_summary out;
    out.window = *window;
    bool waits = false;
    for (const auto& [entry, record] : m_entries) {
        if (record.last_heard < begin) {
            continue;
        }
        const bool covered = record.counting && record.end >= end;
        waits = waits || (!covered && !record.replaced);
        const bool complete = covered && !has_gap(entry, begin, end);
        out.entries += complete ? 1 : 0;
        out.missing += complete ? 0 : 1;
    }
    if (waits && now < last_report_time(*window)) {
        return std::nullopt;
    }
    for (const auto& [team, requests] : m_windows.at(*window)) {
        const auto rounded = std::llround(requests);
        if (rounded > 0) {
            out.counts.emplace(team, static_cast<std::uint64_t>(rounded));
        }
    }
    return out;
}

void usage_collector::close(std::uint64_t window)
{
    m_closed = std::max(m_closed, window);
    if (!m_closed_by_other) {
        m_closed_by_other = m_closed;
    }
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(m_closed));
}

milliseconds usage_collector::since_end(std::uint64_t window, time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - begin_of(window + 1));
}

milliseconds usage_collector::kept() const
{
    return std::min(m_options.window + m_options.late + kept_reserve, max_kept);
}

void usage_collector::begin(time_point now)
{
    m_began = now;
    m_entries.clear();
    m_gaps.clear();
    m_windows.clear();
    m_first_window = 0;
    m_closed_by_other.reset();
}

void usage_collector::replace_others(const wire::pollT& poll)
{
    for (auto& [entry, record] : m_entries) {
        if (entry != poll.incarnation && record.name == poll.name) {
            record.replaced = true;
        }
    }
}

// The end of a slice is known from its age, late by the time that the poll took on its way, and from the end
// of the slice before it. The earlier of the two is nearer to the truth.
void usage_collector::add_slice(const wire::usage_sliceT& slice, incarnation entry, entry_record& record,
                                time_point now)
{
    if (slice.number <= record.last_number) {
        return;
    }
    const milliseconds length(slice.length_ms);
    time_point end = now - milliseconds(slice.age_ms);
    const bool follows = record.counting && slice.number == record.last_number + 1;
    if (follows) {
        end = std::min(end, record.end + length + clock::duration(length) / max_drift_divisor);
    } else if (record.counting || slice.number > 1) {
        m_gaps.push_back({entry, record.counting ? record.end : time_point::min(), end - length});
    }
    record.counting = true;
    record.last_number = slice.number;
    record.end = end;
    add_counts(slice, end - length, end, now);
}

// Slices that reach into two windows are divided in proportion to their time in each.
void usage_collector::add_counts(const wire::usage_sliceT& slice, time_point begin, time_point end,
                                 time_point now)
{
    const std::chrono::duration<double> length = end - begin;
    for (time_point from = std::max(begin, now - kept()); from < end;) {
        const std::uint64_t window = window_at(from);
        const time_point to = std::min(end, begin_of(window + 1));
        const double share = std::chrono::duration<double>(to - from) / length;
        from = to;
        if (window <= m_closed) {
            if (window > m_closed_by_other.value_or(m_closed)) {
                for (const auto& count : slice.teams) {
                    m_late_requests += share * count->requests;
                }
            }
            continue;
        }
        if (m_first_window == 0) {
            m_first_window = window;
        }
        window_counts& counts = m_windows[window];
        for (const auto& count : slice.teams) {
            counts[count->team] += share * count->requests;
        }
    }
    if (m_windows.size() > max_windows) {
        m_windows.erase(m_windows.begin());
    }
}

void usage_collector::drop_old(time_point now)
{
    const time_point oldest = now - 2 * kept();
    std::erase_if(m_entries, [oldest](const auto& item) { return item.second.last_heard < oldest; });
    std::erase_if(m_gaps, [oldest](const gap& value) { return value.end < oldest; });
}

std::uint64_t usage_collector::window_at(time_point at) const
{
    return static_cast<std::uint64_t>(m_clock.at(at).time_since_epoch() / m_options.window);
}

time_point usage_collector::begin_of(std::uint64_t window) const
{
    return m_clock.when(wall_time(m_options.window * static_cast<std::int64_t>(window)));
}

time_point usage_collector::last_report_time(std::uint64_t window) const
{
    return begin_of(window + 1) + std::chrono::duration_cast<clock::duration>(m_options.late * wait_share);
}

std::optional<std::uint64_t> usage_collector::next_window(std::uint64_t after, time_point now) const
{
    if (m_first_window == 0) {
        return std::nullopt;
    }
    // The count began within the first window of all, so that one would be reported in part.
    const std::uint64_t next = after == 0 ? m_first_window + 1 : after + 1;
    const auto known = m_windows.lower_bound(next);
    if (known == m_windows.end()) {
        return std::nullopt;
    }
    if (known->first == next || now >= last_report_time(next)) {
        return known->first;
    }
    return std::nullopt;
}

bool usage_collector::has_gap(incarnation entry, time_point begin, time_point end) const
{
    return std::any_of(m_gaps.begin(), m_gaps.end(), [&](const gap& value) {
        return value.entry == entry && value.begin < end && value.end > begin;
    });
}

} // namespace verbena::control
