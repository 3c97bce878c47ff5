#include "policy/answer_times.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(policy_answer_times)

BOOST_AUTO_TEST_CASE(longest_recent_answer_of_a_route_counts)
{
    const time_point start = time_point{} + std::chrono::hours(1);
    policy::answer_times times;
    BOOST_TEST((times.longest("a", start) == 0ms));
    times.record("a", 300ms, start);
    times.record("a", 200ms, start + 1s);
    times.record("b", 900ms, start + 1s);
    BOOST_TEST((times.longest("a", start + 29s) == 300ms));
    times.record("a", 100ms, start + 31s);
    BOOST_TEST((times.longest("a", start + 59s) == 300ms));
    BOOST_TEST((times.longest("a", start + 61s) == 100ms));
    BOOST_TEST((times.longest("a", start + 200s) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
