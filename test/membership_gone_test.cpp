#include "membership_group.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using verbena::test::membership_group;

namespace {

// Time after its start from which the users count a new machine as ready, and the time in which service has
// to return after the last fault.
constexpr milliseconds catch_up{4'000};
constexpr milliseconds recovery{12'000};

} // namespace

BOOST_AUTO_TEST_SUITE(membership_gone)

// Guards against a group that never has a leader again because another machine ended for ever, without a
// word, before the member that a planned replacement had ended was removed.
BOOST_AUTO_TEST_CASE(a_machine_may_end_for_ever_right_after_a_planned_replacement)
{
    for (const milliseconds gap : {milliseconds(0), milliseconds(700), milliseconds(2'000)}) {
        BOOST_TEST_CONTEXT(gap.count() << " ms")
        {
            membership_group group(1, 3, 1);
            BOOST_TEST_REQUIRE(group.run_until([&] { return group.works(); }, recovery));
            group.add_machine();
            group.run(catch_up);
            group.remove_machine(0);
            group.run(gap);
            group.remove_machine(1);
            group.add_machine();
            BOOST_TEST(group.run_until([&] { return group.works(); }, recovery));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
