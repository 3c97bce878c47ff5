#pragma once

#include "net/http_server.h"
#include "operator_generated.h"
#include "wire_generated.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace verbena::control {

// Outcome of a change, for an adapter to put into its own words.
struct change_outcome {
    enum class kind : std::uint8_t { accepted, invalid, elsewhere, unavailable };

    kind state = kind::unavailable;
    // Of `elsewhere`: host:port of the leader's calls.
    std::string leader;
    std::string message;
    std::string remedy;
};

// The published document as this member may show it.
struct published_copy {
    // False while this member cannot prove that it knows the newest one.
    bool current = false;
    std::uint64_t version = 0; // 0 = nothing was published
    std::string content;
};

// What a control member does for an adapter that serves the operators and endpoints of another platform.
class public_calls {
public:
    public_calls() = default;
    public_calls(const public_calls&) = delete;
    public_calls& operator=(const public_calls&) = delete;
    virtual ~public_calls() = default;

    // Replaces the published document. A version that is not above the held one is accepted and changes
    // nothing. The caller has checked the content.
    virtual net::task<change_outcome> publish(std::uint64_t version, std::string content) = 0;

    virtual net::task<change_outcome> set_domain(std::string name, op::admin_state state) = 0;

    virtual net::task<published_copy> read_published() = 0;

    // Takes an endpoint's announcement. False while too few entries listen to this member: the endpoint has
    // to tell another one.
    virtual net::task<bool> announce(wire::announcementT announcement) = 0;
};

// Serves calls of another platform on the address for operator calls.
class call_front {
public:
    call_front() = default;
    call_front(const call_front&) = delete;
    call_front& operator=(const call_front&) = delete;
    virtual ~call_front() = default;

    virtual net::task<net::http_response> handle(net::http_request& request, public_calls& calls) = 0;
};

} // namespace verbena::control
