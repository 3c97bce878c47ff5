#pragma once

#include "net/asio.h"
#include "net/http_server.h"
#include "standin/engine.h"
#include "standin/http_util.h"
#include "standin/record.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace verbena::standin {

struct engine_service_options {
    engine_options core;
    std::uint64_t seed = 1;
    // Refuse orders with a number below the highest seen.
    bool check_fencing = true;
    std::vector<std::string> models{"standin"};
    std::string role = "mixed";
    std::string record;
};

// HTTP interface of the simulated engine. Drives the engine with a timer; one mutex guards all state.
class engine_service : public net::http_handler {
public:
    // `io` must outlive the service. `exit_process` is called by the fault "die".
    static result<std::unique_ptr<engine_service>>
    create(net::asio::io_context& io, engine_service_options options, exit_function exit_process);

    engine_service(net::asio::io_context& io, engine_service_options options, exit_function exit_process);

    net::task<void> handle(net::http_exchange& exchange) override;

private:
    // Wakes one stream when its request has made progress.
    struct watcher {
        explicit watcher(const net::asio::any_io_executor& executor) : timer(executor) {}

        std::string id;
        net::asio::steady_timer timer;
    };

    // One submission. The order number tells it from a later request under the same id.
    struct ticket {
        std::string id;
        std::uint64_t order = 0;
    };

    // What a stream has to write next.
    struct stream_view {
        bool found = false;
        bool finished = false;
        std::uint32_t generated = 0;
        std::uint32_t prompt_tokens = 0;
        std::uint64_t prompt_hash = 0;
        std::string model;
    };

    net::task<void> complete(net::http_exchange& exchange);
    net::task<void> resume(net::http_exchange& exchange, const std::string& id);
    net::task<void> stream_tokens(net::http_exchange& exchange, ticket work, std::uint32_t from);
    net::task<void> reply_whole(net::http_exchange& exchange, ticket work);
    // Waits until the request has more than `from` tokens, has finished or is gone.
    net::task<stream_view> wait_for_tokens(watcher& watch, const ticket& work, std::uint32_t from);
    std::shared_ptr<watcher> add_watcher(const std::string& id, const net::asio::any_io_executor& executor);
    void remove_watcher(const std::shared_ptr<watcher>& watch);

    net::http_response route(const net::http_request& request);
    net::http_response list_requests();
    net::http_response cancel(const std::string& id);
    net::http_response status();
    net::http_response order(const std::string& body);
    net::http_response fault(const std::string& body);

    result<ticket> submit(const net::http_request& request, const boost::json::object& body);
    stream_view view_of(const ticket& work) const;
    // Time of the engine, which stands still after the fault "hang".
    time_point engine_now() const;
    // Runs the engine up to now, writes its facts down and wakes streams. Called with the mutex held.
    void run_engine();
    void publish_events();
    void wake(const std::string& id);
    void wake_all();
    net::task<void> drive();
    void kick();

    engine_service_options m_options;
    exit_function m_exit;
    fact_record m_record;
    mutable std::mutex m_mutex;
    engine m_engine;
    std::uint64_t m_next_id = 0;
    std::uint64_t m_highest_order = 0;
    std::optional<time_point> m_hang_since;
    std::atomic<bool> m_silent{false};
    std::vector<std::string> m_models;
    std::set<std::string> m_adapters;
    std::string m_role;
    std::multimap<std::string, std::shared_ptr<watcher>> m_watchers;
    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    net::asio::steady_timer m_timer;
};

} // namespace verbena::standin
