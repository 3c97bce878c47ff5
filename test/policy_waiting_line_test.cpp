#include "policy/prefill_order.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

policy::waiting_prompt prompt(std::uint64_t number, milliseconds due, double prefill_ms, double value = 10)
{
    return {{1, number}, at(due), prefill_ms, value};
}

std::vector<std::uint64_t> served_order(std::vector<policy::waiting_prompt> waiting, double first_free_ms = 0)
{
    std::vector<std::uint64_t> numbers;
    for (const policy::work_key& key :
         policy::serving_order(std::move(waiting), 10, first_free_ms, at(0ms))) {
        numbers.push_back(key.number);
    }
    return numbers;
}

using numbers = std::vector<std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(policy_waiting_line)

// Without overload, prompts are served in the order of their deadlines.
BOOST_AUTO_TEST_CASE(serves_the_earliest_due_first)
{
    BOOST_TEST(served_order({prompt(1, 900ms, 500), prompt(2, 300ms, 500), prompt(3, 600ms, 500)}) ==
                   (numbers{2, 3, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(served_order({}).empty());
}

// Guards against an overload in which every prompt is a little late: the one with the least value per prefill
// time is deferred, so that all others are in time.
BOOST_AUTO_TEST_CASE(defers_the_prompt_with_the_least_value_per_prefill_time)
{
    const std::vector<policy::waiting_prompt> waiting{prompt(1, 200ms, 1'800), prompt(2, 250ms, 1'000),
                                                      prompt(3, 300ms, 1'500)};
    BOOST_TEST(served_order(waiting) == (numbers{2, 3, 1}), boost::test_tools::per_element());
    std::vector<policy::waiting_prompt> valued = waiting;
    valued[0].value = 100;
    BOOST_TEST(served_order(valued) == (numbers{1, 2, 3}), boost::test_tools::per_element());
}

// Prompts that are already late go after those that can still be in time, in the order of their deadlines.
BOOST_AUTO_TEST_CASE(serves_late_prompts_last)
{
    BOOST_TEST(served_order({prompt(1, -200ms, 100), prompt(2, -300ms, 100), prompt(3, 300ms, 1'000)}) ==
                   (numbers{3, 2, 1}),
               boost::test_tools::per_element());
}

// The time until the endpoints are free reduces the time left to the waiting prompts.
BOOST_AUTO_TEST_CASE(counts_the_time_until_endpoints_are_free)
{
    const std::vector<policy::waiting_prompt> waiting{prompt(1, 200ms, 1'500, 10), prompt(2, 250ms, 400, 10)};
    BOOST_TEST(served_order(waiting) == (numbers{1, 2}), boost::test_tools::per_element());
    BOOST_TEST(served_order(waiting, 100) == (numbers{2, 1}), boost::test_tools::per_element());
}

// Load: many prompts wait at a large fleet. Prompts go in parallel while endpoints are left over; if only the
// first one might go at a time, the others would wait beside idle endpoints.
BOOST_AUTO_TEST_CASE(counts_the_endpoints_used_by_prompts_that_go_first)
{
    std::vector<policy::waiting_prompt> waiting;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        waiting.push_back(prompt(number, milliseconds(1'000 + 100 * number), 90));
    }
    BOOST_TEST(policy::parts_before(waiting, {1, 1}, 50, 0, at(0ms)) == 0U);
    BOOST_TEST(policy::parts_before(waiting, {1, 3}, 50, 0, at(0ms)) == 12U);
    // A prompt has at most 17 parts, and at least one.
    waiting = {prompt(1, 1'000ms, 100'000), prompt(2, 2'000ms, 1), prompt(3, 3'000ms, 1)};
    BOOST_TEST(policy::parts_before(waiting, {1, 3}, 1e9, 0, at(0ms)) == 18U);
}

BOOST_AUTO_TEST_SUITE_END()
