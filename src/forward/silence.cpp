#include "forward/silence.h"

#include <algorithm>

namespace verbena::forward {

namespace {

// An endpoint that has not begun to answer after this many times the predicted time, and a fixed part for
// errors of short predictions, is taken for silent.
constexpr int silence_in_predictions = 3;
constexpr milliseconds least_silence{600};

// The same between two events, in pauses, and at the least.
constexpr int silence_in_pauses = 2;
constexpr milliseconds least_pause{1'000};

// Time after a stall until the endpoint's answer is here.
constexpr milliseconds after_stall{200};

// The longest silence of a request that holds memory elsewhere, unless its prediction is longer: that memory
// has to be free 4 s after its endpoint has died (the platform's bound), and a dead one shows no other sign.
constexpr milliseconds reserved_silence{3'400};

} // namespace

silence_limits silence_of(const dispatch_choice& choice, milliseconds pause, milliseconds stall)
{
    const milliseconds stalls = choice.endpoints.size() > 1 ? stall + after_stall : milliseconds::zero();
    silence_limits limits;
    limits.first = choice.first_event * silence_in_predictions + least_silence + stalls;
    limits.between = std::max({pause * silence_in_pauses, least_pause, stalls});
    if (choice.holds_memory()) {
        const milliseconds longest = std::max(reserved_silence, choice.first_event * 5 / 4);
        limits.first = std::min(limits.first, longest);
        limits.between = std::min(limits.between, longest);
    }
    return limits;
}

} // namespace verbena::forward
