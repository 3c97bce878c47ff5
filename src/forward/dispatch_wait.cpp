#include "forward/dispatch_wait.h"

#include <algorithm>

namespace verbena::forward {

dispatch_request aged(const dispatch_request& request, milliseconds elapsed, milliseconds wait_limit)
{
    dispatch_request now = request;
    now.time_left = std::max(request.time_left - elapsed, milliseconds::zero());
    now.model.used += elapsed;
    if (request.model.disconnect_after > milliseconds::zero()) {
        now.model.disconnect_after = std::max(request.model.disconnect_after - elapsed, milliseconds(1));
    }
    now.may_wait = elapsed < wait_limit;
    return now;
}

net::task<dispatch_result> dispatch_with_wait(fleet& endpoints, dispatch_request request,
                                              milliseconds wait_limit,
                                              std::shared_ptr<wait_observer> observer)
{
    const time_point begin = clock::now();
    std::optional<policy::work_key> wait;
    dispatch_result found;
    while (true) {
        const time_point now = clock::now();
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - begin);
        dispatch_request current = aged(request, elapsed, wait_limit);
        current.wait = wait;
        found = endpoints.dispatch(current, now);
        if (found.wait == milliseconds::zero()) {
            break;
        }
        if (!wait) {
            wait = endpoints.begin_wait(current, now);
        }
        observer->waiting(now);
        co_await net::sleep_for(found.wait);
        if (observer->ended()) {
            found = dispatch_result{};
            break;
        }
    }
    if (wait) {
        endpoints.end_wait(*wait);
    }
    co_return found;
}

} // namespace verbena::forward
