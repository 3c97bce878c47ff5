#pragma once

#include "base/error.h"
#include "wire_generated.h"

#include <chrono>

namespace verbena::node {

// Returns an error when an announcement cannot name an endpoint to use, whoever has written it: a name or
// text that is empty or too long, an address that is not a unicast IP address with a port, a start time in
// the future, or a sequence number that no later announcement could exceed. An announced end may lack
// service and address.
result<void> check_announcement(const wire::announcementT& value, std::chrono::system_clock::time_point now);

} // namespace verbena::node
