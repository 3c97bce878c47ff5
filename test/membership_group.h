#pragma once

#include "control/membership_policy.h"
#include "raft_cluster.h"

namespace verbena::test {

// Counts of the events in the schedules, so that a test can require a minimum of each.
struct membership_counts {
    std::size_t planned = 0; // replacements by a successor that had joined before
    std::size_t sudden = 0;  // machines that ended before their successors started
    std::size_t lost_disks = 0;
    std::size_t at_the_end_of_a_member = 0; // disks lost within 100 ms after a planned removal
    std::size_t late_requests = 0; // join requests that arrived after their sender had stopped waiting
    std::size_t splits = 0;
    std::size_t freezes = 0;
    std::size_t power_losses = 0; // of all machines at once
    std::size_t reduced = 0;      // disks known to be lost before an election
    std::size_t acknowledged = 0;

    void add(const membership_counts& other);
};

// Machines with a process each, whose members form a group without an operator: the membership policy of each
// process decides about joins and removals, as in raft_host. Messages between the processes may be late,
// duplicated and lost.
class membership_group {
public:
    membership_group(std::uint64_t seed, std::size_t machines, std::size_t tolerated_losses);

    // Runs for `span` of the simulated time; proposes changes at each leader meanwhile.
    void run(milliseconds span);
    bool run_until(const std::function<bool()>& done, milliseconds limit);

    // Starts one more machine with an empty disk; returns its index.
    std::size_t add_machine();
    // The machine ends without a word and never returns.
    void remove_machine(std::size_t index);
    // The machine stops; start() starts its process again.
    void stop(std::size_t index, crash_kind kind);
    void lose_disk(std::size_t index);
    void start(std::size_t index);
    void freeze(std::size_t index);
    void thaw(std::size_t index);

    // Splits the machines into two halves that do not reach each other; an empty set ends the split.
    void split(std::set<std::size_t> half) { m_half = std::move(half); }

    std::vector<std::size_t> machines() const; // not removed
    bool is_up(std::size_t index) const { return m_machines.at(index).up && !m_machines.at(index).frozen; }
    // Index of the machine whose member leads; nothing if there is none.
    std::optional<std::size_t> leader();
    std::size_t voters();
    // Whether the machine's member is a voter in a membership that the leader knows to be committed.
    bool votes(std::size_t index);
    // Whether a leader exists, has a confirmed majority and has brought all voters up to date.
    bool works();

    raft_cluster& cluster() { return m_cluster; }
    random_engine& random() { return m_random; }
    time_point now() const { return m_cluster.now(); }
    // Percentage of messages between processes that arrive once more, up to 6 s late, also if a split kept
    // them back.
    unsigned late_messages = 0;
    const membership_counts& counts() const { return m_counts; }

private:
    struct machine {
        std::string address;
        raft::member_id member = 0; // 0: the folder is empty
        bool up = true;
        bool frozen = false;
        bool removed = false;
        std::uint64_t boot = 0; // number of starts of the process
        control::membership_policy policy;
        time_point next_join;
        time_point last_leader;
        std::size_t next_target = 0;
    };
    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> act;

        bool operator>(const event& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    std::size_t pick(std::size_t count) { return static_cast<std::size_t>(m_random() % count); }
    raft::replica* replica_of(std::size_t index);
    std::optional<std::size_t> machine_of(raft::member_id id) const;
    std::optional<std::size_t> machine_at(const std::string& address) const;
    bool separated(std::size_t a, std::size_t b) const;
    // Delivers a message from one machine to another one, and at times a copy that was held up.
    void send(std::size_t from, std::size_t to, const std::function<void()>& deliver);
    void act(std::size_t index);
    void ask(std::size_t index, const raft::member& voter);
    void request_membership(std::size_t index, std::size_t target, bool follow);
    void become_member(std::size_t index, raft::member_id id);
    raft::member_folder held_by(std::size_t index);

    std::size_t m_tolerated_losses;
    raft_cluster m_cluster;
    random_engine m_random;
    std::vector<machine> m_machines;
    std::set<std::size_t> m_half;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_event_count = 0;
    membership_counts m_counts;
};

} // namespace verbena::test
