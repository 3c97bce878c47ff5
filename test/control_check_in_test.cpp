#include "control/directory.h"
#include "node/directory_view.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

wire::announcementT make_announcement(std::uint64_t born, std::uint64_t sequence, bool leaving = false)
{
    wire::announcementT value;
    value.endpoint = "i-1";
    value.address = "127.0.0.1:9000";
    value.service = "model";
    value.born_ms = born;
    value.incarnation = born;
    value.sequence = sequence;
    value.leaving = leaving;
    return value;
}

wire::poll_replyT reply_of(control::directory& source)
{
    const control::directory_delta delta = source.delta(0, 0);
    wire::poll_replyT reply;
    reply.directory_epoch = delta.epoch;
    reply.directory_version = delta.version;
    reply.directory_whole = delta.whole;
    for (const wire::announcementT* value : delta.changed) {
        reply.changed.push_back(std::make_unique<wire::announcementT>(*value));
    }
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_check_in)

// Guards against check-ins that arrive late, from this start of an endpoint or an earlier one.
BOOST_AUTO_TEST_CASE(ignores_what_is_older_than_what_is_known)
{
    control::directory endpoints(7);
    BOOST_TEST(endpoints.announce(make_announcement(100, 5, true), start));
    BOOST_TEST(!endpoints.announce(make_announcement(100, 4), start));
    BOOST_TEST(!endpoints.announce(make_announcement(50, 900), start));
    BOOST_TEST(endpoints.find("i-1")->leaving);
    BOOST_TEST(endpoints.announce(make_announcement(200, 1), start));
    BOOST_TEST(!endpoints.find("i-1")->leaving);
}

// A check-in that says nothing new costs the entries no bytes.
BOOST_AUTO_TEST_CASE(passes_on_changes_only)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement(100, 1), start);
    const std::uint64_t version = endpoints.version();
    endpoints.announce(make_announcement(100, 2), start + 1s);
    BOOST_TEST(endpoints.version() == version);
    endpoints.announce(make_announcement(100, 3, true), start + 2s);
    BOOST_TEST(endpoints.version() > version);
}

// The word that an endpoint ends wins over other members' lists, and not over its next start.
BOOST_AUTO_TEST_CASE(an_ended_endpoint_stays_ended)
{
    control::directory first(7);
    control::directory second(8);
    first.announce(make_announcement(100, 3), start);
    second.announce(make_announcement(100, 9), start);
    wire::announcementT gone = make_announcement(100, UINT64_MAX);
    gone.gone = true;
    BOOST_TEST(first.announce_gone(gone, start));
    node::directory_view view([](const std::string&, const wire::announcementT*) {});
    view.apply("m1", reply_of(first));
    view.apply("m2", reply_of(second));
    BOOST_TEST(view.find("i-1")->gone);
    second.announce(make_announcement(300, 1), start);
    view.apply("m2", reply_of(second));
    BOOST_TEST(!view.find("i-1")->gone);
}

// Guards against an acknowledged leave that no entry hears of: a member that does not know the endpoint must
// not take a leave without a start time (seen as DRAIN on trouble-3 of consola-ruter, seed 784297829770).
BOOST_AUTO_TEST_CASE(an_unknown_endpoint_cannot_leave)
{
    control::directory endpoints(7);
    wire::announcementT gone = make_announcement(0, UINT64_MAX);
    gone.gone = true;
    BOOST_TEST(!endpoints.announce_gone(gone, start));
    BOOST_TEST(endpoints.size() == 0U);
    endpoints.announce(make_announcement(100, 3), start);
    BOOST_TEST(endpoints.announce_gone(gone, start));
    BOOST_TEST(endpoints.find("i-1")->gone);
    // The end of an earlier start is acknowledged and changes nothing.
    control::directory restarted(8);
    restarted.announce(make_announcement(200, 1), start);
    wire::announcementT earlier = make_announcement(100, UINT64_MAX);
    earlier.gone = true;
    BOOST_TEST(restarted.announce_gone(earlier, start));
    BOOST_TEST(!restarted.find("i-1")->gone);
}

// Check-ins come every second or two and at times seconds late, so their lease is longer than that of agents.
BOOST_AUTO_TEST_CASE(self_announced_endpoints_have_a_longer_lease)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement(100, 1), start);
    endpoints.expire(start + 7s);
    BOOST_TEST(endpoints.size() == 1U);
    endpoints.expire(start + 9s);
    BOOST_TEST(endpoints.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
