#pragma once

#include "agent/admission.h"
#include "agent/order_planner.h"
#include "node/control_client.h"
#include "node/process.h"

#include <memory>

namespace verbena::agent {

// Agent of one endpoint: accepts attempts from entries, dispatches them to the engine or plain service within
// the endpoint's limits, and keeps the responses until the entries have received them.
class agent_service : public net::connection_handler, public std::enable_shared_from_this<agent_service> {
public:
    static result<std::shared_ptr<agent_service>> create(node::process& process,
                                                         const settings::agent_settingsT& settings);

    agent_service(node::process& process, const settings::agent_settingsT& settings,
                  std::unique_ptr<engine_client> engine);

    void start();

    // Starts a graceful shutdown: announces that the endpoint is leaving, refuses new work, and ends the
    // process when all attempts have ended and their responses are delivered.
    void stop();

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

private:
    result<void> open(const settings::agent_settingsT& settings);
    void start_control_client(const std::vector<host_port>& members);
    std::unique_ptr<wire::announcementT> announce() const;
    serving_state state() const;
    void count(const char* event, const wire::submitT& submit);

    // Handlers of streams from entries.
    net::task<void> serve_submit(std::shared_ptr<net::frame_stream> stream, wire::submitT submit);
    net::task<void> serve_resume(std::shared_ptr<net::frame_stream> stream, wire::resumeT resume);
    void serve_query(const std::shared_ptr<net::frame_stream>& stream, const wire::attempt_query& query);
    net::task<result<std::string>> receive_body(std::shared_ptr<net::frame_stream> stream,
                                                std::uint32_t length);
    bool serves_model(const std::string& model) const;
    std::optional<refusal> check_identity(const wire::submitT& submit, time_point received) const;
    void send_refused(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id,
                      const refusal& reason);
    net::task<void> deliver(std::shared_ptr<net::frame_stream> stream, std::shared_ptr<attempt> value,
                            std::uint64_t offset);
    net::task<bool> send_slice(std::shared_ptr<net::frame_stream> stream, const attempt_id& id,
                               std::uint64_t offset, std::string bytes);
    void send_end(const std::shared_ptr<net::frame_stream>& stream, const std::shared_ptr<attempt>& value,
                  const answer_log::slice& view);
    // Handles cancels and acknowledgements of the entry during a delivery, until the stream ends.
    net::task<void> receive_from_entry(std::shared_ptr<net::frame_stream> stream,
                                       std::shared_ptr<attempt> value, std::uint64_t delivery);

    // Calls to the endpoint.

    // Dispatches queued attempts as far as the limits allow and refuses those that must not run.
    void dispatch_queued();
    net::task<void> run(std::shared_ptr<attempt> value);
    class attempt_events;
    struct answer_end {
        time_point first_byte;
        std::uint32_t tokens = 0;
    };

    net::task<result<answer_end>> read_answer(std::shared_ptr<attempt> value,
                                              std::unique_ptr<net::http_stream> stream);
    net::task<result<answer_end>> read_events(std::shared_ptr<attempt> value,
                                              std::unique_ptr<net::http_stream> stream);
    // Cancels the attempt at the engine and releases its memory reservation on success; after a failure
    // reconciliation releases it later.
    net::task<void> cancel_at_engine(std::shared_ptr<attempt> value);
    void end_failed(const std::shared_ptr<attempt>& value, attempt_outcome outcome,
                    const std::string& message);
    void end_done(const std::shared_ptr<attempt>& value, const answer_end& end);
    void cancel(const std::shared_ptr<attempt>& value, const char* reason);
    time_point run_deadline(const attempt& value) const;
    void apply_engine_status(const engine_status& status);
    net::task<void> poll_engine_status();
    net::task<void> reconcile_with_engine();
    net::task<void> expire_attempts();
    // Queries entries for the newest confirmed configuration when the control members have not confirmed it
    // lately.
    net::task<void> query_peers();
    // Sends the engine the orders that lead to the desired state of the configuration.
    net::task<void> apply_orders();
    net::task<void> send_order(order next);
    void register_peer(const std::shared_ptr<net::connection>& peer);
    net::task<void> drain();

    node::process& m_process;
    settings::agent_settingsT m_settings;
    std::shared_ptr<engine_client> m_engine;
    admission m_admission;
    node::config_view m_config;
    std::shared_ptr<net::frame_server> m_server;
    std::shared_ptr<node::control_client> m_control;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_engine_seen{false};
    incarnation m_engine_incarnation = 0;
    std::string m_address;
    mutable std::mutex m_orders_mutex;
    order_planner m_orders;
    // Connections from entries by the incarnation of the entry; last in the lock order.
    std::mutex m_peers_mutex;
    std::map<incarnation, std::weak_ptr<net::connection>> m_peers;
};

} // namespace verbena::agent
