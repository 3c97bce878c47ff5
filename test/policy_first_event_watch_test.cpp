#include "policy/first_event_watch.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

policy::work_key key(std::uint64_t number)
{
    return {number % 28 + 1, number};
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_first_event_watch)

// Guards against an endpoint that goes dark and is sent requests until each entry has waited for one of its
// own. An entry takes 3 x 200 ms + 600 ms to find it silent.
BOOST_AUTO_TEST_CASE(a_dark_endpoint_is_left_out_once_three_first_events_are_overdue)
{
    policy::first_event_watch watch;
    int sent = 0;
    for (milliseconds now{}; now < 1'200ms; now += 100ms) {
        if (!watch.is_silent("e", at(now))) {
            watch.expect("e", key(static_cast<std::uint64_t>(++sent)), 200ms, at(now));
        }
    }
    BOOST_TEST(sent == 9);
    BOOST_TEST(!watch.is_silent("other", at(1'000ms)));
    // It is tried again when what was overdue is as old as the longest backoff.
    BOOST_TEST(watch.is_silent("e", at(4'000ms)));
    BOOST_TEST(!watch.is_silent("e", at(4'600ms)));
}

// Guards against endpoints that are left out although they serve requests, in another order than expected,
// and against state for requests that have ended.
BOOST_AUTO_TEST_CASE(an_endpoint_that_begins_answers_is_not_silent)
{
    policy::first_event_watch watch;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        watch.expect("e", key(i), 100ms, at(0ms));
    }
    BOOST_TEST(watch.is_silent("e", at(500ms)));
    watch.begin("e", key(4), at(600ms));
    BOOST_TEST(!watch.is_silent("e", at(700ms)));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        watch.end("e", key(i));
    }
    BOOST_TEST(watch.tracked() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
