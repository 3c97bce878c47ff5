#include "policy/team_shares.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(policy_team_shares)

// Guards against a team that gets more than its share by sending more.
BOOST_AUTO_TEST_CASE(a_team_at_twice_its_share_is_detected)
{
    policy::team_shares shares;
    for (int i = 0; i < 600; ++i) {
        shares.record("large", 40'000, at(seconds(i)));
        for (const char* team : {"a", "b", "c"}) {
            shares.record(team, 10'000, at(seconds(i)));
        }
    }
    BOOST_TEST(shares.over_share("large", at(seconds(600))));
    BOOST_TEST(!shares.over_share("a", at(seconds(600))));
}

// Guards against weights that are ignored.
BOOST_AUTO_TEST_CASE(a_team_with_a_larger_weight_may_send_more)
{
    policy::team_shares shares;
    shares.set_weight("large", 4);
    for (int i = 0; i < 600; ++i) {
        shares.record("large", 40'000, at(seconds(i)));
        shares.record("a", 10'000, at(seconds(i)));
    }
    BOOST_TEST(!shares.over_share("large", at(seconds(600))));
}

// Guards against demoting a team although no other team needs the capacity.
BOOST_AUTO_TEST_CASE(a_team_alone_is_never_over_its_share)
{
    policy::team_shares shares;
    for (int i = 0; i < 600; ++i) {
        BOOST_TEST_REQUIRE(!shares.record("a", 500'000, at(seconds(i))));
    }
}

// Guards against a team that still counts as over its share after its rate has dropped below it.
BOOST_AUTO_TEST_CASE(past_work_decays)
{
    policy::team_shares shares;
    for (int i = 0; i < 1'800; ++i) {
        shares.record("large", i < 600 ? 40'000 : 5'000, at(seconds(i)));
        for (const char* team : {"a", "b", "c"}) {
            shares.record(team, 10'000, at(seconds(i)));
        }
    }
    BOOST_TEST(!shares.over_share("large", at(seconds(1'800))));
}

// Guards against all teams being over their share at once, and against state that grows with every team name
// seen.
BOOST_AUTO_TEST_CASE(random_steps_never_mark_all_teams_and_remove_idle_ones)
{
    random_engine random(18);
    policy::team_shares shares;
    for (int i = 0; i < 20'000; ++i) {
        const auto now = at(milliseconds(i * 200));
        shares.record("t" + std::to_string(below(random, 6)), static_cast<double>(below(random, 100'000)),
                      now);
        shares.record("once" + std::to_string(i), 1, now);
        int over = 0;
        for (int team = 0; team < 6; ++team) {
            over += shares.over_share("t" + std::to_string(team), now) ? 1 : 0;
        }
        BOOST_TEST_REQUIRE(over < 6);
    }
    BOOST_TEST(shares.tracked() < 5'000U);
}

BOOST_AUTO_TEST_SUITE_END()
