#include "keys_model.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;

namespace {

constexpr std::uint64_t schedules = 5'000;
constexpr int steps = 250;

// First violation of a schedule; empty when there is none.
std::string run_schedule(std::uint64_t seed, model_defect defect, model_counts& total)
{
    keys_model model(seed, defect);
    for (int i = 0; i < steps && model.violation().empty(); ++i) {
        model.step();
    }
    const model_counts& counts = model.counts();
    total.runs += counts.runs;
    total.rebinds += counts.rebinds;
    total.told_done += counts.told_done;
    total.told_not_run += counts.told_not_run;
    total.told_unknown += counts.told_unknown;
    total.duplicates += counts.duplicates;
    total.expired += counts.expired;
    total.restarts += counts.restarts;
    return model.violation();
}

std::uint64_t count_violations(model_defect defect)
{
    std::uint64_t violations = 0;
    model_counts total;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        violations += run_schedule(seed, defect, total).empty() ? 0 : 1;
    }
    BOOST_TEST_MESSAGE(violations << " of " << schedules << " schedules violate an invariant");
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys_model)

// Guards against a booking that runs twice, and against "not run" for a booking that ran, under crashes,
// restarts, late and repeated messages and expiry.
BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_and_not_run_is_true)
{
    model_counts total;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const std::string violation = run_schedule(seed, model_defect::none, total);
        BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE("runs " << total.runs << ", rebinds " << total.rebinds << ", done " << total.told_done
                               << ", not run " << total.told_not_run << ", unknown " << total.told_unknown
                               << ", duplicates " << total.duplicates << ", expired " << total.expired
                               << ", restarts " << total.restarts);
    // The schedules must reach each of the cases that the invariants are about.
    for (const int count : {total.runs, total.rebinds, total.told_done, total.told_not_run,
                            total.told_unknown, total.duplicates, total.expired, total.restarts}) {
        BOOST_TEST(count > 500);
    }
}

// The checker has to find each defect, otherwise the test above shows nothing.
BOOST_AUTO_TEST_CASE(defective_agents_and_entries_are_found)
{
    BOOST_TEST(count_violations(model_defect::agent_forgets_closed) > 0U);
    BOOST_TEST(count_violations(model_defect::agent_ignores_incarnation) > 0U);
    BOOST_TEST(count_violations(model_defect::agent_memory_too_short) > 0U);
    BOOST_TEST(count_violations(model_defect::entry_skips_confirmation) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
