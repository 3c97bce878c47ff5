#pragma once

#include "base/random.h"
#include "entry/caller_request.h"
#include "node/directory_view.h"
#include "policy/buffer_account.h"
#include "policy/retry_budget.h"
#include "policy/router.h"
#include "policy/team_limits.h"

#include <mutex>
#include <optional>

namespace verbena::entry {

// Endpoint selected for one attempt.
struct chosen_endpoint {
    std::string name;
    host_port address;
    incarnation agent = 0;
};

// Selects endpoints for attempts and enforces this entry's limits: retry budgets, team limits and the
// response buffer. Thread-safe; third in the lock order, after the configuration view and the directory.
class endpoint_selector {
public:
    endpoint_selector(std::string own_domain, const policy::buffer_caps& buffers, double retry_share);

    // Applies the team limits, failure domains and endpoint states of a configuration. Returns at once when
    // the snapshot is the one already applied.
    void apply(const std::shared_ptr<const node::config_snapshot>& config, time_point now);

    // Applies a directory update; a null value removes the endpoint.
    void on_endpoint(const std::string& name, const wire::announcementT* value);

    // Endpoint for the next attempt, excluding `tried` and endpoints without the model; empty when there is
    // none.
    std::optional<chosen_endpoint> pick(const caller_request& request, const std::vector<std::string>& tried,
                                        time_point now);
    // Looks up an endpoint by name, for attempts that are already bound to it.
    std::optional<chosen_endpoint> find(const std::string& name) const;

    void started(const std::string& endpoint, const caller_request& request);
    void first_token(const std::string& endpoint, const caller_request& request);
    void finished(const std::string& endpoint, const caller_request& request, policy::attempt_end end,
                  time_point now, bool answering);
    void report(const std::string& endpoint, const wire::load_summary* load, time_point now);

    void count_request(const caller_request& request, time_point now);
    bool allow_retry(const caller_request& request, time_point now);

    // Reserves team capacity and response buffer space; returns an error when a limit is reached.
    std::optional<caller_error> admit(const caller_request& request, time_point now);
    void release(const caller_request& request, time_point now);

    // Largest sum of prompt and response tokens that an endpoint of the service can hold; 0 when unknown.
    std::uint64_t largest_capacity(const std::string& service) const;

    request_id next_request_id();
    std::size_t endpoints() const;
    std::uint64_t reserved_buffer() const;

private:
    struct known_endpoint {
        wire::announcementT announcement;
        chosen_endpoint selected;
    };

    void upsert(const known_endpoint& endpoint);
    // Endpoints of the request's service that have not loaded its model. Empty for plain services.
    std::vector<std::string> endpoints_without_model(const caller_request& request) const;
    static policy::route_request make_route_request(const caller_request& request,
                                                    const std::vector<std::string>& tried);

    mutable std::mutex m_mutex;
    random_engine m_random;
    policy::router m_router;
    policy::retry_budget m_retries;
    policy::team_limits m_teams;
    policy::buffer_account m_buffers;
    std::map<std::string, known_endpoint> m_endpoints;
    std::shared_ptr<const node::config_snapshot> m_config;
};

} // namespace verbena::entry
