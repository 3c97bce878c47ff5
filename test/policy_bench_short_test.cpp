#include "bench/policy_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::bench;

// A suite of its own, so that a missed target can be listed in KNOWN-RED.txt without the other scenarios.
BOOST_AUTO_TEST_SUITE(policy_bench_short)

// Guards against short requests that slow down beside long ones.
BOOST_AUTO_TEST_CASE(short_requests_beside_long_ones_keep_their_targets)
{
    const scenario_size small{.seed = 7, .length = std::chrono::seconds(120), .endpoints = 20};
    for (const figure& value : short_beside_long(design_setup(), small)) {
        BOOST_TEST_CONTEXT(value.name << " is " << value.value << ", bound " << value.bound)
        {
            BOOST_TEST(value.met());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
