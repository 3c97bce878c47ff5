#pragma once

#include <chrono>

// Moves the clock that includes suspension (CLOCK_BOOTTIME) of this test program forward, as after the
// machine was suspended for `time`. All other clocks stay as they are.
void simulate_suspension(std::chrono::milliseconds time);
