#include "policy/buffer_account.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace verbena;
using namespace verbena::test;

namespace {

constexpr policy::buffer_caps small_caps{.stream = 4'000, .team = 10'000, .total = 16'000};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_buffers)

// Guards against slow callers whose buffered responses use up the memory of an entry.
BOOST_AUTO_TEST_CASE(team_and_total_caps_refuse_with_their_own_reason)
{
    policy::buffer_account account(small_caps);
    BOOST_TEST((account.reserve({1, 1}, "a", 500) == policy::buffer_verdict::reserved));
    BOOST_TEST((account.reserve({1, 2}, "a", 500) == policy::buffer_verdict::reserved));
    BOOST_TEST((account.reserve({1, 3}, "a", 500) == policy::buffer_verdict::team_full));
    BOOST_TEST((account.reserve({1, 4}, "b", 500) == policy::buffer_verdict::reserved));
    BOOST_TEST((account.reserve({1, 5}, "c", 500) == policy::buffer_verdict::reserved));
    BOOST_TEST((account.reserve({1, 6}, "d", 1) == policy::buffer_verdict::total_full));
    BOOST_TEST(account.release({1, 4}));
    BOOST_TEST((account.reserve({1, 6}, "d", 1) == policy::buffer_verdict::reserved));
}

// Guards against a response that exceeds its reservation.
BOOST_AUTO_TEST_CASE(a_stream_buffers_no_more_than_it_reserved)
{
    policy::buffer_account account(small_caps);
    BOOST_TEST((account.reserve({1, 1}, "a", 100'000) == policy::buffer_verdict::reserved));
    BOOST_TEST(account.room({1, 1}) == 4'000U);
    BOOST_TEST(account.buffer({1, 1}, 3'000));
    BOOST_TEST(!account.buffer({1, 1}, 1'001));
    account.drain({1, 1}, 500);
    BOOST_TEST(account.room({1, 1}) == 1'500U);
    BOOST_TEST(account.buffered() == 2'500U);
}

// Guards against reservations that are counted twice or never released.
BOOST_AUTO_TEST_CASE(random_steps_keep_the_account_exact)
{
    random_engine random(16);
    policy::buffer_account account(small_caps);
    std::map<std::uint64_t, std::string> held;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        const auto team = std::string(1, static_cast<char>('a' + below(random, 4)));
        const auto tokens = static_cast<std::uint32_t>(below(random, 800));
        if (below(random, 2) == 0 &&
            account.reserve({1, i}, team, tokens) == policy::buffer_verdict::reserved) {
            held[i] = team;
        } else if (!held.empty()) {
            auto other = held.lower_bound(below(random, i + 1));
            other = other == held.end() ? held.begin() : other;
            account.buffer({1, other->first}, below(random, 3'000));
            account.drain({1, other->first}, below(random, 3'000));
            if (below(random, 3) == 0) {
                BOOST_TEST_REQUIRE(account.release({1, other->first}));
                held.erase(other);
            }
        }
        std::uint64_t sum = 0;
        for (const std::string name : {"a", "b", "c", "d"}) {
            BOOST_TEST_REQUIRE(account.reserved_by(name) <= small_caps.team);
            sum += account.reserved_by(name);
        }
        BOOST_TEST_REQUIRE(account.reserved() == sum);
        BOOST_TEST_REQUIRE(sum <= small_caps.total);
        BOOST_TEST_REQUIRE(account.buffered() <= account.reserved());
        BOOST_TEST_REQUIRE(account.streams() == held.size());
    }
    for (const auto& [number, team] : held) {
        BOOST_TEST(account.release({1, number}));
    }
    BOOST_TEST(account.reserved() == 0U);
    BOOST_TEST(account.buffered() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
