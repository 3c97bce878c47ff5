#pragma once

#include "forward/fleet.h"

namespace verbena::forward {

// Messages between an entry and the scheduler of its failure domain.

wire::placement_requestT to_message(const dispatch_request& request, milliseconds wait_limit,
                                    incarnation entry, std::uint64_t number);

// The request of another entry; `service` must be the one that the message names.
dispatch_request to_request(const wire::placement_request& message, const route::service_rule& service);

wire::placement_replyT to_message(const dispatch_result& found, std::vector<wire::dispatch_noteT> notes);

dispatch_refusal read_refusal(const wire::placement_reply& reply);

// Ends a dispatch for which a scheduler was asked in vain.
wire::dispatch_noteT make_end_note(std::uint64_t number);

} // namespace verbena::forward
