#include "policy/estimate.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using std::chrono::seconds;

namespace {

policy::service_sample sample(std::uint32_t prompt, std::uint32_t output, milliseconds prefill,
                              milliseconds decode)
{
    return {prompt, output, prefill, decode};
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_estimate)

// Guards against estimates that do not converge to the endpoint's actual speed.
BOOST_AUTO_TEST_CASE(values_converge_to_the_observed_rates)
{
    policy::service_estimator estimator;
    for (int i = 0; i < 200; ++i) {
        estimator.record(sample(4'000, 100, milliseconds(2'000), milliseconds(5'000)));
    }
    BOOST_TEST(estimator.prefill_tokens_per_second(length_class::short_prompt) == 2'000,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST((estimator.decode_time(length_class::short_prompt, 100) > milliseconds(4'900)));
    BOOST_TEST((estimator.prefill_time(2'000) > milliseconds(980)));
}

// Guards against one stalled request that distorts the estimate so much that feasible requests are refused.
BOOST_AUTO_TEST_CASE(one_outlier_has_bounded_weight)
{
    policy::service_estimator estimator;
    const auto before = estimator.prefill_time(4'000);
    estimator.record(sample(4'000, 100, seconds(600), seconds(600)));
    BOOST_TEST((estimator.prefill_time(4'000) < before * 14 / 10));
}

// Guards against long prompts that distort the estimates for short ones.
BOOST_AUTO_TEST_CASE(length_classes_learn_separately)
{
    policy::service_estimator estimator;
    const auto before = estimator.prefill_time(4'000);
    for (int i = 0; i < 50; ++i) {
        estimator.record(sample(500'000, 100, seconds(500), seconds(50)));
    }
    BOOST_TEST((estimator.prefill_time(4'000) == before));
}

// Guards against admitting a request that would wait past its deadline.
BOOST_AUTO_TEST_CASE(waiting_work_ahead_counts_against_the_deadline)
{
    policy::service_estimator estimator;
    for (int i = 0; i < 100; ++i) {
        estimator.record(sample(4'000, 100, milliseconds(500), milliseconds(2'500)));
    }
    const auto idle = estimator.estimate(4'000, 100, {});
    const auto busy = estimator.estimate(4'000, 100, {.prefill_tokens = 40'000, .waiting = 100, .limit = 10});
    const auto deadline = at(seconds(10));
    BOOST_TEST(estimator.meets(idle, at(milliseconds(0)), deadline));
    BOOST_TEST(!estimator.meets(busy, at(milliseconds(0)), deadline));
    BOOST_TEST((busy.queue > seconds(25)));
}

// Guards against estimates that become zero, negative or unbounded after random samples.
BOOST_AUTO_TEST_CASE(random_outcomes_keep_estimates_positive_and_monotone)
{
    random_engine random(11);
    policy::service_estimator estimator;
    for (int i = 0; i < 5'000; ++i) {
        const auto prompt = static_cast<std::uint32_t>(below(random, 1'000'000));
        const auto output = static_cast<std::uint32_t>(below(random, 4'000));
        estimator.record(sample(prompt, output, milliseconds(below(random, 100'000)),
                                milliseconds(below(random, 100'000))));
        BOOST_TEST_REQUIRE((estimator.prefill_time(1'000) > clock::duration::zero()));
        BOOST_TEST_REQUIRE((estimator.prefill_time(2'000) > estimator.prefill_time(1'000)));
        BOOST_TEST_REQUIRE((estimator.estimate(1'000'000, 4'000, {}).total() < std::chrono::hours(24 * 365)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
