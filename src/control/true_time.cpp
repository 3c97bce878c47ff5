#include "control/true_time.h"

namespace verbena::control {

void true_time::observe(wall_time wall, time_point now)
{
    const offset read = offset(wall) - now.time_since_epoch();
    if (!m_held || std::chrono::abs(read - *m_held) <= max_correction) {
        m_held = read;
        m_step_began.reset();
        return;
    }
    if (!m_step_began || std::chrono::abs(read - m_stepped) > max_correction) {
        m_step_began = now;
    }
    m_stepped = read;
    if (now - *m_step_began >= step_time) {
        m_held = read;
        m_step_began.reset();
    }
}

wall_time true_time::at(time_point now) const
{
    return std::chrono::floor<milliseconds>(m_held.value_or(offset()) + now.time_since_epoch());
}

time_point true_time::when(wall_time wall) const
{
    return time_point(offset(wall) - m_held.value_or(offset()));
}

} // namespace verbena::control
