#include "raft_schedule.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

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

// Reads a number from an environment variable. VERBENA_RAFT_SEED and VERBENA_RAFT_COUNT select other seeds
// for longer manual runs.
std::uint64_t setting(const char* name, std::uint64_t standard)
{
    const char* text = std::getenv(name);
    return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_schedule)

// Guards against violations of the guarantees of the replicated log under random sequences of crashes,
// partitions, leader pauses, corrupted and lost disks and membership changes. Prints each failing seed.
BOOST_AUTO_TEST_CASE(no_guarantee_breaks_under_seeded_faults)
{
    const std::uint64_t first = setting("VERBENA_RAFT_SEED", 1);
    const std::uint64_t count = setting("VERBENA_RAFT_COUNT", schedule_count);
    schedule_counts total;
    int failures = 0;
    for (std::uint64_t seed = first; seed < first + count && failures < 5; ++seed) {
        test::raft_schedule schedule(seed);
        const auto violations = schedule.run();
        for (const std::string& line : violations) {
            BOOST_ERROR("seed " << seed << ": " << line);
        }
        failures += violations.empty() ? 0 : 1;
        total.add(schedule.counts());
    }
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
