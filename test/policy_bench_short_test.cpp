#include "bench/policy_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::bench;

// A separate suite, so that a missed target can be listed in KNOWN-RED.txt without the other scenarios.
BOOST_AUTO_TEST_SUITE(policy_bench_short)

// Guards against short requests that are slowed down by long ones.
BOOST_AUTO_TEST_CASE(short_requests_next_to_long_ones_meet_their_targets)
{
    const scenario_size small_size{.seed = 7, .length = std::chrono::seconds(120), .endpoints = 20};
    for (const figure& value : short_beside_long(design_setup(), small_size)) {
        BOOST_TEST_CONTEXT(value.name << " is " << value.value << ", bound " << value.bound)
        {
            BOOST_TEST(value.met());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
