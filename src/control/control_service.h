#pragma once

#include "control/duty_service.h"
#include "control/duty_tasks.h"
#include "control/public_calls.h"
#include "control/raft_host.h"
#include "control/usage_collector.h"
#include "events_generated.h"
#include "node/config_view.h"
#include "node/process.h"

namespace verbena::control {

// The control process, which runs on a VM with a disk. Answers polls, records idempotency keys and serves
// operator calls; keys and configuration are replicated through Raft.
class control_service : public net::connection_handler,
                        public net::http_handler,
                        public control_operations,
                        public std::enable_shared_from_this<control_service> {
public:
    static result<std::shared_ptr<control_service>>
    create(node::process& process, const settings::control_settingsT& settings, bool initialise,
           std::shared_ptr<external_call_handler> external_handler = nullptr, duty_adapter duties = {});

    control_service(node::process& process, const settings::control_settingsT& settings,
                    std::shared_ptr<external_call_handler> external_handler, duty_adapter duties);

    void start();

    // Transfers leadership if this member holds it, then ends the process.
    void stop();

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;
    net::task<void> handle(net::http_exchange& exchange) override;

    net::task<change_outcome> publish(std::uint64_t version, std::string content) override;
    net::task<change_outcome> set_domain(std::string name, op::admin_state state) override;
    net::task<published_document> read_published() override;
    net::task<change_outcome> announce(wire::announcementT announcement) override;

    // Applies the control members listed in reloaded settings.
    void reload(const settings_root& root);

private:
    result<void> open(bool initialise);
    // Creates the service of the duties if the settings name duties and the infrastructure.
    void open_duties();
    net::task<void> serve_stream(std::shared_ptr<net::frame_stream> stream, net::received_frame first);
    void dispatch_message(const std::shared_ptr<net::frame_stream>& stream, const wire::frame& frame);
    void handle_poll(const std::shared_ptr<net::frame_stream>& stream, const wire::poll& poll);
    // Takes the usage counts of an entry and fills in the usage fields of the reply to its poll.
    void handle_usage(const wire::pollT& poll, bool leads, time_point now, wire::poll_replyT& reply);
    void report_usage_step(const event::usage_windowT& line);
    void handle_freshness_query(const std::shared_ptr<net::frame_stream>& stream,
                                const wire::freshness_query& query);
    void propose_key(const std::shared_ptr<net::frame_stream>& stream, std::vector<std::uint8_t> command);
    member_view make_view(time_point now) const;
    std::optional<milliseconds> confirmed_age(time_point now) const;
    net::task<void> poll_leader();
    // Asks `target` for its confirmed state and for the leader that it knows.
    net::task<void> query_leader(host_port target);
    // While this member leads, names it to the processes in its settings that are not members.
    net::task<void> announce_leadership();
    net::task<void> expire_directory();
    net::task<void> shut_down();
    void log_shutdown(const char* step, time_point begin) const;
    net::task<operator_reply> run_call(std::string call, std::string body);
    void log_call(const char* call, const std::string& subject, std::uint32_t status,
                  const std::string& detail);
    net::task<change_outcome> change(op::change_requestT request);
    published_document copy_published(time_point now) const;
    void forward_announcement(const std::string& endpoint);
    // Stores an announcement, or redirects it if this process is not a member.
    change_outcome take_announcement(const wire::announcementT& announcement, time_point now);
    result<void> accept_announcement(const wire::announcementT& announcement, time_point now);

    node::process& m_process;
    settings::control_settingsT m_settings;
    control::state_machine m_machine;
    directory m_directory;
    poll_service m_polls;
    std::optional<usage_collector> m_usage;   // if the settings name the duty
    std::optional<demand_collector> m_demand; // likewise
    // End of the oldest window that is not reported, in ms of the wall clock, while this member leads; else
    // 0.
    std::atomic<std::uint64_t> m_usage_unreported_ms{0};
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<raft_host> m_raft;
    std::shared_ptr<external_call_handler> m_external_handler;
    duty_adapter m_duty_adapter;
    std::shared_ptr<duty_service> m_duties; // null without duties
    std::unique_ptr<operator_service> m_operator;
    std::shared_ptr<net::frame_server> m_frames;
    std::shared_ptr<net::http_server> m_http;
    // Configuration and confirmation received from the leader while this member follows. Ages are measured
    // with this process's clock.
    node::config_view m_leader_view;
};

} // namespace verbena::control
