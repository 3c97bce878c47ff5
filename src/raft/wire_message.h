#pragma once

#include "base/error.h"
#include "raft/types.h"
#include "wire_generated.h"

namespace verbena::raft {

// Conversions between the core's message and the FlatBuffers table sent in a frame.
wire::raft_messageT to_wire(message value);

// Rejects unknown kinds and entries whose indexes are not consecutive.
result<message> from_wire(const wire::raft_message& table);
result<message> from_wire(wire::raft_messageT table);

} // namespace verbena::raft
