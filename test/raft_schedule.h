#pragma once

#include "raft_cluster.h"

namespace verbena::test {

// Defects of the simulated environment, for tests that the checker reports their effects.
struct schedule_defects {
    bool disks_ignore_sync = false;
    bool disks_ignore_flips = false;
    bool lost_disks_are_reinitialised = false;
    bool open_proposals_are_dropped = false;

    // A defective network: may change a message, or drop it by returning false.
    std::function<bool(raft::message&)> intercept;
};

// Counts of the events in the schedules, so that a test can require a minimum of each.
struct schedule_counts {
    std::size_t schedules = 0;
    std::size_t steps = 0;
    std::size_t accepted = 0;
    std::size_t acknowledged = 0;
    std::size_t unknown = 0;
    std::size_t confirmations = 0;
    std::size_t crashes = 0;
    std::size_t lost_disks = 0;
    std::size_t flipped = 0;
    std::size_t repairs = 0;
    std::size_t second_losses = 0;
    std::size_t changes = 0;
    std::size_t snapshots = 0;
    std::size_t chunks = 0;
    std::size_t pauses = 0;

    void add(const schedule_counts& other);
};

// A randomised run of a group of 3 to 5 members with faults, fully determined by its seed. At the end the
// faults stop and the group must make progress again.
class raft_schedule {
public:
    explicit raft_schedule(std::uint64_t seed, const schedule_defects& defects = {});

    // Returns the violations found.
    std::vector<std::string> run();

    const schedule_counts& counts() const { return m_counts; }

private:
    std::size_t pick(std::size_t count);
    raft::member_id pick_member();
    std::vector<raft::member_id> committed_voters();

    void inject_fault();
    void crash_random_member();
    void restart_random_members();
    void partition_random_member();
    void pause_leader();
    void change_members();
    void lose_disk();
    void flip_byte();
    void mark_lost(raft::member_id id);
    void propose_some();
    void add_member();
    void apply_disk_defects(raft::member_id id);
    void advance_repair();
    void finish_run();
    void finish_repair();
    bool converged();

    raft_cluster m_cluster;
    schedule_defects m_defects;
    schedule_counts m_counts;
    raft::member_id m_next_id;
    raft::member_id m_lost = 0;          // voter whose disk was lost or corrupted, 0 = none
    raft::member_id m_replacement = 0;   // member that replaces it
    std::set<raft::member_id> m_damaged; // members whose folder cannot be opened any more
    bool m_second_loss;                  // lose another disk as soon as the first is repaired
};

} // namespace verbena::test
