#pragma once

#include "forward/fleet.h"

namespace verbena::forward {

// How long an endpoint of a stream may say nothing until it is taken for lost.
struct silence_limits {
    milliseconds first{};   // to the first event
    milliseconds between{}; // between two events
};

// For a dispatch whose answer may pause for `pause`; `stall` is how long an endpoint waits for another one
// that it depends on.
silence_limits silence_of(const dispatch_choice& choice, milliseconds pause, milliseconds stall);

} // namespace verbena::forward
