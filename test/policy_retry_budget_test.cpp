#include "policy/retry_budget.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace verbena;
using namespace verbena::test;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(policy_retry_budget)

// Guards against a team with little traffic that can never retry.
BOOST_AUTO_TEST_CASE(three_retries_are_allowed_without_traffic)
{
    policy::retry_budget budget;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(budget.try_retry("a", "m", at(seconds(1))));
    }
    BOOST_TEST(!budget.try_retry("a", "m", at(seconds(1))));
    BOOST_TEST(budget.try_retry("a", "m", at(seconds(11))));
}

// Guards against retries that amplify an overload of a service.
BOOST_AUTO_TEST_CASE(a_tenth_of_the_requests_may_be_retried)
{
    policy::retry_budget budget;
    for (int i = 0; i < 200; ++i) {
        budget.record_request("a", "m", at(seconds(1)));
    }
    int allowed = 0;
    for (int i = 0; i < 200; ++i) {
        allowed += budget.try_retry("a", "m", at(seconds(2))) ? 1 : 0;
    }
    BOOST_TEST(allowed == 20);
}

// Guards against lost answers that are not retried because silent endpoints have used up the budget.
BOOST_AUTO_TEST_CASE(silent_attempts_leave_retries_for_lost_answers)
{
    policy::retry_budget budget;
    for (int i = 0; i < 200; ++i) {
        budget.record_request("a", "m", at(seconds(1)));
    }
    int silent = 0;
    int lost = 0;
    for (int i = 0; i < 50; ++i) {
        silent += budget.try_retry("a", "m", at(seconds(2)), policy::retry_cause::silent) ? 1 : 0;
    }
    for (int i = 0; i < 50; ++i) {
        lost += budget.try_retry("a", "m", at(seconds(2)), policy::retry_cause::lost) ? 1 : 0;
    }
    BOOST_TEST(silent == 10);
    BOOST_TEST(lost == 10);
    BOOST_TEST(!budget.try_retry("a", "m", at(seconds(2)), policy::retry_cause::silent));
}

// Guards against a team that exceeds its own budget by retrying at many services, and against many teams that
// together exceed the budget of one service.
BOOST_AUTO_TEST_CASE(team_and_service_budgets_both_apply)
{
    policy::retry_budget budget;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(budget.try_retry("a", "m" + std::to_string(i), at(seconds(1))));
    }
    BOOST_TEST(!budget.try_retry("a", "other", at(seconds(1))));
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(budget.try_retry("b" + std::to_string(i), "n", at(seconds(1))));
    }
    BOOST_TEST(!budget.try_retry("c", "n", at(seconds(1))));
}

// Guards against more retries than 10% of the requests (at least 3) in any 10 s, and against state that grows
// with the number of names seen.
BOOST_AUTO_TEST_CASE(random_steps_keep_the_bound_in_each_window)
{
    random_engine random(14);
    policy::retry_budget budget;
    std::deque<std::pair<std::int64_t, bool>> events; // second, retry
    std::int64_t now = 0;
    for (int i = 0; i < 30'000; ++i) {
        now += static_cast<std::int64_t>(below(random, 60));
        const auto second = now / 1'000;
        const auto name = "t" + std::to_string(i);
        while (!events.empty() && events.front().first <= second - 10) {
            events.pop_front();
        }
        const auto retries =
            std::count_if(events.begin(), events.end(), [](const auto& e) { return e.second; });
        const auto requests = static_cast<std::int64_t>(events.size()) - retries;
        const bool is_retry = below(random, 4) == 0;
        if (!is_retry) {
            budget.record_request(name, "m", at(milliseconds(now)));
        }
        const bool granted = is_retry && budget.try_retry(name, "m", at(milliseconds(now)));
        const bool within = retries < std::max<std::int64_t>(3, requests / 10);
        BOOST_TEST_REQUIRE((!is_retry || granted == within));
        if (!is_retry || granted) {
            events.emplace_back(second, is_retry);
        }
    }
    BOOST_TEST(budget.tracked() < 1'500U);
}

BOOST_AUTO_TEST_SUITE_END()
