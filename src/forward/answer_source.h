#pragma once

#include "forward/protocol_adapter.h"
#include "net/asio.h"

namespace verbena::forward {

// The process that an answer comes from.
struct answer_source {
    std::string name;
    host_port address;
    std::uint64_t born_ms = 0; // as announced when the request was sent; 0 = not announced
    std::string health_path;   // empty: the service has no health call
};

// Whether the process that has sent an answer still runs.
enum class source_state : std::uint8_t { running, ended, unknown };

const char* to_string(source_state value);

// What an endpoint's statement about itself shows. `unknown` if it says too little.
source_state compare_identity(const endpoint_identity& stated, const answer_source& source);

struct source_check {
    source_state state = source_state::unknown;
    endpoint_identity stated;
    std::string detail; // of the last failure
};

// Asks the endpoint at the address of an answer who it is, until that is known or the deadline passes. An
// answer without a length or chunks ends with its connection, and so does one whose process crashes; the
// difference is that the process of a complete answer still runs afterwards. Whether the address accepts
// connections shows nothing: the next process may listen there by the time the end is noticed.
net::task<source_check> check_source(const protocol_adapter& protocol, answer_source source,
                                     time_point deadline);

} // namespace verbena::forward
