#pragma once

#include "base/settings.h"
#include "net/connection.h"

namespace verbena::control {

// Queries the other initial members of a group for an existing configuration. A member that has lost its disk
// must not be initialised again under its old id: it would vote without its earlier votes and log entries.
// The error names the member that has a configuration, and the remedy. Members that do not answer within the
// timeout are skipped.
result<void> check_new_group(const std::vector<host_port>& peers, const net::peer_info& self,
                             milliseconds timeout);

} // namespace verbena::control
