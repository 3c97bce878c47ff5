#pragma once

#include "forward/dispatch_wait.h"
#include "forward/load_exchange.h"
#include "route/table.h"

namespace verbena::forward {

// Chooses endpoints for the entries that report to this one; see scheduler_client.
class scheduler_service : public placement_handler, public std::enable_shared_from_this<scheduler_service> {
public:
    // Returns the routing table in force.
    using rules_source = std::function<std::shared_ptr<const route::table>()>;

    scheduler_service(fleet& endpoints, rules_source rules);

    net::task<void> on_request(std::shared_ptr<net::frame_stream> stream, net::received_frame message,
                               std::string from) override;
    void on_backlog_query(const std::shared_ptr<net::frame_stream>& stream,
                          const wire::backlog_query& query) override;

private:
    fleet& m_fleet;
    rules_source m_rules;
};

} // namespace verbena::forward
