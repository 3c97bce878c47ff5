#include "raft_schedule.h"

#include "raft/files.h"

#include <algorithm>

namespace verbena::test {

using raft::member_id;

namespace {

raft::log_index newest_snapshot(memory_disk& files)
{
    const auto numbers = raft::detail::parse_file_numbers(files.list().value(), "snapshot-");
    return numbers.empty() ? 0 : numbers.back();
}

} // namespace

void schedule_counts::add(const schedule_counts& other)
{
    schedules += other.schedules;
    steps += other.steps;
    accepted += other.accepted;
    acknowledged += other.acknowledged;
    unknown += other.unknown;
    confirmations += other.confirmations;
    crashes += other.crashes;
    lost_disks += other.lost_disks;
    flipped += other.flipped;
    repairs += other.repairs;
    second_losses += other.second_losses;
    changes += other.changes;
    snapshots += other.snapshots;
    chunks += other.chunks;
    pauses += other.pauses;
}

raft_schedule::raft_schedule(std::uint64_t seed, const schedule_defects& defects)
    : m_cluster(seed, 3 + seed % 3), m_defects(defects), m_next_id(4 + seed % 3), m_second_loss(seed % 2 == 0)
{
    m_cluster.faults.loss = static_cast<unsigned>(pick(12));
    m_cluster.faults.duplication = static_cast<unsigned>(pick(10));
    m_cluster.faults.slow = static_cast<unsigned>(pick(8));
    m_cluster.intercept = defects.intercept;
    m_cluster.on_send = [this](const raft::message& content) {
        m_counts.chunks += content.kind == raft::message_kind::snapshot_chunk ? 1 : 0;
    };
    m_cluster.drops_open_proposals = defects.open_proposals_are_dropped;
    for (const member_id id : m_cluster.ids()) {
        apply_disk_defects(id);
    }
}

void raft_schedule::apply_disk_defects(member_id id)
{
    m_cluster.disk_of(id).ignores_sync = m_defects.disks_ignore_sync;
    m_cluster.disk_of(id).ignores_flips = m_defects.disks_ignore_flips;
}

std::size_t raft_schedule::pick(std::size_t count)
{
    return static_cast<std::size_t>(m_cluster.random()() % count);
}

member_id raft_schedule::pick_member()
{
    const auto all = m_cluster.ids();
    return all[pick(all.size())];
}

// Voters in the newest membership that the leader knows to be committed.
std::vector<member_id> raft_schedule::committed_voters()
{
    std::vector<member_id> voters;
    if (const raft::replica* leader = m_cluster.at(m_cluster.leader())) {
        const raft::core& state = leader->consensus();
        for (const raft::member& line : state.membership_at(state.commit_index()).members) {
            if (line.voter) {
                voters.push_back(line.id);
            }
        }
    }
    return voters;
}

std::vector<std::string> raft_schedule::run()
{
    m_cluster.run(milliseconds(900));
    for (int round = 0; round < 14; ++round) {
        propose_some();
        inject_fault();
        advance_repair();
        m_cluster.run(milliseconds(20 + pick(250)));
    }
    finish_run();
    m_counts.schedules = 1;
    m_counts.steps = m_cluster.step_count();
    m_counts.accepted = m_cluster.accepted_count();
    m_counts.acknowledged = m_cluster.checker().acknowledged_count();
    m_counts.unknown = m_cluster.unknown_count();
    m_counts.confirmations = m_cluster.checker().confirmation_count();
    for (const member_id id : m_cluster.ids()) {
        const auto names = m_cluster.disk_of(id).list().value();
        m_counts.snapshots += std::any_of(names.begin(), names.end(), [](const std::string& name) {
            return name.starts_with("snapshot-");
        });
    }
    return m_cluster.checker().violations();
}

void raft_schedule::propose_some()
{
    const std::size_t count = pick(5) == 0 ? 30 : 1 + pick(4);
    for (std::size_t i = 0; i < count; ++i) {
        // Proposes to every member that considers itself leader, including a deposed one.
        for (const member_id id : m_cluster.ids()) {
            if (m_cluster.is_up(id) && m_cluster.at(id)->consensus().role() == raft::role::leader) {
                m_cluster.propose(id);
            }
        }
    }
}

void raft_schedule::inject_fault()
{
    switch (pick(10)) {
    case 0:
    case 1:
        return crash_random_member();
    case 2:
    case 3:
        return restart_random_members();
    case 4:
        return partition_random_member();
    case 5:
        return pause_leader();
    case 6:
        return change_members();
    case 7:
        return pick(2) == 0 ? lose_disk() : flip_byte();
    case 8:
        m_cluster.heal_links();
        return;
    default:
        if (raft::replica* leader = m_cluster.at(m_cluster.leader())) {
            static_cast<void>(leader->transfer_leadership(m_cluster.now()));
        }
        return;
    }
}

void raft_schedule::crash_random_member()
{
    const member_id id = pick(2) == 0 && m_cluster.leader() != 0 ? m_cluster.leader() : pick_member();
    const crash_kind kind = pick(3) == 0 ? crash_kind::process : crash_kind::power;
    if (!m_cluster.is_up(id)) {
        return;
    }
    ++m_counts.crashes;
    m_cluster.crash_after(id, static_cast<unsigned>(pick(25)), kind);
}

void raft_schedule::restart_random_members()
{
    for (const member_id id : m_cluster.ids()) {
        m_cluster.resume(id);
        if (pick(3) != 0 && !m_damaged.contains(id) && !m_cluster.restart(id)) {
            m_cluster.checker().report_violation("start", "member " + std::to_string(id) + ": " +
                                                              m_cluster.open_error());
        }
    }
}

void raft_schedule::partition_random_member()
{
    const member_id isolated = pick_member();
    const std::size_t direction = pick(3);
    for (const member_id other : m_cluster.ids()) {
        if (direction != 1) {
            m_cluster.block_link(isolated, other);
        }
        if (direction != 2) {
            m_cluster.block_link(other, isolated);
        }
    }
}

void raft_schedule::pause_leader()
{
    if (const member_id id = m_cluster.leader()) {
        ++m_counts.pauses;
        m_cluster.pause(id);
        m_cluster.run(milliseconds(100 + pick(1500)));
        m_cluster.resume(id);
    }
}

void raft_schedule::change_members()
{
    const auto voters = committed_voters();
    if (voters.size() > 3 && m_lost == 0 && pick(2) == 0) {
        const member_id removed = voters[pick(voters.size())];
        m_counts.changes +=
            m_cluster.change(m_cluster.leader(), {raft::membership_change::kind::remove, removed, {}});
    } else if (!voters.empty() && voters.size() < 6) {
        add_member();
    }
}

void raft_schedule::add_member()
{
    const member_id id = m_next_id++;
    m_cluster.start_joining_member(id);
    apply_disk_defects(id);
    m_counts.changes += m_cluster.change(m_cluster.leader(), {raft::membership_change::kind::add, id, "new"});
}

void raft_schedule::mark_lost(member_id id)
{
    m_lost = id;
    m_replacement = 0;
}

// Loses at most one disk at a time, and only in a group of at least 3 voters, which tolerates the loss.
void raft_schedule::lose_disk()
{
    const auto voters = committed_voters();
    if (m_lost != 0 || voters.size() < 3) {
        return;
    }
    const member_id id = voters[pick(voters.size())];
    m_cluster.crash(id, crash_kind::power);
    m_cluster.lose_disk(id, m_defects.lost_disks_are_reinitialised);
    apply_disk_defects(id);
    if (!m_cluster.restart(id)) {
        m_cluster.checker().report_violation("start",
                                             "member " + std::to_string(id) + " with an empty folder");
    }
    ++m_counts.lost_disks;
    mark_lost(id);
}

void raft_schedule::flip_byte()
{
    const auto voters = committed_voters();
    if (m_lost != 0 || voters.size() < 3) {
        return;
    }
    const member_id id = voters[pick(voters.size())];
    m_cluster.crash(id, crash_kind::power);
    m_cluster.restart(id); // removes a record truncated by the crash
    m_cluster.crash(id, crash_kind::process);
    memory_disk& files = m_cluster.disk_of(id);
    std::vector<std::string> names;
    const std::string newest = "snapshot-" + std::to_string(newest_snapshot(files));
    const auto all = files.list().value();
    for (const std::string& name : all) {
        if (!name.ends_with(".tmp") && (!name.starts_with("snapshot-") || name == newest)) {
            names.push_back(name);
        }
    }
    if (names.empty()) {
        return; // possible only on a defective disk
    }
    const std::string name = names[pick(names.size())];
    const std::size_t size = files.read(name).value().size();
    if (size == 0) {
        return;
    }
    files.flip(name, pick(size));
    if (m_cluster.restart(id)) {
        m_cluster.checker().report_violation("undetected corruption",
                                             name + " of member " + std::to_string(id));
    }
    m_damaged.insert(id);
    ++m_counts.flipped;
    mark_lost(id);
}

// Performs the next repair step of an operator after the loss of a disk: remove the member, then add another
// one under a new id.
void raft_schedule::advance_repair()
{
    raft::replica* leader = m_cluster.at(m_cluster.leader());
    if (m_lost == 0 || leader == nullptr) {
        return;
    }
    const member_id via = m_cluster.leader();
    const raft::core& state = leader->consensus();
    if (state.membership().find(m_lost) != nullptr) {
        m_cluster.change(via, {raft::membership_change::kind::remove, m_lost, {}});
        return;
    }
    const bool listed = state.membership().find(m_replacement) != nullptr;
    if (m_replacement == 0 || (!listed && m_replacement <= state.membership().highest_id)) {
        m_replacement = m_next_id++;
        m_cluster.start_joining_member(m_replacement);
        apply_disk_defects(m_replacement);
    }
    if (!listed) {
        m_cluster.change(via, {raft::membership_change::kind::add, m_replacement, "replacement"});
        return;
    }
    const auto voters = committed_voters();
    if (std::find(voters.begin(), voters.end(), m_replacement) == voters.end()) {
        return;
    }
    ++m_counts.repairs;
    m_lost = 0;
    if (std::exchange(m_second_loss, false)) {
        ++m_counts.second_losses;
        lose_disk();
    }
}

bool raft_schedule::converged()
{
    const raft::replica* leader = m_cluster.at(m_cluster.leader());
    if (leader == nullptr) {
        return false;
    }
    const raft::core_status status = leader->consensus().status(m_cluster.now());
    return std::all_of(status.members.begin(), status.members.end(), [&](const raft::member_status& line) {
        const raft::replica* member = m_cluster.at(line.member.id);
        return member != nullptr && member->consensus().applied() == status.last;
    });
}

// Ends the faults and finishes the repair. The group must then elect a leader, commit an entry and bring all
// members up to date.
void raft_schedule::finish_run()
{
    m_cluster.heal_links();
    m_cluster.faults = {};
    for (const member_id id : m_cluster.ids()) {
        m_cluster.cancel_crash(id);
        m_cluster.resume(id);
        if (!m_damaged.contains(id) && !m_cluster.restart(id)) {
            m_cluster.checker().report_violation("start", "member " + std::to_string(id) + ": " +
                                                              m_cluster.open_error());
        }
    }
    finish_repair();
    const auto progressed = [&] { return m_cluster.leader() != 0 && m_cluster.propose(m_cluster.leader()); };
    if (!m_cluster.run_until(progressed, milliseconds(6000)) ||
        !m_cluster.run_until([&] { return converged(); }, milliseconds(6000))) {
        m_cluster.checker().report_violation("no progress", "after the faults ended");
        return;
    }
    for (const raft::member& line : m_cluster.at(m_cluster.leader())->consensus().membership().members) {
        m_cluster.checker().check_acknowledged_applied(line.id, m_cluster.at(line.id)->consensus().applied());
    }
    if (m_cluster.reported_count() != m_cluster.accepted_count()) {
        m_cluster.checker().report_violation("unreported proposal",
                                             "the outcome of an accepted proposal was not reported");
    }
}

void raft_schedule::finish_repair()
{
    for (int i = 0; i < 100 && m_lost != 0; ++i) {
        advance_repair();
        m_cluster.run(milliseconds(100));
    }
    if (m_lost != 0) {
        m_cluster.checker().report_violation("no progress", "the lost member could not be replaced");
    }
}

} // namespace verbena::test
