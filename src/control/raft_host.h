#pragma once

#include "base/settings.h"
#include "control/membership_policy.h"
#include "control/operator_service.h"
#include "control/state_machine.h"
#include "net/peer_pool.h"
#include "raft/posix_disk.h"
#include "raft/replica.h"

#include <functional>
#include <map>
#include <memory>

namespace verbena::control {

using control_strand = net::asio::strand<net::asio::io_context::executor_type>;

// A member that has had no leader for this long asks whether it still belongs to the group. Several elections
// fit into this time.
inline constexpr milliseconds leader_loss_timeout{3'000};

// Initial members that form a group wait this long for the others before they accept the first change. Longer
// than an election, and a join and a promotion of each further member.
inline constexpr milliseconds formation_timeout{5'000};

// Runs the Raft member of this process: storage, timer and messages to the other members. Everything runs on
// one strand, which serialises the member with the users of its state.
class raft_host : public replicated_log,
                  public raft::transport,
                  public std::enable_shared_from_this<raft_host> {
public:
    struct options {
        std::string cluster;
        std::uint64_t member_id = 0;
        // Empty: the process has no disk, never becomes a member and redirects callers to the leader.
        std::string data_folder;
        // First members of a new group as id=host:port; read only when `initialise` is set and the folder is
        // empty.
        std::string peers;
        bool initialise = false;
        // Frame address of this member. With member id 0 the member forms a group with `initial_members` if
        // `form_group` is set, and otherwise requests an id from them.
        host_port address;
        std::vector<host_port> initial_members;
        bool form_group = false;
        // Number of simultaneous member failures to tolerate (f). The group needs 2f + 1 voters; silent
        // voters beyond that are removed.
        std::size_t tolerated_losses = 1;
    };

    // Opens the data folder. `on_fault` is called once when the member has to stop.
    static result<std::shared_ptr<raft_host>> create(net::asio::io_context& io, const options& settings,
                                                     control::state_machine& machine,
                                                     std::shared_ptr<net::peer_pool> pool,
                                                     std::function<void(const error&)> on_fault);

    raft_host(net::asio::io_context& io, const options& settings, control::state_machine& machine,
              std::shared_ptr<net::peer_pool> pool, std::function<void(const error&)> on_fault);

    void start();
    control_strand& strand() { return m_strand; }

    // All of the following run on the strand.
    // Handles a message received on `stream`. Replies use the same stream while the sender's address is
    // unknown.
    void step(const wire::raft_message& message, const std::shared_ptr<net::frame_stream>& stream);
    std::optional<milliseconds> confirm_age(time_point now) const
    {
        return m_replica ? m_replica->consensus().confirm_age(now) : std::nullopt;
    }
    // Frame address of the leader; empty when no leader is known.
    std::string leader_address() const;
    // Whether this process holds a copy of the log.
    bool is_member() const { return m_replica != nullptr; }
    // Frame address at which to ask for the leader's state. A process that is not a member asks the members
    // and the initial members in turn until one of them names the leader.
    std::optional<host_port> leader_query_target();
    // Leader and members named by another control process, for a process that is not a member. What is empty
    // leaves the known leader or members as they are.
    void set_reported_group(std::string leader, std::vector<std::string> members);
    // The process at this frame address does not answer or does not name a leader. If it was the leader that
    // others had named, no leader is known any more.
    void forget_reported_leader(const std::string& address);
    // Initial members that are not in the group, on the leader: processes without a disk, to which nobody
    // else may be able to name the leader after all of them have restarted.
    std::vector<host_port> outsiders() const;
    bool knows_leader() const { return m_replica && m_replica->consensus().leader() != 0; }

    // Handles a request to become a member. Member id 0 in the reply means that the process has to retry,
    // here or at the leader.
    wire::join_replyT join(const wire::join_request& request);

    // Says whether this process still holds the data folder of a voter that is listed with its address.
    wire::folder_replyT answer(const wire::folder_query& query) const;

    // Sends a message to all connected members, without waiting for delivery.
    void broadcast(const wire::frameT& message);

    // Frame addresses of all members, as far as they are known.
    std::vector<std::string> member_addresses() const;

    // Addresses for membership requests, in addition to the members listed in the log.
    void set_initial_members(std::vector<host_port> addresses)
    {
        m_options.initial_members = std::move(addresses);
    }
    // `source` is the frame address of the member that reported the address.
    void set_leader_operator_address(std::string address, std::string source)
    {
        m_leader_operator_address = std::move(address);
        m_leader_operator_source = std::move(source);
    }
    void transfer_leadership();

    bool is_leader() const override
    {
        return m_replica && m_replica->consensus().role() == raft::role::leader;
    }
    // Empty until the current leader has reported its address.
    std::string leader_operator_address() const override
    {
        const bool known =
            !is_leader() && !leader_address().empty() && leader_address() == m_leader_operator_source;
        return known ? m_leader_operator_address : std::string();
    }
    void propose(std::vector<std::uint8_t> command, proposal_handler handler) override;
    void add_member(std::uint64_t id, const std::string& address, member_handler handler) override;
    void remove_member(std::uint64_t id, member_handler handler) override;
    op::status_replyT status() const override;

    void send(raft::message output) override;

private:
    class machine_adapter : public raft::state_machine {
    public:
        explicit machine_adapter(control::state_machine& machine) : m_machine(machine) {}

        raft::bytes apply(raft::log_index index, std::span<const std::uint8_t> command) override
        {
            return m_machine.apply(index, command);
        }
        raft::bytes snapshot() const override { return m_machine.snapshot(); }
        result<void> restore(std::span<const std::uint8_t> state) override
        {
            return m_machine.restore(state);
        }
        bool is_empty() const { return m_machine.config().current_revision() == 0; }

    private:
        control::state_machine& m_machine;
    };

    // Stream to another member. Messages are dropped while there is no stream; Raft tolerates message loss.
    struct link {
        std::shared_ptr<net::frame_stream> stream;
        bool connecting = false;
        time_point next_attempt;
    };

    result<void> open(const options& settings);
    result<void> open_replica();
    result<void> prepare_folder(const options& settings);
    // Determines the id of a member without a configured id: from the data folder, or by forming the group.
    // Stays 0 until the group assigns one.
    result<void> determine_member_id();
    result<void> form_group();
    // Control processes that may know the leader: the initial members and the members, without this one.
    std::vector<host_port> contacts() const;
    net::task<void> request_membership();
    net::task<std::optional<wire::join_replyT>> send_join_request(host_port address, std::uint64_t folder);
    // Sends one frame over a stream of its own and returns the reply, if there is one in time.
    net::task<std::optional<net::received_frame>> ask(host_port address, wire::frameT question);
    void log_join_outcome(const host_port& target, const std::optional<wire::join_replyT>& reply);
    result<void> become_member(raft::member_id id, raft::folder_id folder);
    // Whether this leader may accept changes. A group that forms itself from the initial members accepts none
    // before it has needed_voters(): a change acknowledged by fewer could be lost with as many disks as the
    // settings tolerate. Members that have not joined after formation_timeout count as lost.
    bool accepts_changes(time_point now);
    // Asks voters whether they still hold their folders and removes members, as the policy decides.
    void maintain_membership(time_point now);
    void start_change(const membership_step& step);
    net::task<void> ask_for_folder(raft::member voter);
    // Voters with which the group keeps a majority after losing as many members as the settings tolerate.
    std::size_t needed_voters() const { return m_policy.needed_voters(); }
    result<void> initialise_folder(const options& settings);
    net::task<void> run_timer();
    // Logs the group when its members or its leader have changed, and elections that fail.
    void log_group(time_point now);
    void log_failed_election(time_point now);
    // Connects to members before the first message is sent, so that no messages are lost after a restart.
    void connect_members(time_point now);
    void connect_in_background(raft::member_id id, time_point now);
    net::task<void> connect(raft::member_id id, host_port address);
    net::task<void> read_replies(std::shared_ptr<net::frame_stream> stream);
    void change_membership(const raft::membership_change& change, const member_handler& handler);
    void request_membership_in_background();
    void schedule_flush();
    void stop_on_error(const result<void>& outcome);
    std::string address_of(raft::member_id id) const;

    net::asio::io_context& m_io;
    control_strand m_strand;
    options m_options;
    machine_adapter m_machine;
    std::shared_ptr<net::peer_pool> m_pool;
    std::function<void(const error&)> m_on_fault;
    std::unique_ptr<raft::posix_disk> m_disk;
    std::unique_ptr<raft::replica> m_replica;
    std::map<raft::member_id, link> m_links;
    membership_policy m_policy;
    std::set<raft::member_id> m_asked; // voters with an open question about their folder
    time_point m_last_leader_contact;
    std::size_t m_next_join_target = 0;
    std::size_t m_next_query_target = 0;
    std::string m_reported_leader;
    std::vector<std::string> m_reported_members;
    bool m_requesting_membership = false;
    std::string m_logged_join_outcome;
    raft::membership m_logged_membership;
    raft::member_id m_logged_leader = 0;
    time_point m_last_election_line;
    std::string m_leader_operator_address;
    std::string m_leader_operator_source; // frame address of the leader that reported it
    bool m_forms_itself = false;
    bool m_accepts_changes = false;
    std::optional<time_point> m_leader_since; // set by the timer, after the election
    bool m_flush_scheduled = false;
    bool m_faulted = false;
};

} // namespace verbena::control
