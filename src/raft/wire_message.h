#pragma once

#include "base/error.h"
#include "raft/types.h"
#include "wire_generated.h"

namespace verbena::raft {

// Conversions between the core's message and the table that travels in a frame.
wire::raft_messageT to_wire(message value);

// Rejects unknown kinds and entries that do not follow one another.
result<message> from_wire(const wire::raft_message& table);
result<message> from_wire(wire::raft_messageT table);

} // namespace verbena::raft
