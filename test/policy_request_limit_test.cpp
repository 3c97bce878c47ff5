#include "policy/request_limit.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace verbena;
using namespace std::chrono_literals;
using policy::request_limit;

namespace {

const policy::limit_shares shares;
const time_point start = time_point{} + std::chrono::hours(1);

// Requests that a caller who asks every millisecond is allowed within a time.
std::size_t allowed(request_limit& limit, time_point begin, milliseconds duration, bool alone = false)
{
    random_engine random(1);
    std::size_t count = 0;
    for (time_point now = begin; now < begin + duration; now += 1ms) {
        if (limit.allows(shares, alone, now, random)) {
            limit.take(shares, alone, now);
            ++count;
        }
    }
    return count;
}

request_limit named(double rate)
{
    request_limit limit;
    BOOST_TEST(limit.observe(rate, start - 100ms, 7, shares, start));
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_request_limit)

BOOST_AUTO_TEST_CASE(requests_stay_below_the_limit)
{
    for (const double rate : {0.3, 2.1, 50.0, 1000.0}) {
        request_limit limit = named(rate);
        const std::size_t count = allowed(limit, start, 100s);
        BOOST_TEST_CONTEXT("limit " << rate)
        {
            BOOST_TEST(count <= rate * 100);
            BOOST_TEST(count >= rate * 70);
        }
    }
}

BOOST_AUTO_TEST_CASE(idle_time_allows_no_burst)
{
    request_limit limit = named(50);
    (void)allowed(limit, start, 1s);
    BOOST_TEST(allowed(limit, start + 60s, 1ms) <= 1);
    BOOST_TEST(allowed(limit, start + 120s, 1s) <= 51);
}

BOOST_AUTO_TEST_CASE(nothing_is_allowed_as_a_limit_begins)
{
    request_limit limit = named(2);
    BOOST_TEST(allowed(limit, start, 600ms) == 0);
    BOOST_TEST(allowed(limit, start + 600ms, 100ms) == 1);
}

BOOST_AUTO_TEST_CASE(limit_of_zero_leaves_a_request_now_and_then)
{
    request_limit limit = named(0);
    const std::size_t count = allowed(limit, start, 100s);
    BOOST_TEST(count >= 5);
    BOOST_TEST(count <= 10);
}

BOOST_AUTO_TEST_CASE(raised_limit_counts_at_once)
{
    request_limit limit = named(0.3);
    (void)allowed(limit, start, 10s);
    const time_point raised = start + 10s;
    BOOST_TEST(limit.observe(50, raised - 10ms, 7, shares, raised));
    BOOST_TEST(allowed(limit, raised, 1s) >= 35);
}

BOOST_AUTO_TEST_CASE(lowered_limit_counts_at_once)
{
    request_limit limit = named(50);
    (void)allowed(limit, start, 10s);
    const time_point lowered = start + 10s;
    BOOST_TEST(limit.observe(1, lowered - 10ms, 7, shares, lowered));
    BOOST_TEST(allowed(limit, lowered, 10s) <= 10);
}

BOOST_AUTO_TEST_CASE(overtaken_answer_does_not_bring_a_limit_back)
{
    request_limit limit = named(2);
    BOOST_TEST(limit.observe(std::nullopt, start + 1s, 7, shares, start + 1'100ms));
    BOOST_TEST(!limit.observe(2, start + 1'050ms, 7, shares, start + 1'200ms));
    BOOST_TEST(!limit.rate().has_value());
    BOOST_TEST(limit.observe(2, start + 1'150ms, 7, shares, start + 1'300ms));
    BOOST_TEST(limit.rate().value() == 2);
}

BOOST_AUTO_TEST_CASE(statement_with_more_changes_is_kept)
{
    request_limit limit = named(2);
    BOOST_TEST(!limit.merge({5, 1, 6}, shares, start + 1s));
    BOOST_TEST(limit.merge({5, 1, 8}, shares, start + 1s));
    BOOST_TEST(limit.merge({std::nullopt, 2, 1}, shares, start + 2s));
    BOOST_TEST(!limit.merge({5, 1, 8}, shares, start + 3s));
    BOOST_TEST(!limit.rate().has_value());
    BOOST_TEST(limit.statement().changes == 2);
}

BOOST_AUTO_TEST_CASE(entries_that_choose_alone_stay_below_the_limit_together)
{
    constexpr std::size_t entries = 105;
    policy::limit_shares own;
    own.alone = (1 - own.scheduled) / entries;
    random_engine random(7);
    std::vector<request_limit> limits(entries, named(2.1));
    std::vector<std::size_t> counts(100);
    for (time_point now = start; now < start + 100s; now += 20ms) {
        for (request_limit& limit : limits) {
            if (limit.allows(own, true, now, random)) {
                limit.take(own, true, now);
                ++counts[static_cast<std::size_t>((now - start) / 1s)];
            }
        }
    }
    std::size_t total = 0;
    for (std::size_t second = 0; second < counts.size(); ++second) {
        total += counts[second];
        std::size_t in_window = 0;
        for (std::size_t i = second; i < std::min(second + 4, counts.size()); ++i) {
            in_window += counts[i];
        }
        BOOST_TEST(in_window <= 2.1 * 4);
    }
    BOOST_TEST(total <= 2.1 * 100 * (1 - own.scheduled) * 1.25);
    BOOST_TEST(total >= 10);
}

BOOST_AUTO_TEST_SUITE_END()
