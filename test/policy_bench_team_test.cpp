#include "bench/policy_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::bench;

// A separate suite, so that a missed target can be listed in KNOWN-RED.txt without the other scenarios.
BOOST_AUTO_TEST_SUITE(policy_bench_team)

// Guards against a team that exceeds its share and thereby slows down the other teams.
BOOST_AUTO_TEST_CASE(teams_within_their_share_meet_their_targets)
{
    const scenario_size small_size{.seed = 7, .length = std::chrono::seconds(120), .endpoints = 20};
    for (const figure& value : team_over_share(design_setup(), small_size)) {
        BOOST_TEST_CONTEXT(value.name << " is " << value.value << ", bound " << value.bound)
        {
            BOOST_TEST(value.met());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
