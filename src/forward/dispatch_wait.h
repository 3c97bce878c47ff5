#pragma once

#include "forward/fleet.h"
#include "net/asio.h"

namespace verbena::forward {

// Follows a request that waits for free endpoints.
class wait_observer {
public:
    wait_observer() = default;
    wait_observer(const wait_observer&) = delete;
    wait_observer& operator=(const wait_observer&) = delete;
    virtual ~wait_observer() = default;

    // Whether the request needs no endpoints any more.
    virtual bool ended() const = 0;

    // Called when the request begins to wait and before each further try.
    virtual void waiting(time_point now) = 0;
};

// Adapts a request to the time that has passed since it was made. It may wait while `elapsed` is less than
// `wait_limit`.
dispatch_request aged(const dispatch_request& request, milliseconds elapsed, milliseconds wait_limit);

// Tries to dispatch the request until endpoints are chosen, it is refused, or the observer ends the wait.
net::task<dispatch_result> dispatch_with_wait(fleet& endpoints, dispatch_request request,
                                              milliseconds wait_limit,
                                              std::shared_ptr<wait_observer> observer);

} // namespace verbena::forward
