#pragma once

#include "policy/request_limit.h"
#include "wire_generated.h"

#include <string>
#include <vector>

namespace verbena::forward {

// What a process holds of the limit of an endpoint.
struct endpoint_limit {
    std::string endpoint;
    std::uint64_t born_ms = 0; // start of the endpoint, in Unix milliseconds
    policy::limit_statement statement;
};

// Conversions between such limits and the messages in which entries exchange them. A limit without a finite
// rate of 0 or more is left out.
wire::endpoint_limitsT to_message(const std::vector<endpoint_limit>& limits);
std::vector<endpoint_limit> read_limits(const wire::endpoint_limits& message);

} // namespace verbena::forward
