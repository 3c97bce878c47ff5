#pragma once

#include "control/key_table.h"

namespace verbena::control {

inline wall_time wall_now()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace verbena::control
