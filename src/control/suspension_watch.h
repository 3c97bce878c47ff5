#pragma once

#include "control/key_table.h"

#include <optional>

namespace verbena::control {

// Clocks of a VM, read at one moment.
struct clock_readings {
    time_point now;                     // goes on while the VM is suspended
    std::chrono::nanoseconds running{}; // stands still meanwhile
    wall_time wall;
};

// Reads the clocks of this VM.
clock_readings read_clocks();

// Notices that the VM was suspended, that its process did not run, or that its time of day was set. Pure; to
// be asked at intervals well below `longest_gap`.
class suspension_watch {
public:
    explicit suspension_watch(milliseconds longest_gap) : m_longest_gap(longest_gap) {}

    // Whether one of these has happened since the previous reading.
    bool observe(const clock_readings& readings);

private:
    milliseconds m_longest_gap;
    std::optional<clock_readings> m_previous;
};

} // namespace verbena::control
