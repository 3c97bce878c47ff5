#include "policy/cold_limit.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;

namespace {

void succeed(policy::cold_limit& limit, int times, milliseconds service = milliseconds(1'000))
{
    for (int i = 0; i < times; ++i) {
        limit.record_success(service, 100);
    }
}

policy::cold_limit warmed(std::uint32_t warm)
{
    policy::cold_limit limit({.cold = 1, .warm = warm});
    limit.observe_incarnation(1);
    succeed(limit, static_cast<int>(warm) + 64);
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_cold_limit)

// Guards against full load on an engine that has just started.
BOOST_AUTO_TEST_CASE(the_limit_doubles_after_as_many_successes_as_it_allows)
{
    policy::cold_limit limit({.cold = 1, .warm = 16});
    for (const std::uint32_t expected : {1U, 2U, 4U, 8U}) {
        BOOST_TEST(limit.limit() == expected);
        succeed(limit, static_cast<int>(expected) - 1);
        BOOST_TEST(limit.limit() == expected);
        succeed(limit, 1);
    }
    BOOST_TEST(limit.limit() == 16U);
    BOOST_TEST(!limit.cold());
}

// Guards against full load on a restarted engine that the agent still considers warm.
BOOST_AUTO_TEST_CASE(a_new_incarnation_resets_the_limit_immediately)
{
    auto limit = warmed(16);
    BOOST_TEST((limit.observe_incarnation(1) == policy::cold_cause::none));
    BOOST_TEST((limit.observe_incarnation(2) == policy::cold_cause::new_incarnation));
    BOOST_TEST(limit.limit() == 1U);
    BOOST_TEST(!limit.allows(1));
}

// Guards against raising the limit while the engine still reports that it is cold.
BOOST_AUTO_TEST_CASE(a_cold_report_resets_and_holds_the_limit)
{
    auto limit = warmed(16);
    BOOST_TEST((limit.observe_report(true) == policy::cold_cause::reported_cold));
    succeed(limit, 20);
    BOOST_TEST(limit.limit() == 1U);
    BOOST_TEST((limit.observe_report(true) == policy::cold_cause::none));
    limit.observe_report(false);
    succeed(limit, 1);
    BOOST_TEST(limit.limit() == 2U);
}

// Guards against full load on an engine that becomes cold without reporting it.
BOOST_AUTO_TEST_CASE(service_time_above_four_times_the_warm_value_resets_the_limit)
{
    auto limit = warmed(16);
    succeed(limit, 10, milliseconds(3'900));
    BOOST_TEST(limit.limit() == 16U);
    limit = warmed(16);
    succeed(limit, 2, milliseconds(4'200));
    BOOST_TEST(limit.limit() == 1U);
}

// Guards against one slow request that resets the limit of a warm endpoint.
BOOST_AUTO_TEST_CASE(one_outlier_does_not_reset_the_limit)
{
    auto limit = warmed(16);
    succeed(limit, 1, milliseconds(60'000));
    BOOST_TEST(limit.limit() == 16U);
}

// Guards against a limit outside its bounds and against one that more than doubles in one step.
BOOST_AUTO_TEST_CASE(random_steps_keep_the_limit_within_its_bounds)
{
    random_engine random(13);
    policy::cold_limit limit({.cold = 2, .warm = 32});
    for (int i = 0; i < 20'000; ++i) {
        const auto before = limit.limit();
        const auto step = below(random, 40);
        auto cause = policy::cold_cause::none;
        if (step == 0) {
            cause = limit.observe_incarnation(below(random, 3));
        } else if (step == 1) {
            cause = limit.observe_report(below(random, 2) == 0);
        } else {
            cause = limit.record_success(milliseconds(100 + below(random, 1'000)), 100);
        }
        BOOST_TEST_REQUIRE(limit.limit() >= 2U);
        BOOST_TEST_REQUIRE(limit.limit() <= 32U);
        BOOST_TEST_REQUIRE(limit.limit() <= before * 2);
        const bool was_reset = cause != policy::cold_cause::none;
        BOOST_TEST_REQUIRE((!was_reset || limit.limit() == 2U));
    }
}

BOOST_AUTO_TEST_SUITE_END()
