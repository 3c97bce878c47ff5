#include "policy/waiting_line.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

policy::waiting_prompt prompt(std::uint64_t number, milliseconds due, double read_ms, double value = 10)
{
    return {{1, number}, at(due), read_ms, value};
}

std::vector<std::uint64_t> order_of(std::vector<policy::waiting_prompt> waiting, double first_free_ms = 0)
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

// Without an overload the earliest due goes first.
BOOST_AUTO_TEST_CASE(serves_the_earliest_due_first)
{
    BOOST_TEST(order_of({prompt(1, 900ms, 500), prompt(2, 300ms, 500), prompt(3, 600ms, 500)}) ==
                   (numbers{2, 3, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(order_of({}).empty());
}

// Guards against an overload in which each prompt is late by a little: the one that costs most for its value
// stands back, and all others are in time.
BOOST_AUTO_TEST_CASE(puts_back_what_costs_most_for_its_value)
{
    const std::vector<policy::waiting_prompt> waiting{prompt(1, 200ms, 1'800), prompt(2, 250ms, 1'000),
                                                      prompt(3, 300ms, 1'500)};
    BOOST_TEST(order_of(waiting) == (numbers{2, 3, 1}), boost::test_tools::per_element());
    std::vector<policy::waiting_prompt> valued = waiting;
    valued[0].value = 100;
    BOOST_TEST(order_of(valued) == (numbers{1, 2, 3}), boost::test_tools::per_element());
}

// What is late already does not hold up what can still be in time, and keeps its own order.
BOOST_AUTO_TEST_CASE(serves_late_prompts_last)
{
    BOOST_TEST(order_of({prompt(1, -200ms, 100), prompt(2, -300ms, 100), prompt(3, 300ms, 1'000)}) ==
                   (numbers{3, 2, 1}),
               boost::test_tools::per_element());
}

// Endpoints that still read shorten the time that is left to those that wait.
BOOST_AUTO_TEST_CASE(counts_the_time_until_endpoints_are_free)
{
    const std::vector<policy::waiting_prompt> waiting{prompt(1, 200ms, 1'500, 10), prompt(2, 250ms, 400, 10)};
    BOOST_TEST(order_of(waiting) == (numbers{1, 2}), boost::test_tools::per_element());
    BOOST_TEST(order_of(waiting, 100) == (numbers{2, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
