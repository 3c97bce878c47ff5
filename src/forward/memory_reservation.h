#pragma once

#include "base/metrics.h"
#include "forward/fleet.h"
#include "forward/protocol_adapter.h"
#include "net/asio.h"

#include <memory>
#include <optional>

namespace verbena::forward {

// KV memory reserved by one dispatch at the endpoints that prefill parts of its prompt. Call order:
// reserve(), start_renewal(), release(). If this process dies, the reservations expire.
class memory_reservation : public std::enable_shared_from_this<memory_reservation> {
public:
    memory_reservation(const protocol_adapter& protocol, metrics& counters, const std::string& request,
                       dispatch_choice choice);

    // Reserves at each endpoint in turn. Returns the name of the first one that refused or did not answer;
    // empty when all reservations succeeded.
    net::task<std::string> reserve();

    // Whether a request uses the reservations, as reported by the first endpoint with one that answers;
    // nullopt if none answers.
    net::task<std::optional<bool>> is_used();

    // Renews the reservations in the background until release().
    void start_renewal(const net::asio::any_io_executor& executor);

    // Releases the reservations in the background, because the caller has its answer already. If a release
    // call fails, the reservation expires.
    void release(const net::asio::any_io_executor& executor);

    // ID of the reservation at the endpoint with this index in the dispatch.
    std::string reservation_id(std::size_t index) const;

private:
    net::task<void> renew();
    net::http_call reserve_call(std::size_t index) const;

    const protocol_adapter& m_protocol;
    metrics& m_counters;
    const std::string m_request;
    const dispatch_choice m_choice;
    bool m_released = false;
};

} // namespace verbena::forward
