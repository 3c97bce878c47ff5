#include "forward/event_progress.h"

namespace verbena::forward {

namespace {

// An event whose bytes arrive for longer than this multiple of the time between two events is endless.
constexpr int endless_factor = 2;

} // namespace

void event_progress::on_bytes(time_point now, bool completes_event)
{
    if (completes_event || now - m_last_bytes > m_limits.between_events) {
        m_unfinished_since = now;
    }
    if (completes_event) {
        m_has_event = true;
        m_last_event = now;
    }
    m_last_bytes = now;
}

time_point event_progress::silent_at() const
{
    return m_last_event + (m_has_event ? m_limits.between_events : m_limits.first_event);
}

bool event_progress::is_endless() const
{
    return m_last_bytes - m_unfinished_since > m_limits.between_events * endless_factor;
}

} // namespace verbena::forward
