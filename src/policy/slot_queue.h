#pragma once

#include "policy/prefill_order.h"

#include <cstddef>
#include <vector>

namespace verbena::policy {

// Slots of the endpoints that the requests in a queue may use.
struct slot_supply {
    std::size_t free = 0;
    double freed_per_ms = 0; // slots that answers leave, on average
};

enum class slot_action : std::uint8_t { take, wait, refuse };

struct slot_decision {
    slot_action action = slot_action::take;
    milliseconds start_after{}; // predicted time until the request gets a slot
};

// Decides which of the requests that wait at their schedulers get the free slots, under a load that fills all
// slots for a while. Those that can still be in time go first, earliest due first; if not all of them can,
// the ones with the least value are deferred and wait behind the others, for their late answers. `waiting`
// holds all requests of the queue, the own one included; the field `prefill_ms` is the time from the dispatch
// to the first event at an idle endpoint. The request is refused if its slot would come later than
// `give_up_after`, when its caller has disconnected.
slot_decision decide_slot(const std::vector<waiting_prompt>& waiting, const work_key& own,
                          const slot_supply& supply, milliseconds give_up_after, time_point now);

} // namespace verbena::policy
