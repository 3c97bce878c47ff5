#include "policy/team_limits.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace verbena;
using namespace verbena::test;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(policy_team_limits)

// Guards against one team that occupies all slots of an entry.
BOOST_AUTO_TEST_CASE(outstanding_requests_are_bounded_per_team)
{
    policy::team_limits limits;
    limits.set("a", {.outstanding = 2});
    BOOST_TEST(limits.admit("a", 10, at(seconds(1))).admitted());
    BOOST_TEST(limits.admit("a", 10, at(seconds(1))).admitted());
    const auto refused = limits.admit("a", 10, at(seconds(1)));
    BOOST_TEST((refused.verdict == policy::team_verdict::too_many_outstanding));
    BOOST_TEST((refused.retry_after > milliseconds(0)));
    BOOST_TEST(limits.admit("b", 10, at(seconds(1))).admitted());
    limits.release("a", 0, at(seconds(2)));
    BOOST_TEST(limits.admit("a", 10, at(seconds(2))).admitted());
}

// Guards against a Retry-After time at which the request would be refused again.
BOOST_AUTO_TEST_CASE(a_request_after_the_retry_time_is_admitted)
{
    policy::team_limits limits;
    limits.set("a", {.tokens_per_second = 1'000});
    BOOST_TEST(limits.admit("a", 6'000, at(seconds(1))).admitted());
    const auto refused = limits.admit("a", 10, at(seconds(1)));
    BOOST_TEST((refused.verdict == policy::team_verdict::too_many_tokens));
    BOOST_TEST(!limits.admit("a", 10, at(seconds(1)) + refused.retry_after - milliseconds(10)).admitted());
    BOOST_TEST(limits.admit("a", 10, at(seconds(1)) + refused.retry_after + milliseconds(1)).admitted());
}

// Guards against a rate limit under which large prompts are never admitted.
BOOST_AUTO_TEST_CASE(a_request_larger_than_a_second_of_tokens_is_possible)
{
    policy::team_limits limits;
    limits.set("a", {.tokens_per_second = 1'000});
    BOOST_TEST(limits.admit("a", 1'000'000, at(seconds(1))).admitted());
    limits.release("a", 999'000, at(seconds(1)));
    BOOST_TEST(limits.admit("a", 10, at(seconds(2))).admitted());
}

// Guards against a wrong count of outstanding requests and against a rate above the limit over a long run.
BOOST_AUTO_TEST_CASE(random_steps_keep_the_limits)
{
    random_engine random(15);
    policy::team_limits limits;
    limits.set_default({.outstanding = 5, .tokens_per_second = 2'000});
    std::map<std::string, std::uint32_t> held;
    std::map<std::string, std::uint64_t> tokens;
    std::int64_t now = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += static_cast<std::int64_t>(below(random, 20));
        const auto team = "t" + std::to_string(below(random, 5));
        if (below(random, 2) == 0) {
            const auto size = below(random, 3'000);
            if (limits.admit(team, size, at(milliseconds(now))).admitted()) {
                ++held[team];
                tokens[team] += size;
            }
        } else if (held[team] > 0) {
            limits.release(team, 0, at(milliseconds(now)));
            --held[team];
        }
        BOOST_TEST_REQUIRE(limits.outstanding(team) == held[team]);
        BOOST_TEST_REQUIRE(held[team] <= 5U);
        const double allowed = 2'000.0 * (static_cast<double>(now) / 1'000 + 1) + 3'000;
        BOOST_TEST_REQUIRE(static_cast<double>(tokens[team]) <= allowed);
    }
}

// Guards against state that grows with every team name seen.
BOOST_AUTO_TEST_CASE(idle_teams_are_removed)
{
    policy::team_limits limits;
    limits.set_default({.outstanding = 5, .tokens_per_second = 2'000});
    for (int i = 0; i < 1'000; ++i) {
        const auto team = "t" + std::to_string(i);
        BOOST_TEST(limits.admit(team, 10, at(seconds(i))).admitted());
        limits.release(team, 0, at(seconds(i)));
    }
    BOOST_TEST(limits.tracked() < 200U);
}

BOOST_AUTO_TEST_SUITE_END()
