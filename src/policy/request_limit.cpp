#include "policy/request_limit.h"

#include <algorithm>
#include <tuple>

namespace verbena::policy {

namespace {

constexpr double min_rate = 0.1;

bool is_newer(const limit_statement& a, const limit_statement& b)
{
    return std::tie(a.changes, a.observer) > std::tie(b.changes, b.observer);
}

} // namespace

void request_pacer::take(clock::duration interval, time_point now)
{
    m_due = std::max(m_due, now) + interval;
}

void request_pacer::use_up(clock::duration interval, time_point now)
{
    m_due = std::max(m_due, now + interval + tolerance);
}

void request_pacer::change_interval(clock::duration before, clock::duration after, time_point now)
{
    if (m_due <= now) {
        return;
    }
    const double early = std::chrono::duration<double>(m_due - now) / std::chrono::duration<double>(before);
    m_due = now + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(after) * early);
}

bool request_limit::observe(std::optional<double> rate, time_point sent, incarnation self,
                            const limit_shares& shares, time_point now)
{
    if (rate == m_statement.rate || (m_statement.changes != 0 && sent <= m_known_since)) {
        return false;
    }
    set({rate, m_statement.changes + 1, self}, shares, now);
    return true;
}

bool request_limit::merge(const limit_statement& other, const limit_shares& shares, time_point now)
{
    if (!is_newer(other, m_statement)) {
        return false;
    }
    set(other, shares, now);
    return true;
}

void request_limit::set(const limit_statement& statement, const limit_shares& shares, time_point now)
{
    const bool had_limit = m_statement.rate.has_value();
    const clock::duration scheduled_before = interval(shares, false);
    m_statement = statement;
    m_known_since = now;
    if (!m_statement.rate) {
        return;
    }
    m_alone_due = {};
    if (had_limit) {
        m_scheduled.change_interval(scheduled_before, interval(shares, false), now);
    } else {
        m_scheduled = {};
        use_up(shares, now);
    }
}

double request_limit::permitted_rate(const limit_shares& shares, bool alone) const
{
    return std::max(m_statement.rate.value_or(0), min_rate) * (alone ? shares.alone : shares.scheduled);
}

clock::duration request_limit::interval(const limit_shares& shares, bool alone) const
{
    const std::chrono::duration<double> seconds(1 / permitted_rate(shares, alone));
    return std::chrono::duration_cast<clock::duration>(seconds);
}

bool request_limit::allows(const limit_shares& shares, bool alone, time_point now, random_engine& random)
{
    if (!alone) {
        return m_scheduled.allows(now);
    }
    const clock::duration spacing = interval(shares, true);
    if (now > m_alone_due + spacing) {
        std::uniform_real_distribution<double> phase(0, 1);
        m_alone_due = now + std::chrono::duration_cast<clock::duration>(
                                std::chrono::duration<double>(spacing) * phase(random));
    }
    return now >= m_alone_due;
}

void request_limit::take(const limit_shares& shares, bool alone, time_point now)
{
    if (alone) {
        m_alone_due = std::max(m_alone_due, now) + interval(shares, true);
    } else {
        m_scheduled.take(interval(shares, false), now);
    }
}

void request_limit::use_up(const limit_shares& shares, time_point now)
{
    m_scheduled.use_up(interval(shares, false), now);
}

} // namespace verbena::policy
