#include "bench/policy_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::bench;

namespace {

constexpr scenario_size small_size{.seed = 7, .length = std::chrono::seconds(120), .endpoints = 20};

void check(const std::vector<figure>& figures)
{
    for (const figure& value : figures) {
        BOOST_TEST_CONTEXT(value.name << " is " << value.value << ", bound " << value.bound)
        {
            BOOST_TEST(value.met());
        }
    }
}

} // namespace

// The targets are defined in section 1.6 of the design.
BOOST_AUTO_TEST_SUITE(policy_bench)

// Guards against figures that differ between two runs with the same seed.
BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_figures)
{
    const auto first = plain_load(design_setup(), small_size);
    const auto second = plain_load(design_setup(), small_size);
    BOOST_TEST_REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        BOOST_TEST(first[i].value == second[i].value);
    }
}

// Guards against a model that cannot detect overload: without the limits the engines must miss targets.
BOOST_AUTO_TEST_CASE(the_baseline_without_limits_overloads_engines)
{
    bool missed = false;
    for (const figure& value : overload(all_setups().front(), small_size)) {
        missed = missed || !value.met();
    }
    BOOST_TEST(missed);
}

// Guards against lost or late answers under plain load.
BOOST_AUTO_TEST_CASE(plain_load_meets_its_targets)
{
    check(plain_load(design_setup(), small_size));
}

// Guards against starvation of long requests by short ones.
BOOST_AUTO_TEST_CASE(long_requests_keep_their_throughput_next_to_short_ones)
{
    // The scenario runs three times this length. Long answers take a minute, so most of them would still be
    // open at the end of a short run.
    const scenario_size longer_size{.seed = 7, .length = std::chrono::seconds(300), .endpoints = 20};
    check(long_beside_short(design_setup(), longer_size));
}

// Guards against engine failures and unanswered requests under load above the capacity.
BOOST_AUTO_TEST_CASE(overload_meets_its_targets)
{
    check(overload(design_setup(), small_size));
}

// Guards against lost requests, lost goodput and late dispatches when a failure domain is taken out and
// returns.
BOOST_AUTO_TEST_CASE(a_failure_domain_leaves_and_returns_within_the_targets)
{
    check(domain_out(design_setup(), small_size));
}

// Guards against full load on engines that become cold without notice.
BOOST_AUTO_TEST_CASE(endpoints_turning_cold_are_not_overloaded)
{
    check(turning_cold(design_setup(), small_size));
}

// Guards against decisions that are safe only with up-to-date load reports.
BOOST_AUTO_TEST_CASE(lagging_and_missing_reports_meet_the_targets)
{
    check(lagging_reports(design_setup(), small_size));
}

// Guards against slow readers that use buffer memory above the cap or slow down other callers.
BOOST_AUTO_TEST_CASE(slow_readers_stay_within_the_cap)
{
    check(slow_readers(design_setup(), small_size));
}

BOOST_AUTO_TEST_SUITE_END()
