#include "raft_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using verbena::raft::message;
using verbena::raft::message_kind;
using verbena::test::schedule_defects;

// Each case adds a defect to the simulated environment and requires that the checker reports it. This guards
// against randomised schedules that pass only because a check does not work.

namespace {

// Runs seeds until a violation of this kind is reported.
bool any_seed_reports(const std::string& kind, const schedule_defects& defects)
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

bool corrupt_commands(message& content)
{
    for (raft::entry& value : content.entries) {
        if (value.kind == raft::entry_kind::command && value.index % 20 == 0) {
            value.data[0] ^= 1U;
        }
    }
    return true;
}

bool replace_commands_with_no_ops(message& content)
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
    defects.intercept = grant_refused_votes;
    BOOST_TEST(any_seed_reports("two leaders", defects));
}

BOOST_AUTO_TEST_CASE(lost_acknowledgements_are_found_when_disks_ignore_sync)
{
    schedule_defects defects;
    defects.disks_ignore_sync = true;
    BOOST_TEST(any_seed_reports("lost acknowledgement", defects));
}

BOOST_AUTO_TEST_CASE(replaced_entries_are_found_when_disks_ignore_sync)
{
    schedule_defects defects;
    defects.disks_ignore_sync = true;
    BOOST_TEST(any_seed_reports("changed entry", defects));
}

BOOST_AUTO_TEST_CASE(changed_entries_are_found_when_the_network_changes_them)
{
    schedule_defects defects;
    defects.intercept = corrupt_commands;
    BOOST_TEST(any_seed_reports("changed entry", defects));
}

BOOST_AUTO_TEST_CASE(skipped_entries_are_found_when_the_network_hides_them)
{
    schedule_defects defects;
    defects.intercept = replace_commands_with_no_ops;
    BOOST_TEST(any_seed_reports("state differs", defects));
}

// The network isolates the leader and forges replies of the other members to its heartbeats, while they elect
// a new leader.
BOOST_AUTO_TEST_CASE(stale_confirmations_are_found_when_the_network_answers_for_members)
{
    test::raft_cluster cluster(1, 3);
    BOOST_TEST_REQUIRE(cluster.run_until([&] { return cluster.leader() != 0; }, milliseconds(5000)));
    const raft::member_id old = cluster.leader();
    cluster.run(milliseconds(500));
    cluster.intercept = [old](message& content) {
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

BOOST_AUTO_TEST_CASE(votes_of_replaced_folders_are_found_when_they_are_reinitialised)
{
    schedule_defects defects;
    defects.lost_disks_are_reinitialised = true;
    BOOST_TEST(any_seed_reports("forbidden vote", defects));
}

BOOST_AUTO_TEST_CASE(undetected_corruption_is_found)
{
    schedule_defects defects;
    defects.disks_ignore_flips = true;
    BOOST_TEST(any_seed_reports("undetected corruption", defects));
}

BOOST_AUTO_TEST_CASE(proposals_without_a_report_are_found)
{
    schedule_defects defects;
    defects.open_proposals_are_dropped = true;
    BOOST_TEST(any_seed_reports("unreported proposal", defects));
}

BOOST_AUTO_TEST_CASE(missing_progress_is_found)
{
    schedule_defects defects;
    defects.intercept = drop_vote_replies;
    BOOST_TEST(any_seed_reports("no progress", defects));
}

BOOST_AUTO_TEST_SUITE_END()
