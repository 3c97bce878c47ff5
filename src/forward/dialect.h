#pragma once

#include "base/error.h"
#include "base/types.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <optional>
#include <string>
#include <vector>

namespace verbena::forward {

// What a caller's request says about itself.
struct caller_terms {
    std::string id;
    std::string key;                      // credentials; empty when there are none
    std::optional<milliseconds> patience; // how long the caller waits
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;         // expected; 0 when nothing is said
    std::optional<std::uint64_t> last_event; // the stream goes on behind this event
};

// A reservation of memory at an endpoint that reads a part of a prompt.
struct helper {
    host_port address;
    std::string reservation; // empty: the endpoint reads and holds nothing
};

// What this system tells an endpoint about a request.
struct endpoint_terms {
    std::string endpoint; // another one at the address must refuse
    std::string team;     // empty when the configuration has no teams
    milliseconds time_left{};
    std::uint32_t urgency = 5; // 0 to 9, 0 first
    std::optional<std::uint64_t> last_event;
    std::vector<helper> helpers;
};

// What the head of an endpoint's answer says.
struct answer_terms {
    unsigned status = 0;
    std::string id;           // of the request that it answers
    bool sealed = false;      // it carries the endpoint's MAC
    bool not_run = false;     // the request has not run and will not
    bool misdirected = false; // another endpoint has the address
    bool encoded = false;     // the body is not as the endpoint made it
    std::string culprit;      // endpoint that the request depended on and that failed it
    std::string content_type;
    net::http_header_list headers; // to be passed to the caller
};

// The manner of speaking of callers and endpoints. Implemented by the adapter of a platform.
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    virtual ~dialect() = default;

    virtual result<caller_terms> read_request(const net::http_request& request) const = 0;

    // The head of the request to an endpoint, up to and without the empty line.
    virtual std::string endpoint_head(const net::http_request& request,
                                      const endpoint_terms& terms) const = 0;

    virtual answer_terms read_answer(unsigned status, const net::http_fields& fields) const = 0;

    // Calls that reserve and release memory. The reservation ends by itself after `hold` unless it is made
    // again.
    virtual net::http_call reserve(const std::string& reservation, std::uint64_t tokens,
                                   milliseconds hold) const = 0;
    virtual net::http_call release(const std::string& reservation) const = 0;

    // A refusal in the words that callers know. `retry_after` of 0 says nothing about a return.
    virtual net::http_response refusal(unsigned status, const std::string& type, const std::string& message,
                                       milliseconds retry_after) const = 0;
};

} // namespace verbena::forward
