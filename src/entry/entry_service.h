#pragma once

#include "entry/key_dispatcher.h"
#include "node/process.h"

namespace verbena::entry {

// The process behind the load balancer: takes requests over HTTP and answers or refuses each in time.
class entry_service : public net::http_handler,
                      public net::connection_handler,
                      public std::enable_shared_from_this<entry_service> {
public:
    static result<std::shared_ptr<entry_service>> create(node::process& process,
                                                         const settings::entry_settingsT& settings);

    entry_service(node::process& process, const settings::entry_settingsT& settings);

    void start();

    // Readiness goes off first; listeners close after the balancer's poll interval; the process ends after
    // the last answer.
    void stop();

    net::task<void> handle(net::http_exchange& exchange) override;

    // A request that is refused while it is read may carry the key of an earlier call, so the outcome is
    // unknown.
    net::http_response refuse(unsigned status, const std::string& kind, const std::string& message,
                              const std::string& remedy) override;

    // Agents ask for the newest confirmed configuration on the connections that this entry has opened.
    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

private:
    result<void> open();
    net::task<void> serve(net::http_exchange& exchange);
    net::task<void> serve_models(net::http_exchange& exchange, const node::config_snapshot& config);
    net::task<void> serve_streamed(net::http_exchange& exchange, const caller_request& request,
                                   std::shared_ptr<caller_watch> watch);
    net::task<void> serve_plain(net::http_exchange& exchange, const caller_request& request,
                                std::shared_ptr<caller_watch> watch);
    // Refuses before the record of an idempotency key was read.
    net::task<void> refuse_early(net::http_exchange& exchange, caller_error failure, const std::string& team);
    net::task<void> reply_error(net::http_exchange& exchange, const caller_error& failure,
                                const std::string& team);
    std::optional<caller_error> check_size(const caller_request& request) const;
    void count_end(const caller_request& request, const dispatch_result& outcome);
    bool can_serve(time_point now) const;
    net::task<void> refresh();
    // Asks agents for the newest confirmed configuration when control has not answered for a while.
    net::task<void> ask_peers();
    net::task<void> drain();

    node::process& m_process;
    settings::entry_settingsT m_settings;
    node::config_view m_config;
    endpoint_choice m_choice;
    node::directory_view m_directory;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<node::control_client> m_control;
    std::unique_ptr<attempt_client> m_attempts;
    std::unique_ptr<dispatcher> m_dispatcher;
    std::unique_ptr<key_dispatcher> m_keys;
    std::shared_ptr<net::http_server> m_server;
    std::atomic<bool> m_stopping{false};
    std::size_t m_turn = 0;
};

} // namespace verbena::entry
