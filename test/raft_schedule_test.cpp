#include "raft_schedule.h"
#include "schedule_seeds.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using verbena::test::schedule_counts;

namespace {

// Takes about 7 s in the normal build. A step takes about 40 times as long in the unoptimised build with
// sanitizers.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t schedule_count = 800;
#else
constexpr std::uint64_t schedule_count = 4000;
#endif

} // namespace

BOOST_AUTO_TEST_SUITE(raft_schedule)

// Guards against violations of the guarantees of the replicated log under random sequences of crashes,
// partitions, leader pauses, corrupted and lost disks and membership changes. Prints each failing seed.
BOOST_AUTO_TEST_CASE(no_guarantee_breaks_under_seeded_faults)
{
    const auto [count, total] = test::run_schedules<test::raft_schedule, schedule_counts>(schedule_count);
    BOOST_TEST_MESSAGE(total.schedules
                       << " schedules, " << total.steps << " steps, " << total.accepted << " proposals, "
                       << total.acknowledged << " acknowledged, " << total.unknown << " unknown, "
                       << total.confirmations << " confirmations, " << total.crashes << " crashes, "
                       << total.lost_disks << " lost disks, " << total.flipped << " flipped, "
                       << total.repairs << " repairs, " << total.second_losses << " second losses, "
                       << total.changes << " changes, " << total.snapshots << " folders with snapshots, "
                       << total.chunks << " chunks, " << total.pauses << " pauses");
    // Guards against schedules that pass only because they no longer exercise the faults.
    for (const std::size_t part : {total.acknowledged, total.unknown, total.confirmations, total.crashes,
                                   total.lost_disks, total.flipped, total.repairs, total.second_losses,
                                   total.changes, total.snapshots, total.chunks, total.pauses}) {
        BOOST_TEST(part >= count / 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
