#pragma once

#include "net/asio.h"
#include "net/http_server.h"
#include "standin/http_util.h"
#include "standin/record.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace verbena::standin {

struct desk_options {
    // Time between the execution of a request and its response.
    milliseconds delay{0};
    std::string event_log_path;
};

// Order desk: a plain service whose bookings must not be repeated. It does not deduplicate by
// Idempotency-Key; it counts how often requests with each key were executed, so that duplicates can
// be detected.
class desk_service : public net::http_handler {
public:
    static result<std::unique_ptr<desk_service>> create(desk_options options, exit_function exit_process);

    desk_service(desk_options options, exit_function exit_process);

    net::task<void> handle(net::http_exchange& exchange) override;

    // Number of executed bookings, amendments and cancellations by Idempotency-Key.
    std::map<std::string, std::uint64_t> executions() const;

private:
    struct order {
        std::string key;
        std::string body;
        std::string state = "booked";
    };

    // Executes a request. An empty optional means that the process is exiting and no response may be sent.
    std::optional<net::http_response> execute(const net::http_request& request);
    std::optional<net::http_response> book_order(const net::http_request& request);
    net::http_response update_order(const net::http_request& request, std::uint64_t number, bool cancel);
    net::http_response get_order(std::uint64_t number);
    net::http_response get_stock(const std::string& item) const;
    net::http_response execution_counts() const;
    net::http_response inject_fault(const std::string& body);
    void record_execution(const net::http_request& request, const char* operation, std::uint64_t number);

    desk_options m_options;
    exit_function m_exit;
    event_log m_event_log;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, order> m_orders;
    std::map<std::string, std::uint64_t> m_executions;
    std::uint64_t m_last_order_number = 0;
    std::atomic<bool> m_unresponsive{false};
    bool m_exit_after_booking = false;
};

} // namespace verbena::standin
