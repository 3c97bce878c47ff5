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
    // Refuse orders whose fencing number is below the highest seen.
    bool check_fencing = true;
    std::vector<std::string> models{"standin"};
    std::string role = "mixed";
    std::string event_log_path;
};

// HTTP interface of the simulated engine. A timer advances the engine; one mutex guards all state.
class engine_service : public net::http_handler {
public:
    // `io` must outlive the service. `exit_process` is called for the fault "die".
    static result<std::unique_ptr<engine_service>>
    create(net::asio::io_context& io, engine_service_options options, exit_function exit_process);

    engine_service(net::asio::io_context& io, engine_service_options options, exit_function exit_process);

    net::task<void> handle(net::http_exchange& exchange) override;

private:
    // Wakes one waiting response when its request has made progress.
    struct progress_watcher {
        explicit progress_watcher(const net::asio::any_io_executor& executor) : timer(executor) {}

        std::string id;
        net::steady_timer timer;
    };

    // A submitted request. The sequence number distinguishes it from a later request with the same id.
    struct submission {
        std::string id;
        std::uint64_t sequence = 0;
    };

    // Progress of a request, as the writer of its response needs it. `found` is false when the engine no
    // longer has the request.
    struct stream_progress {
        bool found = false;
        bool finished = false;
        std::uint32_t generated = 0;
        std::uint32_t prompt_tokens = 0;
        std::uint64_t prompt_hash = 0;
        std::string model;
    };

    net::task<void> handle_completion(net::http_exchange& exchange);
    net::task<void> resume_stream(net::http_exchange& exchange, const std::string& id);
    net::task<void> stream_tokens(net::http_exchange& exchange, submission submitted, std::uint32_t from);
    net::task<void> send_completion(net::http_exchange& exchange, submission submitted);
    // Waits until the request has more than `from` generated tokens, has finished or was dropped.
    net::task<stream_progress> wait_for_tokens(progress_watcher& watcher, const submission& submitted,
                                               std::uint32_t from);
    std::shared_ptr<progress_watcher> add_watcher(const std::string& id,
                                                  const net::asio::any_io_executor& executor);
    void remove_watcher(const std::shared_ptr<progress_watcher>& watcher);

    net::http_response route(const net::http_request& request);
    net::http_response list_requests();
    net::http_response cancel(const std::string& id);
    net::http_response status();
    net::http_response apply_order(const std::string& body);
    net::http_response inject_fault(const std::string& body);

    result<submission> submit(const net::http_request& request, const boost::json::object& body);
    stream_progress progress_of(const submission& submitted) const;
    // The engine's time, which stops at the fault "hang".
    time_point engine_time() const;
    // Advances the engine to the current engine time and processes its events. Requires the mutex.
    void advance_engine();
    // Writes the pending events of the engine to the event log and notifies watchers. Requires the mutex.
    void process_events();
    void notify_watchers(const std::string& id);
    void notify_all_watchers();
    net::task<void> run_engine_loop();
    void wake_engine_loop();

    engine_service_options m_options;
    exit_function m_exit;
    event_log m_event_log;
    mutable std::mutex m_mutex;
    engine m_engine;
    std::uint64_t m_last_local_id = 0;
    std::uint64_t m_highest_fencing = 0;
    std::optional<time_point> m_hang_since;
    std::atomic<bool> m_unresponsive{false};
    std::vector<std::string> m_models;
    std::set<std::string> m_adapters;
    std::string m_role;
    std::multimap<std::string, std::shared_ptr<progress_watcher>> m_watchers;
    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    net::steady_timer m_timer;
};

} // namespace verbena::standin
