#pragma once

#include "entry/key_dispatcher.h"
#include "node/process.h"

namespace verbena::entry {

// HTTP front end behind the load balancer: accepts requests and answers or refuses each by its deadline.
class entry_service : public net::http_handler,
                      public net::connection_handler,
                      public std::enable_shared_from_this<entry_service> {
public:
    static result<std::shared_ptr<entry_service>> create(node::process& process,
                                                         const settings::entry_settingsT& settings);

    entry_service(node::process& process, const settings::entry_settingsT& settings);

    void start();

    // Starts a graceful shutdown: reports not ready, closes the listener after `stop_delay` so that the load
    // balancer notices, and ends the process after the last response.
    void stop();

    net::task<void> handle(net::http_exchange& exchange) override;

    // Reports the outcome as unknown: a request refused while it is read may carry the idempotency key of an
    // earlier call that has run.
    net::http_response refuse(unsigned status, const std::string& kind, const std::string& message,
                              const std::string& remedy) override;

    // Serves freshness queries of agents, which arrive on connections that this entry has opened.
    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

private:
    result<void> open();
    net::task<void> serve(net::http_exchange& exchange);
    net::task<void> serve_models(net::http_exchange& exchange, const node::config_snapshot& config);
    net::task<void> serve_streamed(net::http_exchange& exchange, const caller_request& request,
                                   std::shared_ptr<request_cancellation> cancellation);
    net::task<void> serve_buffered(net::http_exchange& exchange, const caller_request& request,
                                   std::shared_ptr<request_cancellation> cancellation);
    // Refuses a request before the record of its idempotency key has been read.
    net::task<void> refuse_early(net::http_exchange& exchange, caller_error failure, const std::string& team);
    net::task<void> reply_error(net::http_exchange& exchange, const caller_error& failure,
                                const std::string& team);
    std::optional<caller_error> check_size(const caller_request& request) const;
    void count_request_end(const caller_request& request, const dispatch_result& outcome);
    bool can_serve(time_point now) const;
    // Applies configuration changes and updates readiness periodically.
    net::task<void> refresh();
    // Queries agents for the newest confirmed configuration when the control members have not confirmed it
    // lately.
    net::task<void> query_peers();
    net::task<void> drain();

    node::process& m_process;
    settings::entry_settingsT m_settings;
    node::config_view m_config;
    endpoint_selector m_selector;
    node::directory_view m_directory;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<node::control_client> m_control;
    std::unique_ptr<attempt_client> m_attempts;
    std::unique_ptr<dispatcher> m_dispatcher;
    std::unique_ptr<key_dispatcher> m_keys;
    std::shared_ptr<net::http_server> m_server;
    std::atomic<bool> m_stopping{false};
    std::size_t m_next_peer = 0;
};

} // namespace verbena::entry
