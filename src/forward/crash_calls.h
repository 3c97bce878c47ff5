#pragma once

#include "forward/fleet.h"
#include "net/http_server.h"

#include <optional>

namespace verbena::forward {

// Operator calls at an entry's metrics address. Empty for other requests.
//   GET /prompt-parts               the prompt parts under which endpoints have crashed, as JSON
//   POST /prompt-parts/release/ID   serves requests with that part again, at all entries; 404 if it is not
//   listed
std::optional<net::http_response> answer_crash_call(fleet& endpoints, const net::http_request& request);

} // namespace verbena::forward
