#pragma once

#include "net/http_server.h"
#include "operator_generated.h"
#include "wire_generated.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace verbena::control {

// Outcome of a change, which a platform adapter translates into its own reply.
struct change_outcome {
    enum class kind : std::uint8_t { accepted, invalid, not_leader, unavailable };

    kind state = kind::unavailable;
    // With `not_leader` (another member is the leader): host:port of the leader's operator calls.
    std::string leader;
    std::string message;
    std::string remedy;
};

// The published document as returned by this member.
struct published_document {
    // False while this member cannot prove that it holds the newest version.
    bool current = false;
    std::uint64_t version = 0; // 0 = nothing published
    std::string content;
    // host:port of the leader's operator calls, from a process that holds no document because it is not a
    // member; empty if the leader is not known.
    std::string leader;
};

// Operations of a control member for an adapter that serves the operators and endpoints of another platform.
class control_operations {
public:
    control_operations() = default;
    control_operations(const control_operations&) = delete;
    control_operations& operator=(const control_operations&) = delete;
    virtual ~control_operations() = default;

    // Replaces the published document. A version that is not above the current one is accepted without
    // effect. The caller validates the content.
    virtual net::task<change_outcome> publish(std::uint64_t version, std::string content) = 0;

    virtual net::task<change_outcome> set_domain(std::string name, op::admin_state state) = 0;

    virtual net::task<published_document> read_published() = 0;

    // Stores an endpoint's announcement. `unavailable` when this member cannot accept it, for example while
    // too few entries poll it: the endpoint has to announce itself to another member. `not_leader` when this
    // process is not a member.
    virtual net::task<change_outcome> announce(wire::announcementT announcement) = 0;
};

// Serves another platform's calls on the operator address.
class external_call_handler {
public:
    external_call_handler() = default;
    external_call_handler(const external_call_handler&) = delete;
    external_call_handler& operator=(const external_call_handler&) = delete;
    virtual ~external_call_handler() = default;

    virtual net::task<net::http_response> handle(net::http_request& request, control_operations& calls) = 0;
};

} // namespace verbena::control
