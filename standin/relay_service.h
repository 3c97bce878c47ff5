#pragma once

#include "net/http_server.h"
#include "standin/relay.h"

#include <memory>

namespace verbena::standin {

// HTTP control interface of a relay; responds 204 once the fault is in effect:
// POST /cut {"direction":"to_target|from_target|both","existing_only":bool}, POST /heal, POST /close and
// POST /corrupt {"direction":...}.
class relay_service : public net::http_handler {
public:
    explicit relay_service(std::shared_ptr<relay> controlled);

    net::task<void> handle(net::http_exchange& exchange) override;

private:
    net::http_response execute(const net::http_request& request);
    net::http_response inject_fault(const net::http_request& request);

    std::shared_ptr<relay> m_relay;
};

} // namespace verbena::standin
