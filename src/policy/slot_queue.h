#pragma once

#include "policy/prefill_order.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace verbena::policy {

// Slots of the endpoints that the requests in a queue may use.
struct slot_supply {
    std::size_t free = 0;             // at endpoints where a new request would be in time
    double freed_per_ms = 0;          // slots that answers leave at such endpoints, on average
    double freed_anywhere_per_ms = 0; // the same at all endpoints
    // Predicted time to the first event at the best of the other endpoints with a free slot, which have to
    // prefill other prompts before; unset: no other endpoint has one.
    std::optional<milliseconds> slow_first_event = std::nullopt;
    std::size_t reserved = 0; // further free slots, kept for the schedulers of other failure domains
};

enum class slot_action : std::uint8_t { take, take_reserved, take_slow, wait, refuse };

struct slot_decision {
    slot_action action = slot_action::take;
    milliseconds start_after{}; // predicted time until the request gets a slot
};

// Decides which of the requests that wait at their schedulers get the free slots, under a load that fills all
// slots, or all endpoints with long prompts, for a while. Those that can still be in time go first, earliest
// due first; if not all of them can, the ones with the least value are deferred and wait behind the others,
// for their late answers. `waiting` holds all requests of the queue, the own one included; the field
// `prefill_ms` is the time from the dispatch to the first event at an idle endpoint.
//
// A reserved slot is taken by a request that can still be in time and would not be if it waited
// (`take_reserved`). A slot where the request would be late is taken (`take_slow`) as soon as it would be
// late in any case and no slot is expected to give it an earlier answer. The request is refused only if no
// slot is expected anywhere by `give_up_after`, when its caller has disconnected.
slot_decision decide_slot(const std::vector<waiting_prompt>& waiting, const work_key& own,
                          const slot_supply& supply, milliseconds give_up_after, time_point now);

} // namespace verbena::policy
