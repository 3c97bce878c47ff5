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
    enum class kind : std::uint8_t { accepted, invalid, elsewhere, unavailable };

    kind state = kind::unavailable;
    // With `elsewhere` (another member is the leader): host:port of the leader's operator calls.
    std::string leader;
    std::string message;
    std::string remedy;
};

// The published document as returned by this member.
struct published_copy {
    // False while this member cannot prove that it holds the newest version.
    bool current = false;
    std::uint64_t version = 0; // 0 = nothing published
    std::string content;
};

// Operations of a control member for an adapter that serves the operators and endpoints of another platform.
class public_calls {
public:
    public_calls() = default;
    public_calls(const public_calls&) = delete;
    public_calls& operator=(const public_calls&) = delete;
    virtual ~public_calls() = default;

    // Replaces the published document. A version that is not above the current one is accepted without
    // effect. The caller validates the content.
    virtual net::task<change_outcome> publish(std::uint64_t version, std::string content) = 0;

    virtual net::task<change_outcome> set_domain(std::string name, op::admin_state state) = 0;

    virtual net::task<published_copy> read_published() = 0;

    // Stores an endpoint's announcement. Returns false when this member cannot accept it, for example while
    // too few entries poll it; the endpoint has to announce itself to another member.
    virtual net::task<bool> announce(wire::announcementT announcement) = 0;
};

// Serves another platform's calls on the operator address.
class call_front {
public:
    call_front() = default;
    call_front(const call_front&) = delete;
    call_front& operator=(const call_front&) = delete;
    virtual ~call_front() = default;

    virtual net::task<net::http_response> handle(net::http_request& request, public_calls& calls) = 0;
};

} // namespace verbena::control
