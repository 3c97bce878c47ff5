#include "forward/inactivity_limits.h"

#include <algorithm>

namespace verbena::forward {

namespace {

// The timeout for the first event is this multiple of the predicted time, plus a fixed allowance for errors
// of short predictions.
constexpr int first_event_factor = 3;
constexpr milliseconds first_event_allowance{600};

// The timeout between two events is this multiple of the allowed pause, with a lower bound.
constexpr int pause_factor = 2;
constexpr milliseconds min_between_events{1'000};

// Added to the stall time for the endpoint's answer to arrive after its wait for another endpoint has ended.
constexpr milliseconds answer_after_stall{200};

// Upper bound of both timeouts for a request that has reserved memory at other endpoints, unless its
// predicted time is longer. The platform requires that memory to be free 4 s after the request's endpoint has
// died, and inactivity is the only sign of the death.
constexpr milliseconds max_reserved_inactivity{3'400};

} // namespace

inactivity_limits inactivity_limits_for(const dispatch_choice& choice, milliseconds pause, milliseconds stall)
{
    const milliseconds stalls =
        choice.endpoints.size() > 1 ? stall + answer_after_stall : milliseconds::zero();
    inactivity_limits limits;
    limits.first_event = choice.predicted_first_event * first_event_factor + first_event_allowance + stalls;
    limits.between_events = std::max({pause * pause_factor, min_between_events, stalls});
    if (choice.has_reservation()) {
        const milliseconds longest = std::max(max_reserved_inactivity, choice.predicted_first_event * 5 / 4);
        limits.first_event = std::min(limits.first_event, longest);
        limits.between_events = std::min(limits.between_events, longest);
    }
    return limits;
}

} // namespace verbena::forward
