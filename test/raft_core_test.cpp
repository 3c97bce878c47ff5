#include "raft_cluster_checks.h"

using namespace verbena;
using namespace verbena::raft;
using verbena::test::crash_kind;
using verbena::test::raft_cluster;
using verbena::test::require_no_violations;
using verbena::test::wait_for_leader;

namespace {

bool all_applied(raft_cluster& cluster, log_index index)
{
    for (const member_id id : cluster.ids()) {
        if (!cluster.is_up(id) || cluster.at(id)->consensus().applied() < index) {
            return false;
        }
    }
    return true;
}

member_id follower_of(raft_cluster& cluster, member_id leader)
{
    for (const member_id id : cluster.ids()) {
        if (id != leader) {
            return id;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_core)

BOOST_AUTO_TEST_CASE(a_group_elects_one_leader_and_commits)
{
    for (const std::size_t size : {1U, 2U, 3U, 5U}) {
        raft_cluster cluster(size, size);
        const member_id leader = wait_for_leader(cluster);
        for (int i = 0; i < 50; ++i) {
            BOOST_TEST(cluster.propose(leader));
        }
        const log_index last = cluster.at(leader)->consensus().status(cluster.now()).last;
        BOOST_TEST(cluster.run_until([&] { return all_applied(cluster, last); }, milliseconds(2000)));
        BOOST_TEST(cluster.checker().acknowledged_count() == 50U);
        for (const member_id id : cluster.ids()) {
            BOOST_TEST(cluster.machine_of(id).chain() == cluster.machine_of(leader).chain());
            BOOST_TEST(cluster.at(id)->consensus().leader() == leader);
        }
        require_no_violations(cluster);
    }
}

// Guards against a slow election after all members have restarted together: pre-vote requests sent before the
// connections are open are lost and must be repeated earlier than after another election timeout.
BOOST_AUTO_TEST_CASE(members_that_restart_together_elect_promptly)
{
    constexpr int groups = 40;
    const milliseconds connecting(520);
    milliseconds total{};
    for (int seed = 1; seed <= groups; ++seed) {
        raft_cluster cluster(static_cast<std::uint64_t>(seed), 3);
        wait_for_leader(cluster);
        for (const member_id id : cluster.ids()) {
            cluster.crash(id, crash_kind::power);
            for (const member_id other : cluster.ids()) {
                cluster.block_link(id, other);
            }
        }
        for (const member_id id : cluster.ids()) {
            BOOST_TEST_REQUIRE(cluster.restart(id));
        }
        cluster.run(connecting);
        cluster.heal_links();
        const time_point begin = cluster.now();
        wait_for_leader(cluster);
        total += std::chrono::duration_cast<milliseconds>(cluster.now() - begin);
    }
    BOOST_TEST(total.count() / groups < 200);
}

// Guards against needless elections in a healthy group: the term must not change while the members receive
// the leader's heartbeats.
BOOST_AUTO_TEST_CASE(a_healthy_leader_keeps_its_term)
{
    raft_cluster cluster(3, 3);
    const member_id leader = wait_for_leader(cluster);
    const term_number term = cluster.at(leader)->consensus().term();
    cluster.run(milliseconds(20'000));
    BOOST_TEST(cluster.leader() == leader);
    BOOST_TEST(cluster.at(leader)->consensus().term() == term);
}

// Guards against a member that forces an election when its partition heals; pre-votes prevent this.
BOOST_AUTO_TEST_CASE(a_returning_member_does_not_depose_the_leader)
{
    raft_cluster cluster(4, 3);
    const member_id leader = wait_for_leader(cluster);
    const term_number term = cluster.at(leader)->consensus().term();
    const member_id isolated = follower_of(cluster, leader);
    for (const member_id other : cluster.ids()) {
        cluster.block_link(isolated, other);
        cluster.block_link(other, isolated);
    }
    cluster.run(milliseconds(5000));
    cluster.heal_links();
    cluster.run(milliseconds(3000));
    BOOST_TEST(cluster.leader() == leader);
    BOOST_TEST(cluster.at(leader)->consensus().term() == term);
    require_no_violations(cluster);
}

// Guards against a leader that stays leader without a quorum, and against proposals whose outcome is never
// reported.
BOOST_AUTO_TEST_CASE(a_leader_without_quorum_steps_down_and_reports_unknown)
{
    raft_cluster cluster(5, 3);
    const member_id leader = wait_for_leader(cluster);
    for (const member_id other : cluster.ids()) {
        cluster.block_link(other, leader);
    }
    BOOST_TEST(cluster.propose(leader));
    const auto stepped_down = [&] { return cluster.at(leader)->consensus().role() != role::leader; };
    BOOST_TEST(cluster.run_until(stepped_down, milliseconds(700)));
    BOOST_TEST(cluster.unknown_count() == 1U);
    BOOST_TEST(!cluster.propose(leader));
    require_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(confirmations_come_from_a_quorum_and_are_recent)
{
    raft_cluster cluster(6, 3);
    const member_id leader = wait_for_leader(cluster);
    cluster.run(milliseconds(500));
    const auto age = cluster.at(leader)->consensus().confirm_age(cluster.now());
    BOOST_TEST_REQUIRE(age.has_value());
    BOOST_TEST(age->count() <= 130);
    BOOST_TEST(!cluster.at(follower_of(cluster, leader))->consensus().confirm_age(cluster.now()).has_value());
    BOOST_TEST(!cluster.at(leader)->consensus().confirm_age(cluster.now() + milliseconds(401)).has_value());
    for (const member_id other : cluster.ids()) {
        cluster.block_link(other, leader);
    }
    cluster.run(milliseconds(420));
    BOOST_TEST(!cluster.at(leader)->consensus().confirm_age(cluster.now()).has_value());
}

// Guards against one sync per proposal: a batch of proposals is synced and sent together.
BOOST_AUTO_TEST_CASE(a_batch_of_proposals_needs_one_sync)
{
    raft_cluster cluster(7, 3, options{});
    const member_id leader = wait_for_leader(cluster);
    cluster.run(milliseconds(50));
    const auto before = cluster.disk_of(leader).sync_count();
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST_REQUIRE(cluster.at(leader)->propose(bytes(8, 1), nullptr).has_value());
    }
    BOOST_TEST(cluster.at(leader)->flush(cluster.now()).has_value());
    BOOST_TEST(cluster.disk_of(leader).sync_count() == before + 1);
    cluster.run(milliseconds(200));
    BOOST_TEST(cluster.at(leader)->consensus().applied() >= 100U);
}

BOOST_AUTO_TEST_CASE(proposals_beyond_the_bounds_are_refused)
{
    options settings;
    settings.uncommitted_bytes = 10'000;
    raft_cluster cluster(8, 3, settings);
    const member_id leader = wait_for_leader(cluster);
    auto* member = cluster.at(leader);
    BOOST_TEST(
        (member->propose(bytes(settings.entry_bytes + 1), nullptr).error().kind == error_kind::too_large));
    BOOST_TEST(member->propose(bytes(20'000), nullptr).has_value());
    BOOST_TEST((member->propose(bytes(1), nullptr).error().kind == error_kind::overloaded));
    const auto refused = cluster.at(follower_of(cluster, leader))->propose(bytes(1), nullptr);
    BOOST_TEST((refused.error().kind == error_kind::not_leader));
}

BOOST_AUTO_TEST_SUITE_END()
