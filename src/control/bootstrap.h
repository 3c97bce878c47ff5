#pragma once

#include "base/settings.h"
#include "net/connection.h"

namespace verbena::control {

// Asks the other first members of a group whether it already has a configuration. A member whose disk was
// lost must not be initialised again under its old id: it would vote without remembering what it has voted
// and stored. An error names the member that answered and the remedy. A member that does not answer within
// the time-out is passed over.
result<void> check_new_group(const std::vector<host_port>& peers, const net::peer_info& self,
                             milliseconds timeout);

} // namespace verbena::control
