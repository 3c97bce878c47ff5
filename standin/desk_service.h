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
    // Time between the execution of a call and its answer.
    milliseconds delay{0};
    std::string record;
};

// Order desk: a plain service whose bookings must not be repeated. It does not deduplicate by
// Idempotency-Key, it only counts how often each key ran.
class desk_service : public net::http_handler {
public:
    static result<std::unique_ptr<desk_service>> create(desk_options options, exit_function exit_process);

    desk_service(desk_options options, exit_function exit_process);

    net::task<void> handle(net::http_exchange& exchange) override;

    // Executed bookings, amendments and cancellations by Idempotency-Key.
    std::map<std::string, std::uint64_t> runs() const;

private:
    struct order {
        std::string key;
        std::string body;
        std::string state = "booked";
    };

    // Executes a call. An empty optional means that the process is dying and no answer may follow.
    std::optional<net::http_response> execute(const net::http_request& request);
    std::optional<net::http_response> book(const net::http_request& request);
    net::http_response change(const net::http_request& request, std::uint64_t number, bool cancel);
    net::http_response look_up(std::uint64_t number);
    net::http_response stock(const std::string& item) const;
    net::http_response counts() const;
    net::http_response fault(const std::string& body);
    void note(const net::http_request& request, const char* call, std::uint64_t number);

    desk_options m_options;
    exit_function m_exit;
    fact_record m_record;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, order> m_orders;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_next_order = 0;
    std::atomic<bool> m_silent{false};
    bool m_die_after_run = false;
};

} // namespace verbena::standin
