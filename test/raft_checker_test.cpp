#include "raft_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using verbena::raft::message;
using verbena::raft::message_kind;
using verbena::test::schedule_defects;

// Each case breaks the simulated environment and requires that the checker notices, so that the schedules
// cannot pass because a check has stopped working.

namespace {

// Runs seeds until a violation of this kind turns up.
bool finds(const std::string& kind, const schedule_defects& defects)
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        test::raft_schedule schedule(seed, defects);
        for (const std::string& line : schedule.run()) {
            if (line.starts_with(kind)) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << line);
                return true;
            }
        }
    }
    return false;
}

bool drop_vote_replies(message& content)
{
    return content.kind != message_kind::vote_reply;
}

bool grant_refused_votes(message& content)
{
    if (content.kind == message_kind::vote_reply) {
        content.reject = false;
    }
    return true;
}

bool change_commands(message& content)
{
    for (raft::entry& value : content.entries) {
        if (value.kind == raft::entry_kind::command && value.index % 20 == 0) {
            value.data[0] ^= 1U;
        }
    }
    return true;
}

bool hide_commands(message& content)
{
    for (raft::entry& value : content.entries) {
        if (value.kind == raft::entry_kind::command && value.index % 20 == 0) {
            value.kind = raft::entry_kind::no_op;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_checker)

BOOST_AUTO_TEST_CASE(two_leaders_are_found_when_refused_votes_arrive_as_granted)
{
    schedule_defects defects;
    defects.tamper = grant_refused_votes;
    BOOST_TEST(finds("two leaders", defects));
}

BOOST_AUTO_TEST_CASE(lost_acknowledgements_are_found_when_disks_ignore_sync)
{
    schedule_defects defects;
    defects.disks_ignore_sync = true;
    BOOST_TEST(finds("lost acknowledgement", defects));
}

BOOST_AUTO_TEST_CASE(replaced_entries_are_found_when_disks_ignore_sync)
{
    schedule_defects defects;
    defects.disks_ignore_sync = true;
    BOOST_TEST(finds("changed entry", defects));
}

BOOST_AUTO_TEST_CASE(changed_entries_are_found_when_the_network_changes_them)
{
    schedule_defects defects;
    defects.tamper = change_commands;
    BOOST_TEST(finds("changed entry", defects));
}

BOOST_AUTO_TEST_CASE(skipped_entries_are_found_when_the_network_hides_them)
{
    schedule_defects defects;
    defects.tamper = hide_commands;
    BOOST_TEST(finds("state differs", defects));
}

// The network cuts the leader off and answers its heartbeats in the name of the others, which elect a new
// leader.
BOOST_AUTO_TEST_CASE(stale_confirmations_are_found_when_the_network_answers_for_members)
{
    test::raft_cluster cluster(1, 3);
    BOOST_TEST_REQUIRE(cluster.run_until([&] { return cluster.leader() != 0; }, milliseconds(5000)));
    const raft::member_id old = cluster.leader();
    cluster.run(milliseconds(500));
    cluster.tamper = [old](message& content) {
        if (content.from != old) {
            return content.to != old;
        }
        std::swap(content.from, content.to);
        content.kind = message_kind::append_reply;
        return true;
    };
    const auto replaced = [&] { return cluster.leader() != 0 && cluster.leader() != old; };
    BOOST_TEST_REQUIRE(cluster.run_until(replaced, milliseconds(5000)));
    cluster.run(milliseconds(200));
    BOOST_TEST(cluster.propose(cluster.leader()));
    cluster.run(milliseconds(500));
    BOOST_TEST(cluster.checker().has("stale confirmation"));
}

BOOST_AUTO_TEST_CASE(votes_of_replaced_folders_are_found_when_they_are_initialised_again)
{
    schedule_defects defects;
    defects.lost_disks_are_reinitialised = true;
    BOOST_TEST(finds("forbidden vote", defects));
}

BOOST_AUTO_TEST_CASE(undetected_damage_is_found)
{
    schedule_defects defects;
    defects.disks_hide_flips = true;
    BOOST_TEST(finds("undetected damage", defects));
}

BOOST_AUTO_TEST_CASE(proposals_without_a_report_are_found)
{
    schedule_defects defects;
    defects.proposals_are_forgotten = true;
    BOOST_TEST(finds("silent proposal", defects));
}

BOOST_AUTO_TEST_CASE(a_group_that_stands_still_is_found)
{
    schedule_defects defects;
    defects.tamper = drop_vote_replies;
    BOOST_TEST(finds("no progress", defects));
}

BOOST_AUTO_TEST_SUITE_END()
