#pragma once

#include "forward/fleet.h"

namespace verbena::forward {

// Inactivity timeouts of a streamed answer; the endpoint is considered failed when one expires.
struct inactivity_limits {
    milliseconds first_event{};    // from the request to the first event
    milliseconds between_events{}; // from one event to the next
};

// Timeouts for a dispatch. `pause` is the longest pause between events that is in time; `stall` is how long
// an endpoint waits for another endpoint that it depends on.
inactivity_limits inactivity_limits_for(const dispatch_choice& choice, milliseconds pause,
                                        milliseconds stall);

} // namespace verbena::forward
