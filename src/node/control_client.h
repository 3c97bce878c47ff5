#pragma once

#include "base/settings.h"
#include "net/peer_pool.h"
#include "node/config_view.h"
#include "node/directory_view.h"

#include <functional>
#include <memory>
#include <set>

namespace verbena::node {

// The control members that the settings name, with their frame ports.
result<std::vector<host_port>> control_members(const settings::node_settingsT& settings);

// Polls every control member, keeps the configuration view fresh and the directory current, and carries key
// calls to the leader. The members are learned from their replies; the settings only name the first ones to
// ask.
class control_client : public std::enable_shared_from_this<control_client> {
public:
    struct options {
        std::vector<host_port> members;
        net::peer_info self;
        milliseconds interval{500};
        // Time to wait for a member's reply; shorter than the freshness bound, so that a lost reply costs one
        // poll.
        milliseconds reply_timeout{1'000};
        // Of an entry: where other entries reach it.
        std::string frame_address;
    };

    // Fills in the announcement of an agent; null for entries.
    using announcer = std::function<std::unique_ptr<wire::announcementT>()>;

    control_client(net::asio::io_context& io, options settings, std::shared_ptr<net::peer_pool> pool,
                   config_view& config, directory_view* directory, announcer announce, metrics& counters);

    void start();
    void stop() { m_stopping = true; }

    // Polls again without waiting for the interval, at most once in a short time.
    void poll_now() { m_poll_now = true; }

    // Takes over members from reloaded settings.
    void set_seeds(std::vector<host_port> seeds);

    // Frame addresses of the entries that members named lately.
    std::vector<std::string> entries(time_point now) const;

    // Asks for a permit to read this many bytes from the weight store; 0 ends the request or the permit.
    void request_load_permit(std::uint64_t bytes);
    bool has_load_permit() const { return m_load_permit; }

    // Sends a key call to the leader, following its hints, and waits for the committed answer. `unavailable`
    // with sent = false proves that no member took the call.
    net::task<result<wire::key_replyT>> call_key(wire::frameT call, milliseconds timeout);

private:
    // Keeps one polling loop for each member.
    net::task<void> follow_members();
    void adopt_wanted(time_point now);
    bool is_wanted(const std::string& name) const;
    net::task<void> poll_member(host_port member);
    net::task<void> pause(time_point begin);
    net::task<void> poll_until_unwanted(host_port member, std::string name);
    // What one member was told last; an unchanged announcement travels in every second poll only.
    struct announced {
        std::unique_ptr<wire::announcementT> last;
        bool skip_next = false;
    };

    net::task<result<void>> poll_once(const host_port& member,
                                      const std::shared_ptr<net::frame_stream>& stream, announced& told);
    net::task<result<wire::key_replyT>> call_member(host_port member, wire::frameT call,
                                                    milliseconds timeout);
    void note_group(const wire::poll_reply& reply);
    void take_reply(const std::string& member, const wire::poll_reply& reply, time_point asked);
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
    std::atomic<std::uint64_t> m_wanted_load{0};
    std::atomic<bool> m_load_permit{false};
    mutable std::mutex m_mutex;
    std::string m_leader; // frame address of the last known leader
    std::vector<host_port> m_seeds;
    std::set<std::string> m_members; // as a confirmed member named them last
    std::set<std::string> m_wanted;
    std::set<std::string> m_polled;
    time_point m_last_reply;
    std::map<std::string, time_point> m_entries;
};

// Closes the stream when the time has passed, so that a pending receive fails. Cancel the timer when done.
void close_after(net::asio::steady_timer& timer, const std::shared_ptr<net::frame_stream>& stream,
                 milliseconds timeout);

} // namespace verbena::node
