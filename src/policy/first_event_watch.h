#pragma once

#include "policy/name_map.h"
#include "policy/prefill_order.h"

#include <map>

namespace verbena::policy {

// Finds endpoints that have fallen silent from requests of several entries at once, under a load that sends
// an endpoint several requests before the first of their entries takes it for silent. An endpoint is silent
// while the first events of three requests are overdue and it has begun no answer since they were due: each
// alone may be late because of its prompt, and an endpoint that begins other answers only serves them in
// another order. What is overdue counts for the longest backoff of an endpoint; after that it is tried again.
class first_event_watch {
public:
    // A request has been sent to the endpoint, whose first event is predicted.
    void expect(const std::string& endpoint, const work_key& key, milliseconds predicted, time_point now);

    // The first event has come, or the request has ended without one. Unknown requests are ignored.
    void begin(const std::string& endpoint, const work_key& key, time_point now);
    void end(const std::string& endpoint, const work_key& key);

    bool is_silent(std::string_view endpoint, time_point now) const;

    // Endpoints with requests that wait for their first event.
    std::size_t tracked() const { return m_endpoints.size(); }

private:
    struct endpoint_state {
        std::map<work_key, time_point> overdue_from;
        time_point last_begin{};
    };

    name_map<endpoint_state> m_endpoints;
};

} // namespace verbena::policy
