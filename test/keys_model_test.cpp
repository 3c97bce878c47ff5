#include "keys_model.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;

namespace {

constexpr std::uint64_t schedule_count = 5'000;
constexpr int steps_per_schedule = 250;

// First violation of a schedule; empty when there is none.
std::string run_schedule(std::uint64_t seed, model_defect defect, model_counts& total)
{
    keys_model model(seed, defect);
    for (int i = 0; i < steps_per_schedule && model.violation().empty(); ++i) {
        model.step();
    }
    const model_counts& counts = model.counts();
    total.runs += counts.runs;
    total.rebinds += counts.rebinds;
    total.reported_done += counts.reported_done;
    total.reported_not_run += counts.reported_not_run;
    total.reported_unknown += counts.reported_unknown;
    total.duplicates += counts.duplicates;
    total.expired += counts.expired;
    total.restarts += counts.restarts;
    return model.violation();
}

std::uint64_t count_violations(model_defect defect)
{
    std::uint64_t violations = 0;
    model_counts total;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        violations += run_schedule(seed, defect, total).empty() ? 0 : 1;
    }
    BOOST_TEST_MESSAGE(violations << " of " << schedule_count << " schedules violate an invariant");
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys_model)

// Guards against a keyed request that runs twice, and against the report "not run" for one that ran, under
// crashes, restarts, late and duplicated messages, and expiry.
BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_and_not_run_is_never_false)
{
    model_counts total;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        const std::string violation = run_schedule(seed, model_defect::none, total);
        BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE("runs " << total.runs << ", rebinds " << total.rebinds << ", done "
                               << total.reported_done << ", not run " << total.reported_not_run
                               << ", unknown " << total.reported_unknown << ", duplicates "
                               << total.duplicates << ", expired " << total.expired << ", restarts "
                               << total.restarts);
    // The schedules must reach each of the cases that the invariants cover.
    for (const int count : {total.runs, total.rebinds, total.reported_done, total.reported_not_run,
                            total.reported_unknown, total.duplicates, total.expired, total.restarts}) {
        BOOST_TEST(count > 500);
    }
}

// The checker must detect each injected defect, otherwise the test above proves nothing.
BOOST_AUTO_TEST_CASE(injected_defects_are_detected)
{
    BOOST_TEST(count_violations(model_defect::agent_drops_closed_attempts) > 0U);
    BOOST_TEST(count_violations(model_defect::agent_ignores_incarnation) > 0U);
    BOOST_TEST(count_violations(model_defect::agent_retention_too_short) > 0U);
    BOOST_TEST(count_violations(model_defect::entry_skips_confirmation) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
