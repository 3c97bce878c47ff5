#include "control/suspension_watch.h"

#include "control/wall_clock.h"

#include <ctime>

namespace verbena::control {

namespace {

// The clocks are read one after the other, and a process can be paused for its quota of processor time in
// between, for up to 100 ms.
constexpr milliseconds tolerance{120};

} // namespace

clock_readings read_clocks()
{
    std::timespec running{};
    clock_gettime(CLOCK_MONOTONIC, &running);
    return {clock::now(), std::chrono::seconds(running.tv_sec) + std::chrono::nanoseconds(running.tv_nsec),
            wall_now()};
}

bool suspension_watch::observe(const clock_readings& readings)
{
    const std::optional<clock_readings> previous = m_previous;
    m_previous = readings;
    if (!previous) {
        return false;
    }
    const auto elapsed = readings.now - previous->now;
    const auto ran = readings.running - previous->running;
    const auto by_wall = readings.wall - previous->wall;
    return elapsed > m_longest_gap || std::chrono::abs(elapsed - ran) > tolerance ||
           std::chrono::abs(elapsed - by_wall) > tolerance;
}

} // namespace verbena::control
