#pragma once

#include "standin/platform_runner.h"

#include <algorithm>
#include <vector>

// Largest number of times within any span of this length.
inline std::size_t most_in_span(std::vector<verbena::time_point> times, std::chrono::milliseconds span)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > span) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

// Largest number of requests that a runner has received within 4 s, the first one after `begin`. Requests
// that it has refused count as well.
inline std::size_t most_in_window(const verbena::standin::platform_runner& runner, verbena::time_point begin)
{
    std::vector<verbena::time_point> times;
    for (const verbena::time_point time : runner.arrivals()) {
        if (time >= begin) {
            times.push_back(time);
        }
    }
    return most_in_span(std::move(times), std::chrono::seconds(4));
}
