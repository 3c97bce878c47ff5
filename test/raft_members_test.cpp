#include "raft_cluster_checks.h"

#include <algorithm>

using namespace verbena;
using namespace verbena::raft;
using verbena::test::crash_kind;
using verbena::test::raft_cluster;
using verbena::test::require_no_violations;
using verbena::test::wait_for_leader;

namespace {

constexpr auto add = membership_change::kind::add;
constexpr auto remove_member = membership_change::kind::remove;

bool is_voter(raft_cluster& cluster, member_id id)
{
    const core& state = cluster.at(cluster.leader())->consensus();
    const membership& committed = state.membership_at(state.commit_index());
    return committed.find(id) != nullptr && committed.find(id)->voter;
}

void propose_many(raft_cluster& cluster, int count)
{
    for (int i = 0; i < count; ++i) {
        BOOST_TEST_REQUIRE(cluster.propose(cluster.leader()));
        cluster.run(milliseconds(5));
    }
}

member_id follower_of(raft_cluster& cluster, member_id leader)
{
    const auto ids = cluster.ids();
    return *std::find_if(ids.begin(), ids.end(), [leader](member_id id) { return id != leader; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_members)

// Guards against a new member that counts as a voter before it holds the log. It receives the log as a
// snapshot in chunks.
BOOST_AUTO_TEST_CASE(a_new_member_catches_up_by_snapshot_and_becomes_a_voter)
{
    raft_cluster cluster(1, 3);
    std::size_t chunks = 0;
    cluster.on_send = [&](const message& content) {
        chunks += content.kind == message_kind::snapshot_chunk ? 1 : 0;
    };
    const member_id leader = wait_for_leader(cluster);
    propose_many(cluster, 100);
    cluster.start_joining_member(4);
    cluster.run(milliseconds(2000));
    BOOST_TEST(cluster.at(4)->consensus().term() == 0U);
    BOOST_TEST(cluster.change(leader, {add, 4, "d"}));
    BOOST_TEST(!is_voter(cluster, 4));
    BOOST_TEST(cluster.run_until([&] { return is_voter(cluster, 4); }, milliseconds(2000)));
    cluster.run(milliseconds(500));
    BOOST_TEST(chunks >= 2U);
    BOOST_TEST(cluster.machine_of(4).chain() == cluster.machine_of(leader).chain());
    require_no_violations(cluster);
}

// Guards against counting a learner that is down: the group of three must still commit with two members.
BOOST_AUTO_TEST_CASE(a_learner_that_does_not_answer_is_never_promoted)
{
    raft_cluster cluster(2, 3);
    const member_id leader = wait_for_leader(cluster);
    BOOST_TEST(cluster.change(leader, {add, 4, "d"}));
    cluster.run(milliseconds(3000));
    BOOST_TEST(!is_voter(cluster, 4));
    cluster.crash(follower_of(cluster, leader), crash_kind::power);
    const log_index before = cluster.checker().newest_commit();
    propose_many(cluster, 5);
    BOOST_TEST(cluster.checker().newest_commit() >= before + 5);
}

BOOST_AUTO_TEST_CASE(ids_are_never_used_twice)
{
    raft_cluster cluster(3, 3);
    const member_id leader = wait_for_leader(cluster);
    const member_id other = follower_of(cluster, leader);
    BOOST_TEST(!cluster.change(leader, {add, other, "x"}));
    BOOST_TEST(cluster.change(leader, {remove_member, other, {}}));
    cluster.run(milliseconds(500));
    BOOST_TEST(!cluster.change(leader, {add, other, "x"}));
    BOOST_TEST(!cluster.change(leader, {remove_member, other, {}}));
    BOOST_TEST(cluster.change(leader, {add, 4, "x"}));
}

// Guards against a removal that would leave no active quorum, and against a second change before the first is
// committed.
BOOST_AUTO_TEST_CASE(unsafe_changes_are_refused)
{
    raft_cluster cluster(4, 3);
    const member_id leader = wait_for_leader(cluster);
    BOOST_TEST(!cluster.change(leader, {remove_member, leader, {}}));
    const member_id down = follower_of(cluster, leader);
    cluster.crash(down, crash_kind::power);
    cluster.run(milliseconds(600));
    for (const member_id id : cluster.ids()) {
        if (id != leader && id != down) {
            BOOST_TEST(!cluster.change(leader, {remove_member, id, {}}));
        }
    }
    BOOST_TEST(cluster.change(leader, {add, 4, "x"}));
    BOOST_TEST(!cluster.change(leader, {add, 5, "x"}));
}

// Guards against a removed member that keeps running and forces elections.
BOOST_AUTO_TEST_CASE(a_removed_member_does_not_disturb_the_group)
{
    raft_cluster cluster(5, 4);
    const member_id leader = wait_for_leader(cluster);
    const member_id removed = follower_of(cluster, leader);
    BOOST_TEST(cluster.change(leader, {remove_member, removed, {}}));
    cluster.run(milliseconds(300));
    const term_number term = cluster.at(leader)->consensus().term();
    cluster.run(milliseconds(5000));
    BOOST_TEST(cluster.leader() == leader);
    BOOST_TEST(cluster.at(leader)->consensus().term() == term);
    BOOST_TEST(cluster.at(leader)->consensus().membership().members.size() == 3U);
}

// Guards against votes and acknowledgements of a member that lost its files. 1 of the 3 members returns with
// an empty data folder; while 1 of the other 2 is down, the group must not elect a leader or commit anything.
BOOST_AUTO_TEST_CASE(a_member_that_lost_its_disk_does_not_count)
{
    raft_cluster cluster(6, 3);
    const member_id leader = wait_for_leader(cluster);
    const member_id lost = follower_of(cluster, leader);
    cluster.crash(lost, crash_kind::power);
    cluster.lose_disk(lost);
    BOOST_TEST(cluster.restart(lost));
    propose_many(cluster, 50);
    BOOST_TEST(cluster.at(lost)->consensus().applied() == 0U);
    for (const member_id id : cluster.ids()) {
        if (id != leader && id != lost) {
            cluster.crash(id, crash_kind::power);
        }
    }
    cluster.run(milliseconds(1000));
    BOOST_TEST(cluster.leader() == 0U);
    const auto commit_before = cluster.checker().newest_commit();
    cluster.run(milliseconds(5000));
    BOOST_TEST(cluster.checker().newest_commit() == commit_before);
    require_no_violations(cluster);
}

// Guards against the loss of data when a second disk is lost right after the repair of the first.
BOOST_AUTO_TEST_CASE(a_second_disk_may_be_lost_after_the_repair)
{
    raft_cluster cluster(7, 3);
    wait_for_leader(cluster);
    member_id next = 4;
    for (int round = 0; round < 3; ++round) {
        propose_many(cluster, 30);
        const member_id leader = cluster.leader();
        const member_id lost = round == 1 ? leader
                               : cluster.at(leader)->consensus().membership().members.back().id == leader
                                   ? cluster.at(leader)->consensus().membership().members.front().id
                                   : cluster.at(leader)->consensus().membership().members.back().id;
        cluster.crash(lost, crash_kind::power);
        cluster.lose_disk(lost);
        BOOST_TEST(cluster.restart(lost));
        const auto removed = [&] {
            return cluster.leader() != 0 && cluster.change(cluster.leader(), {remove_member, lost, {}});
        };
        BOOST_TEST_REQUIRE(cluster.run_until(removed, milliseconds(5000)));
        cluster.start_joining_member(next);
        const auto added = [&] {
            return cluster.leader() != 0 && cluster.change(cluster.leader(), {add, next, "n"});
        };
        BOOST_TEST_REQUIRE(cluster.run_until(added, milliseconds(2000)));
        BOOST_TEST_REQUIRE(cluster.run_until([&] { return is_voter(cluster, next); }, milliseconds(2000)));
        ++next;
    }
    propose_many(cluster, 1);
    cluster.run(milliseconds(500));
    BOOST_TEST(cluster.checker().acknowledged_count() == 91U);
    cluster.checker().check_acknowledged_applied(cluster.leader(),
                                                 cluster.at(cluster.leader())->consensus().applied());
    require_no_violations(cluster);
}

// Guards against a group without a leader whose log lines don't say which votes are missing.
BOOST_AUTO_TEST_CASE(a_failed_election_names_the_missing_votes)
{
    raft_cluster cluster(13, 3);
    const member_id leader = wait_for_leader(cluster);
    for (const member_id id : cluster.ids()) {
        if (id != leader) {
            cluster.crash(id, crash_kind::power);
        }
    }
    cluster.run(milliseconds(3000));
    const auto failed = cluster.at(leader)->take_failed_election();
    BOOST_TEST_REQUIRE(failed.has_value());
    BOOST_TEST(failed->pre_vote);
    BOOST_TEST((failed->granted == std::vector<member_id>{leader}));
    BOOST_TEST(failed->denied.empty());
    BOOST_TEST(failed->unanswered.size() == 2U);
    BOOST_TEST(!cluster.at(leader)->take_failed_election().has_value());
}

BOOST_AUTO_TEST_CASE(a_leadership_transfer_takes_effect_at_once)
{
    raft_cluster cluster(8, 3);
    const member_id leader = wait_for_leader(cluster);
    propose_many(cluster, 10);
    BOOST_TEST(cluster.at(leader)->transfer_leadership(cluster.now()).has_value());
    BOOST_TEST(!cluster.propose(leader));
    const auto moved = [&] { return cluster.leader() != 0 && cluster.leader() != leader; };
    BOOST_TEST(cluster.run_until(moved, milliseconds(50)));
    BOOST_TEST(cluster.unknown_count() == 0U);
    require_no_violations(cluster);
}

// Guards against a leader that keeps refusing proposals after a failed leadership transfer.
BOOST_AUTO_TEST_CASE(a_failed_transfer_ends)
{
    raft_cluster cluster(9, 3);
    const member_id leader = wait_for_leader(cluster);
    cluster.intercept = [](message& content) { return content.kind != message_kind::transfer; };
    BOOST_TEST(cluster.at(leader)->transfer_leadership(cluster.now()).has_value());
    cluster.run(milliseconds(600));
    BOOST_TEST(cluster.leader() == leader);
    BOOST_TEST(cluster.propose(leader));
}

// Guards against a log in memory that grows without bound while a member is down.
BOOST_AUTO_TEST_CASE(the_log_in_memory_is_bounded_while_a_member_is_down)
{
    raft_cluster cluster(10, 3);
    const member_id leader = wait_for_leader(cluster);
    const member_id unreachable = follower_of(cluster, leader);
    cluster.crash(unreachable, crash_kind::power);
    propose_many(cluster, 300);
    const auto names = cluster.disk_of(leader).list().value();
    BOOST_TEST(std::count_if(names.begin(), names.end(),
                             [](const std::string& name) { return name.starts_with("snapshot-"); }) == 1);
    BOOST_TEST(cluster.at(leader)->consensus().held_entries() <= 60U);
    BOOST_TEST(cluster.restart(unreachable));
    const auto caught_up = [&] {
        return cluster.machine_of(unreachable).chain() == cluster.machine_of(leader).chain();
    };
    BOOST_TEST(cluster.run_until(caught_up, milliseconds(3000)));
    require_no_violations(cluster);
}

// Guards against messages that do not fit a frame, and against unbounded traffic to a member that does not
// answer.
BOOST_AUTO_TEST_CASE(messages_and_windows_are_bounded)
{
    options settings;
    settings.snapshot_after_bytes = 64 * 1024 * 1024;
    raft_cluster cluster(11, 3, settings);
    const member_id leader = wait_for_leader(cluster);
    const member_id unreachable = follower_of(cluster, leader);
    std::size_t sent_to_unreachable = 0;
    std::size_t largest = 0;
    cluster.on_send = [&](const message& content) {
        std::size_t size = 0;
        for (const entry& value : content.entries) {
            size += cost(value);
        }
        largest = std::max(largest, size);
        sent_to_unreachable += content.to == unreachable ? size : 0;
    };
    for (const member_id id : cluster.ids()) {
        cluster.block_link(unreachable, id);
    }
    for (int i = 0; i < 400; ++i) {
        bytes command(10'000, 1);
        BOOST_TEST_REQUIRE(cluster.at(leader)->propose(command, nullptr).has_value());
        BOOST_TEST_REQUIRE(cluster.at(leader)->flush(cluster.now()).has_value());
        cluster.run(milliseconds(1));
    }
    BOOST_TEST(largest <= settings.append_bytes);
    BOOST_TEST(sent_to_unreachable <= settings.inflight_bytes + 2 * settings.append_bytes);
}

// Guards against repeated retransmission of entries to a member that is down.
BOOST_AUTO_TEST_CASE(an_inactive_member_gets_heartbeats_only)
{
    raft_cluster cluster(12, 3, options{});
    const member_id leader = wait_for_leader(cluster);
    const member_id unreachable = follower_of(cluster, leader);
    cluster.crash(unreachable, crash_kind::power);
    BOOST_TEST(cluster.at(leader)->transfer_leadership(cluster.now()).has_value());
    const auto moved = [&] { return cluster.leader() != 0 && cluster.leader() != leader; };
    BOOST_TEST_REQUIRE(cluster.run_until(moved, milliseconds(1000)));
    propose_many(cluster, 50);
    cluster.run(milliseconds(700));
    std::size_t messages = 0;
    std::size_t entries = 0;
    cluster.on_send = [&](const message& content) {
        messages += content.to == unreachable ? 1 : 0;
        entries += content.to == unreachable ? content.entries.size() : 0;
    };
    cluster.run(milliseconds(2000));
    BOOST_TEST(messages >= 15U);
    BOOST_TEST(entries == 0U);
    BOOST_TEST_REQUIRE(cluster.restart(unreachable));
    const auto caught_up = [&] {
        return cluster.machine_of(unreachable).chain() == cluster.machine_of(cluster.leader()).chain();
    };
    BOOST_TEST(cluster.run_until(caught_up, milliseconds(500)));
    require_no_violations(cluster);
}

BOOST_AUTO_TEST_SUITE_END()
