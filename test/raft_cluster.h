#pragma once

#include "raft_checker.h"
#include "raft_memory_disk.h"

#include <queue>

namespace verbena::test {

// State machine of the simulated group: a hash chain over all commands, so that two states at one index are
// equal exactly if the same commands were applied in the same order.
class chain_machine final : public raft::state_machine {
public:
    std::function<void(raft::log_index, std::uint64_t, std::uint64_t)> on_apply;

    raft::bytes apply(raft::log_index index, std::span<const std::uint8_t> command) override;
    raft::bytes snapshot() const override;
    result<void> restore(std::span<const std::uint8_t> state) override;

    std::uint64_t chain() const { return m_chain; }

private:
    std::uint64_t m_chain = 0;
    raft::bytes m_padding = raft::bytes(150, 7); // splits each snapshot into several chunks
};

// Network faults; probabilities in percent.
struct network_faults {
    unsigned loss = 0;
    unsigned duplication = 0;
    unsigned slow = 0; // delayed by up to 300 ms instead of 1-3 ms, which also reorders
};

// Options with limits small enough that short schedules exercise batching, flow control and snapshots.
raft::options small_options();

// A group of members with a simulated network, disks and clock. The checker observes the affected member
// after every step.
class raft_cluster {
public:
    raft_cluster(std::uint64_t seed, std::size_t size, const raft::options& settings = small_options());

    // Runs until the simulated clock has advanced by `span`.
    void run(milliseconds span);

    // Runs until `done` holds, at most for `limit`. Returns whether it holds.
    bool run_until(const std::function<bool()>& done, milliseconds limit);

    // Id of the running leader with the highest term, or 0.
    raft::member_id leader() const;
    raft::replica* at(raft::member_id id);
    bool is_up(raft::member_id id) const;

    // Proposes a new unique command; false if it was refused.
    bool propose(raft::member_id id);
    bool change(raft::member_id via, const raft::membership_change& change);

    // Crashes the member now, or after `operations` further disk writes, messages or applied entries.
    void crash(raft::member_id id, crash_kind kind);
    void crash_after(raft::member_id id, unsigned operations, crash_kind kind);

    void cancel_crash(raft::member_id id) { m_nodes.at(id).operations_left.reset(); }

    // Opens the data folder again. Returns false and leaves the member down if the folder cannot be opened.
    bool restart(raft::member_id id);

    // Error of the last failed restart.
    const std::string& open_error() const { return m_open_error; }

    // A paused member processes no ticks and no messages; messages are delivered when it resumes.
    void pause(raft::member_id id);
    void resume(raft::member_id id);

    void block_link(raft::member_id from, raft::member_id to) { m_blocked_links.insert({from, to}); }
    void heal_links() { m_blocked_links.clear(); }

    // Replaces the disk of a stopped member by an empty one that joins under the same id. `reinitialise`
    // simulates an operator error: the folder is initialised as that of an initial member of the group
    // instead.
    void lose_disk(raft::member_id id, bool reinitialise = false);

    // Ends a member for ever, together with its disk.
    void remove(raft::member_id id);

    // Starts a new member that waits to be added to the group.
    void start_joining_member(raft::member_id id);

    memory_disk& disk_of(raft::member_id id) { return *m_nodes.at(id).files; }
    chain_machine& machine_of(raft::member_id id) { return *m_nodes.at(id).machine; }
    std::vector<raft::member_id> ids() const;
    raft_checker& checker() { return m_checker; }
    random_engine& random() { return m_random; }
    time_point now() const { return m_now; }
    std::size_t unknown_count() const { return m_unknown; }
    std::size_t accepted_count() const { return m_accepted; }
    std::size_t reported_count() const { return m_reported; }
    std::uint64_t step_count() const { return m_steps; }

    network_faults faults;

    // Simulates a defective network: may change a message, or drop it by returning false.
    std::function<bool(raft::message&)> intercept;

    std::function<void(const raft::message&)> on_send;

    // Defect for tests of the checker: a stopping member drops its pending proposals without reporting them.
    bool drops_open_proposals = false;

private:
    struct node {
        std::unique_ptr<memory_disk> files;
        std::unique_ptr<chain_machine> machine;
        std::unique_ptr<raft::transport> network;
        std::unique_ptr<raft::replica> replica;
        bool paused = false;
        bool replaced = false; // the folder replaces a lost one
        std::optional<unsigned> operations_left;
        crash_kind pending_kind = crash_kind::power;
        time_point next_tick;
        std::vector<raft::message> pending_messages;
    };

    struct delivery {
        time_point at;
        std::uint64_t number = 0;
        raft::message content;

        bool operator>(const delivery& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    class node_transport;

    node& add_node(raft::member_id id);
    bool open(raft::member_id id, node& member);
    bool consume_operation(node& member);
    void send(raft::message content);
    void enqueue(raft::message content);
    void step_next();
    void deliver(raft::message content);
    void tick(raft::member_id id, node& member);
    void after_step(raft::member_id id, node& member, bool healthy);
    void observe(raft::member_id id, node& member);

    raft::options m_settings;
    raft::membership m_initial;
    random_engine m_random;
    raft_checker m_checker;
    std::map<raft::member_id, node> m_nodes;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_queue;
    std::set<std::pair<raft::member_id, raft::member_id>> m_blocked_links;
    time_point m_now;
    std::uint64_t m_sent = 0;
    std::uint64_t m_next_command = 1;
    std::uint64_t m_steps = 0;
    std::size_t m_unknown = 0;
    std::size_t m_accepted = 0;
    std::size_t m_reported = 0;
    std::string m_open_error;
};

} // namespace verbena::test
