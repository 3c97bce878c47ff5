#pragma once

#include "forward/fleet.h"
#include "net/peer_pool.h"
#include "node/config_view.h"

#include <memory>
#include <mutex>
#include <set>

namespace verbena::forward {

// An entry to which this one reports its work.
struct report_target {
    std::string address;
    bool as_scheduler = false; // the target schedules another failure domain, and this entry its own
};

// Decides to which entries this one reports its work.
class report_target_source {
public:
    report_target_source() = default;
    report_target_source(const report_target_source&) = delete;
    report_target_source& operator=(const report_target_source&) = delete;
    virtual ~report_target_source() = default;

    virtual std::vector<report_target> report_targets(time_point now) const = 0;

    // Called when a target cannot be connected to.
    virtual void on_unreachable(const std::string& address, const std::string& reason) = 0;
};

// Answers the placement requests of other entries.
class placement_handler {
public:
    placement_handler() = default;
    placement_handler(const placement_handler&) = delete;
    placement_handler& operator=(const placement_handler&) = delete;
    virtual ~placement_handler() = default;

    // `message` holds a placement request. Its entry, of the failure domain `from`, reports its work to this
    // one.
    virtual net::task<void> on_request(std::shared_ptr<net::frame_stream> stream, net::received_frame message,
                                       std::string from) = 0;
    virtual void on_backlog_query(const std::shared_ptr<net::frame_stream>& stream,
                                  const wire::backlog_query& query) = 0;
};

// Exchanges load notes between entries and schedulers. Each entry reports its work to the scheduler of its
// failure domain or of the deployment, and each scheduler reports the work of its entries to the schedulers
// of the other domains. The notes count until the connection of their sender ends. Entries also answer each
// other's queries for the newest confirmed configuration.
class load_exchange : public net::connection_handler, public std::enable_shared_from_this<load_exchange> {
public:
    struct options {
        host_port listen;
        std::string failure_domain;
        net::connection_options connections;
        // The work that a lost scheduler has reported counts for this long: meanwhile its entries, which are
        // not lost, report it to other schedulers.
        milliseconds takeover_time{};
    };

    static result<std::shared_ptr<load_exchange>> create(net::asio::io_context& io, options settings,
                                                         fleet& endpoints, node::config_view& config,
                                                         report_target_source& targets,
                                                         std::shared_ptr<placement_handler> placements);

    load_exchange(net::asio::io_context& io, options settings, fleet& endpoints, node::config_view& config,
                  report_target_source& targets, std::shared_ptr<placement_handler> placements);

    void start();
    void stop();

    incarnation self() const { return m_options.connections.self.incarnation; }

    // Queues a note for sending.
    void add(wire::dispatch_noteT note);

    // Sends what this entry has learned of prompt parts to all entries with which it exchanges notes.
    void send_crash_records(const std::vector<policy::crash_statement>& records);

    // The same for limits of endpoints.
    void send_limits(const std::vector<endpoint_limit>& limits);

    // The connection to an entry to which this one has reported its work; null if there is none.
    std::shared_ptr<net::connection> connection_to(const std::string& address) const;

    // Ends the connection to an entry that does not answer.
    void drop(const std::string& address, const std::string& reason);

    // Whether entries report their work to this one as to their scheduler.
    bool has_entries() const;
    // Whether any process of the failure domain reports its work to this one, and whether a scheduler of it
    // does.
    bool has_reporter_of(const std::string& failure_domain) const;
    bool has_scheduler_of(const std::string& failure_domain) const;
    // Whether another scheduler reports its work to this one.
    bool has_schedulers() const;

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first) override;

    // Number of entries to which this one reports.
    std::size_t peers() const;

private:
    // Connection over which this entry sends its notes to another entry.
    struct peer {
        std::shared_ptr<net::frame_stream> stream;
        bool connecting = false;
        bool as_scheduler = false;
    };

    // An entry that sends its notes to this one.
    struct reporter {
        std::string failure_domain;
        bool schedules = false;
        std::set<std::shared_ptr<net::frame_stream>> streams;
    };

    net::task<void> connect_loop();
    net::task<void> connect(report_target target, host_port address);
    // Receives the records that an entry sends on the stream on which it gets notes.
    net::task<void> receive_records(std::shared_ptr<net::frame_stream> stream);
    // Sends all crash records and limits. The former even if there are none: the receiver lets requests wait
    // for them.
    void send_all_records(const std::shared_ptr<net::frame_stream>& stream);
    // Applies crash records or limits; other messages are ignored.
    void apply_records(const net::received_frame& message);
    void send_to_all(const wire::frameT& frame);
    net::task<void> receive_notes(std::shared_ptr<net::frame_stream> stream, net::received_frame first);
    void answer_placement(const std::shared_ptr<net::frame_stream>& stream, net::received_frame message);
    // The failure domain of an entry that reports its work to this one.
    std::optional<std::string> domain_of(incarnation entry) const;
    void update_peers();
    // Ends the streams to entries that are no targets, and returns the targets to connect to.
    std::vector<report_target> take_unconnected(const std::vector<report_target>& targets);
    void flush();
    void apply(const wire::load_notes& notes);

    net::asio::strand<net::asio::io_context::executor_type> m_strand;
    options m_options;
    fleet& m_fleet;
    node::config_view& m_config;
    report_target_source& m_targets;
    std::shared_ptr<placement_handler> m_placements;
    std::shared_ptr<net::peer_pool> m_pool;
    std::shared_ptr<net::frame_server> m_server;
    net::steady_timer m_flush_timer;

    // Guards the members below. In the lock order it comes last, except for metrics.
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::map<incarnation, reporter> m_reporters;
    std::vector<wire::dispatch_noteT> m_queued;
    bool m_flushing = false;
    bool m_stopping = false;
};

} // namespace verbena::forward
