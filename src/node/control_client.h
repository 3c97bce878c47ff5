#pragma once

#include "base/settings.h"
#include "net/peer_pool.h"
#include "node/config_view.h"
#include "node/directory_view.h"
#include "node/scheduler_list.h"
#include "node/usage_counter.h"

#include <functional>
#include <memory>
#include <set>

namespace verbena::node {

// Parses the addresses of the control members from the settings; control_port overrides their ports if set.
result<std::vector<host_port>> control_members(const settings::node_settingsT& settings);

// Polls every control member to keep the configuration view and the directory up to date, and sends key calls
// to the leader. The current members are taken from poll replies; the settings only provide the seeds, the
// first ones to contact.
class control_client : public std::enable_shared_from_this<control_client> {
public:
    struct options {
        std::vector<host_port> members;
        net::peer_info self;
        milliseconds interval{500};
        // The same for members of other failure domains while the member of this one confirms.
        milliseconds remote_interval{500};
        // Time to wait for a member's reply; shorter than the freshness bound, so that a lost reply costs
        // only one poll.
        milliseconds reply_timeout{1'000};
        // Address at which other entries reach this process; set for entries only.
        std::string frame_address;
        // Failure domain of the VM, and processor time that this process may use, in thousandths of a core;
        // set for entries only.
        std::string failure_domain;
        std::uint32_t processor_share = 0;
        // Counts that are sent to the member that collects them; null for processes without. Outlives the
        // client.
        usage_counter* usage = nullptr;
        // Load of the services whose number of endpoints the control leader decides; empty for processes that
        // do not schedule requests.
        std::function<std::vector<std::unique_ptr<wire::service_demandT>>()> demand;
    };

    // Builds the announcement of an agent; null for entries.
    using announcer = std::function<std::unique_ptr<wire::announcementT>()>;

    control_client(net::asio::io_context& io, options settings, std::shared_ptr<net::peer_pool> pool,
                   config_view& config, directory_view* directory, announcer announce, metrics& counters);

    void start();
    void stop() { m_stopping = true; }

    // Polls again without waiting for the interval; the rate of such polls is limited.
    void poll_now() { m_poll_now = true; }

    // Replaces the seed members after a reload of the settings.
    void set_seeds(std::vector<host_port> seeds);

    // Entries that may schedule requests, as the control members list them.
    const scheduler_list& schedulers() const { return m_schedulers; }

    // Number of the last usage slice that the collecting member has acknowledged; 0 = none.
    std::uint64_t usage_acknowledged() const { return m_usage_acknowledged; }

    // Requests a permit to load this many bytes from the weight store; 0 withdraws the request or returns the
    // permit.
    void request_load_permit(std::uint64_t bytes);
    bool has_load_permit() const { return m_load_permit; }

    // Sends a key call to the leader, following leader hints in replies, and waits for the committed reply.
    // An `unavailable` error means that no leader replied in time; the call may have been committed even so.
    net::task<result<wire::key_replyT>> call_key(wire::frameT call, milliseconds timeout);

private:
    // Starts a polling loop for every poll target that has none.
    net::task<void> run_poll_loops();
    void update_poll_targets(time_point now);
    bool is_poll_target(const std::string& name) const;
    net::task<void> poll_member(host_port member);
    net::task<void> wait_for_next_poll(time_point begin, std::string member);
    bool is_remote(const std::string& member, time_point now) const;
    net::task<void> poll_while_target(host_port member, std::string name);
    // What one member has been sent and has asked for. An unchanged announcement is sent in every second poll
    // only.
    struct member_exchange {
        std::unique_ptr<wire::announcementT> last_announced;
        bool skip_next = false;
        bool usage_wanted = false;
        std::uint64_t usage_acknowledged = 0;
    };

    net::task<result<void>> poll_once(const host_port& member,
                                      const std::shared_ptr<net::frame_stream>& stream,
                                      member_exchange& exchange);
    net::task<result<wire::key_replyT>> call_member(host_port member, wire::frameT call,
                                                    milliseconds timeout);
    bool wants_demand(const std::string& member) const;
    void record_group(const std::string& member, const wire::poll_reply& reply);
    void apply_usage_reply(const std::string& member, const wire::poll_reply& reply,
                           member_exchange& exchange);
    void apply_reply(const std::string& member, const wire::poll_reply& reply, time_point sent_at);
    host_port next_target(const wire::key_replyT* last, std::size_t attempt) const;

    net::asio::io_context& m_io;
    options m_options;
    std::shared_ptr<net::peer_pool> m_pool;
    config_view& m_config;
    directory_view* m_directory;
    announcer m_announce;
    metrics& m_metrics;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_poll_now{false};
    std::atomic<std::uint64_t> m_requested_load_bytes{0};
    std::atomic<bool> m_load_permit{false};
    std::atomic<std::uint64_t> m_usage_acknowledged{0};
    mutable std::mutex m_mutex;
    std::string m_leader; // frame address of the last known leader
    std::vector<host_port> m_seeds;
    std::set<std::string> m_members; // from the last reply of a member with a quorum
    // From the last reply of a control process without one, polled like the seeds.
    std::set<std::string> m_suggested_members;
    std::set<std::string> m_poll_targets;
    std::set<std::string> m_active_polls;
    time_point m_last_confirmed_reply;
    std::map<std::string, std::string> m_member_domains; // by frame address
    time_point m_last_local_confirmation;                // by a member of this failure domain
    std::map<std::string, milliseconds> m_usage_kept;    // as asked for, by frame address of the member
    std::set<std::string> m_demand_members;              // that want the load of services
    scheduler_list m_schedulers;
};

// Closes the stream after `timeout`, so that a pending receive fails. Cancel the timer when done.
void close_after(net::steady_timer& timer, const std::shared_ptr<net::frame_stream>& stream,
                 milliseconds timeout);

} // namespace verbena::node
