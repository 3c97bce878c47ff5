#include "membership_schedule.h"
#include "raft_cluster_checks.h"
#include "schedule_seeds.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using verbena::test::crash_kind;
using verbena::test::membership_counts;
using verbena::test::membership_group;
using verbena::test::require_no_violations;

namespace {

// A step takes about 40 times as long in the unoptimised build with sanitizers.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t schedule_count = 60;
#else
constexpr std::uint64_t schedule_count = 600;
#endif

// Time after its start from which the users count a new machine as ready, and the time in which service has
// to return after the last fault.
constexpr milliseconds catch_up{4'000};
constexpr milliseconds recovery{12'000};

// A planned replacement, then the loss of as many disks as the group has to tolerate.
struct replacement {
    std::size_t tolerated_losses;
    bool leader_is_replaced;
    bool leader_loses_its_disk; // the leader after the replaced member has gone
    milliseconds stopped_after; // the start of the successor
    milliseconds lost_after;    // the start of the successor
};

std::size_t pick_machine(membership_group& group, bool leads, const std::set<std::size_t>& others)
{
    for (const std::size_t index : group.machines()) {
        const bool leading = group.leader() == index;
        if (leading == leads && !others.contains(index)) {
            return index;
        }
    }
    return group.machines().front();
}

void play(const replacement& plan, std::uint64_t seed)
{
    membership_group group(seed, 2 * plan.tolerated_losses + 1, plan.tolerated_losses);
    BOOST_TEST_REQUIRE(group.run_until([&] { return group.works(); }, recovery));
    const std::size_t old = pick_machine(group, plan.leader_is_replaced, {});
    const std::size_t successor = group.add_machine();
    group.run(plan.stopped_after);
    BOOST_TEST_REQUIRE(group.votes(successor));
    group.remove_machine(old);
    group.run(plan.lost_after - plan.stopped_after);
    std::set<std::size_t> lost;
    while (lost.size() < plan.tolerated_losses) {
        std::set<std::size_t> spared = lost;
        spared.insert(successor);
        const std::size_t index = pick_machine(group, plan.leader_loses_its_disk && lost.empty(), spared);
        group.lose_disk(index);
        lost.insert(index);
    }
    group.run(milliseconds(700));
    for (const std::size_t index : lost) {
        group.start(index);
    }
    BOOST_TEST(group.run_until([&] { return group.works(); }, recovery));
    const auto whole = [&] { return group.voters() == 2 * plan.tolerated_losses + 1 && group.works(); };
    BOOST_TEST(group.run_until(whole, recovery));
    require_no_violations(group.cluster());
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_schedule)

// Guards against a group that never has a leader again because disks were lost before a replaced member had
// been removed.
BOOST_AUTO_TEST_CASE(disks_may_be_lost_at_any_time_after_a_planned_replacement)
{
    constexpr std::array<std::pair<int, int>, 7> times{
        {{2000, 4000}, {2000, 4150}, {4000, 4000}, {4500, 4600}, {4500, 5000}, {4500, 6500}, {4500, 8500}}};
    for (const std::size_t losses : {1, 2}) {
        for (const int variant : {0, 1, 2, 3}) {
            for (const auto& [stopped, lost] : times) {
                const replacement plan{losses, (variant & 1) != 0, (variant & 2) != 0, milliseconds(stopped),
                                       milliseconds(lost)};
                BOOST_TEST_CONTEXT(losses << " losses, variant " << variant << ", " << stopped << " ms, "
                                          << lost << " ms")
                {
                    play(plan, 100 + static_cast<std::uint64_t>(variant));
                }
            }
        }
    }
}

// Guards against the removal of a sound voter because of a join request from before it had joined.
BOOST_AUTO_TEST_CASE(a_late_join_request_removes_no_sound_voter)
{
    membership_group group(7, 3, 1);
    BOOST_TEST_REQUIRE(group.run_until([&] { return group.works(); }, recovery));
    const std::size_t index = pick_machine(group, false, {});
    group.lose_disk(index);
    group.start(index);
    group.late_messages = 50;
    BOOST_TEST_REQUIRE(group.run_until([&] { return group.votes(index); }, recovery));
    const std::size_t late_before = group.counts().late_requests;
    group.late_messages = 0;
    for (int i = 0; i < 350; ++i) {
        group.run(milliseconds(20));
        BOOST_TEST_REQUIRE(group.votes(index));
    }
    BOOST_TEST(group.counts().late_requests > late_before);
    require_no_violations(group.cluster());
}

// Guards against two processes with the same member id: a leader that is cut off must not give away the id of
// a member that it has added and that is not committed, as the next leader gives the same id to another
// process.
BOOST_AUTO_TEST_CASE(a_process_gets_the_id_of_a_committed_member_only)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        membership_group group(seed, 3, 1);
        BOOST_TEST_REQUIRE(group.run_until([&] { return group.works(); }, recovery));
        const std::size_t leader = *group.leader();
        const std::size_t first = group.add_machine();
        group.split({leader, first});
        group.run(milliseconds(600));
        const std::size_t second = group.add_machine();
        BOOST_TEST_REQUIRE(group.run_until([&] { return group.votes(second); }, recovery));
        group.split({});
        BOOST_TEST(group.run_until([&] { return group.votes(first); }, recovery));
        require_no_violations(group.cluster());
    }
}

// Guards against a silent voter that stays for another timeout because its removal was tried while its
// successor was being promoted, when no further change was possible.
BOOST_AUTO_TEST_CASE(a_silent_voter_is_removed_as_soon_as_its_successor_votes)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        membership_group group(seed, 3, 1);
        BOOST_TEST_REQUIRE(group.run_until([&] { return group.works(); }, recovery));
        group.remove_machine(pick_machine(group, false, {}));
        group.run(catch_up);
        BOOST_TEST_REQUIRE(group.voters() == 3U);
        const std::size_t successor = group.add_machine();
        BOOST_TEST_REQUIRE(group.run_until([&] { return group.votes(successor); }, recovery));
        BOOST_TEST(group.run_until([&] { return group.voters() == 3; }, milliseconds(500)));
        require_no_violations(group.cluster());
    }
}

// Guards against two leaders in a term, lost acknowledgements and a group that does not recover, under random
// sequences of replacements, lost disks, power losses, splits and freezes within the tolerated losses. Prints
// each failing seed.
BOOST_AUTO_TEST_CASE(the_group_survives_all_tolerated_losses)
{
    const auto [count, total] =
        test::run_schedules<test::membership_schedule, membership_counts>(schedule_count);
    BOOST_TEST_MESSAGE(count << " schedules, " << total.planned << " planned and " << total.sudden
                             << " sudden replacements, " << total.lost_disks << " lost disks, "
                             << total.at_the_end_of_a_member << " at the end of a member, "
                             << total.late_requests << " late requests, " << total.splits << " splits, "
                             << total.freezes << " freezes, " << total.power_losses << " power losses, "
                             << total.reduced << " known losses, " << total.acknowledged << " acknowledged");
    // Guards against schedules that pass only because they no longer exercise the faults.
    for (const std::size_t part :
         {total.planned, total.sudden, total.lost_disks, total.at_the_end_of_a_member, total.late_requests,
          total.splits, total.freezes, total.power_losses, total.reduced, total.acknowledged}) {
        BOOST_TEST(part >= count / 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
