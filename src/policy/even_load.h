#pragma once

#include "base/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace verbena::policy {

// Estimates what other deciders have sent to the endpoints of each failure domain and this decider has not
// heard of yet, from the rate of the sends that their notes have reported and from the age of these notes.
// Answers the load in which many deciders choose at the same moment from a picture that is a little old.
class unheard_sends {
public:
    // A note of `decider` reports the start of a request at an endpoint of `domain`.
    void record(incarnation decider, const std::string& domain, time_point now);

    // Any other note of `decider`: what it has sent until then is known.
    void hear(incarnation decider, time_point now);

    // The notes of this decider have ended.
    void remove(incarnation decider) { m_deciders.erase(decider); }

    // Expected number of sends to the endpoints of `domain` that no note has reported. `delay` is the longest
    // time that a note takes: the interval of the notes and the delay between the failure domains.
    double expected(const std::string& domain, std::chrono::microseconds delay, time_point now) const;

private:
    struct rate {
        double per_second = 0;
        time_point updated{};
    };

    struct decider_state {
        time_point heard{};
        std::map<std::string, rate> domains;
    };

    std::map<incarnation, decider_state> m_deciders;
};

// Slots of an endpoint that the decider of another failure domain may fill, of `slots` that it has: the
// others stay free for the `unheard` requests that are expected to have been sent to it meanwhile.
std::uint32_t lent_slots(std::uint32_t slots, double unheard);

// An endpoint that may be chosen.
struct even_candidate {
    double loss = 0;       // expected loss, with the known load
    double free_slots = 0; // by the known load
    double unheard = 0;    // expected requests, not known yet, to the endpoints among which it is
};

// Returns the index of the endpoint to choose among those whose loss is within `tolerance` of the least one.
// Other deciders may choose by the same picture at the same moment, so the choice falls with equal chances,
// by `draw`, uniform in [0, 1), on as many endpoints as are needed for each to have room for its part of what
// the others may have sent meanwhile. With a fresh picture that is one endpoint, the one with the least loss.
// `candidates` must not be empty.
std::size_t choose_with_room(const std::vector<even_candidate>& candidates, double tolerance, double draw);

} // namespace verbena::policy
