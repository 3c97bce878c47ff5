#pragma once

#include "forward/load_exchange.h"
#include "forward/request_forwarder.h"
#include "forward/scheduler_service.h"
#include "node/control_client.h"
#include "node/process.h"
#include "policy/answer_times.h"
#include "route/document_codec.h"

namespace verbena::forward {

// The parts that a platform adapter implements.
struct platform_adapter {
    std::shared_ptr<const route::document_codec> documents;
    std::shared_ptr<const protocol_adapter> requests;
};

// Entry that serves the routes of the published configuration: forwards requests to endpoints that have
// announced themselves to control members.
class forward_service : public net::http_handler, public std::enable_shared_from_this<forward_service> {
public:
    static result<std::shared_ptr<forward_service>>
    create(node::process& process, const settings::entry_settingsT& settings, platform_adapter adapter);

    forward_service(node::process& process, const settings::entry_settingsT& settings,
                    platform_adapter adapter);

    void start();

    // Starts a graceful stop: reports not ready, closes the listener after the load balancer's poll interval,
    // and ends the process after the last answer or when the grace period is over.
    void stop();

    void reload(const settings_root& root);

    net::task<void> handle(net::http_exchange& exchange) override;
    net::http_response refuse(unsigned status, const std::string& kind, const std::string& message,
                              const std::string& remedy) override;

private:
    // The published configuration that this process currently applies.
    struct rules_in_force {
        revision number = 0;
        std::shared_ptr<const route::table> table;
    };

    // A request that is refused before it is dispatched.
    struct early_refusal {
        unsigned status = 0;
        std::string type;
        std::string message;
        milliseconds retry_after{};
    };

    result<void> open();
    bool can_serve(time_point now) const;
    // Switches to a newer configuration if there is one, and returns the routing table in force.
    std::shared_ptr<const route::table> update_rules();
    void apply_limits(const route::table& table);
    // Waits a short time for the configuration to be confirmed, for example after this process was suspended.
    net::task<void> await_confirmation();
    std::optional<early_refusal> admit(const net::http_request& request, routed_request& out);
    // A request that arrives during a stop is refused if it is not expected to be answered before its end.
    std::optional<early_refusal> check_stop(const routed_request& request) const;
    // How long the answer to the request is expected to take, from what its endpoints need for it alone and
    // the recent answers of its route.
    milliseconds expected_time(const routed_request& request) const;
    std::optional<early_refusal> check_team(const route::table& table, routed_request& out) const;
    net::task<void> forward_request(net::http_exchange& exchange, routed_request request);
    net::task<void> refuse_early(net::http_exchange& exchange, early_refusal refusal, const std::string& id);
    net::task<void> refresh();
    // Sets whose scheduler this entry asks, by the load of one that chooses for all failure domains.
    void update_scope(time_point now);
    net::task<void> query_peers();
    net::task<void> drain();
    // Sends the last usage counts to the member that collects them; waits a short time for its reply.
    net::task<void> flush_usage();
    // Load of the services whose number of endpoints the control leader decides; empty unless this entry
    // schedules requests.
    std::vector<std::unique_ptr<wire::service_demandT>> demand();
    void log_shutdown(const char* step, time_point begin) const;
    // Answers the requests whose answer has not begun, in the background, each on its strand.
    void end_open_requests();
    void log_open_requests() const; // logs them in the background, each on its strand

    node::process& m_process;
    settings::entry_settingsT m_settings;
    platform_adapter m_adapter;
    node::config_view m_config;
    fleet m_fleet;
    node::directory_view m_directory;
    node::usage_counter m_usage;
    shared_retry_budget m_budget;
    answer_memory m_answer_memory;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<node::control_client> m_control;
    std::unique_ptr<scheduler_client> m_scheduler;
    std::shared_ptr<load_exchange> m_load_exchange;
    std::shared_ptr<net::http_server> m_server;
    std::mutex m_rules_mutex;
    rules_in_force m_rules;
    std::atomic<bool> m_stopping{false};
    std::atomic<time_point> m_stop_end{time_point::max()}; // when the last answers are due
    // Guards m_open, the requests in work and the strands that they run on; held alone.
    mutable std::mutex m_open_mutex;
    std::map<std::shared_ptr<request_forwarder>, net::asio::any_io_executor> m_open;
    policy::answer_times m_answer_times;
    std::size_t m_next_peer = 0;
};

} // namespace verbena::forward
