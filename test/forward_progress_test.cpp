#include "forward/event_progress.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using forward::event_progress;

namespace {

const time_point begin{1h};
const forward::inactivity_limits limits{2s, 1s};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_progress)

// Guards against silence that is measured from the last byte instead of the last event.
BOOST_AUTO_TEST_CASE(only_complete_events_are_progress)
{
    event_progress progress(begin, limits);
    BOOST_TEST((progress.silent_at() == begin + 2s));
    progress.on_bytes(begin + 500ms, false);
    BOOST_TEST((progress.silent_at() == begin + 2s));
    progress.on_bytes(begin + 600ms, true);
    BOOST_TEST((progress.silent_at() == begin + 1'600ms));
}

// Guards against endpoints that send single bytes of one event until the deadline.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_endless)
{
    event_progress progress(begin, limits);
    progress.on_bytes(begin + 1ms, true);
    time_point now = begin + 1ms;
    while (now - begin < 2s) {
        now += 50ms;
        progress.on_bytes(now, false);
        BOOST_TEST(!progress.is_endless());
    }
    progress.on_bytes(now + 50ms, false);
    BOOST_TEST(progress.is_endless());
}

// Guards against answers that are given up because their endpoint paused in the middle of an event.
BOOST_AUTO_TEST_CASE(a_pause_within_an_event_is_no_endless_event)
{
    event_progress progress(begin, limits);
    progress.on_bytes(begin + 10ms, true);
    progress.on_bytes(begin + 20ms, false);
    progress.on_bytes(begin + 6s, false);
    BOOST_TEST(!progress.is_endless());
    progress.on_bytes(begin + 6'010ms, true);
    BOOST_TEST(!progress.is_endless());
    BOOST_TEST((progress.silent_at() == begin + 7'010ms));
}

BOOST_AUTO_TEST_SUITE_END()
