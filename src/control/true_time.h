#pragma once

#include "control/key_table.h"

#include <optional>

namespace verbena::control {

// Estimate of true time from the wall clock of this machine, which may be stepped by mistake. Follows small
// corrections at once. A step is followed only after it has lasted `step_time`: until then the estimate goes
// on with the clock that counts the time since the machine's start. Reads no clock.
//
// A machine whose wall clock is wrong from the start of the process is not recognised.
class true_time {
public:
    // Corrections by time synchronisation are smaller; a larger one counts as a step.
    static constexpr milliseconds max_correction{100};
    static constexpr std::chrono::seconds step_time{30};

    // Takes a reading of the wall clock.
    void observe(wall_time wall, time_point now);

    // The estimate for `now`; the first reading must have been taken.
    wall_time at(time_point now) const;

    // The inverse: when true time was or will be `wall`.
    time_point when(wall_time wall) const;

private:
    using offset = std::chrono::sys_time<clock::duration>; // wall clock at the machine's start

    std::optional<offset> m_held;
    offset m_stepped; // of a step that is not followed yet
    std::optional<time_point> m_step_began;
};

} // namespace verbena::control
