#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(platform_new_deployment)

// Guards against a begun stream that is given up while the endpoints that could go on with it are about to be
// listed: in a new deployment the first lists are empty for longer than a list takes to be complete.
BOOST_AUTO_TEST_CASE(a_broken_stream_waits_for_endpoints_that_are_not_listed_yet)
{
    platform_deployment system;
    BOOST_TEST_REQUIRE(eventually([&] {
        return system
                   .control("POST", std::string(platform::names::publish),
                            platform_deployment::configuration(1))
                   .status == 200;
    }));
    std::this_thread::sleep_for(3s);
    system.runner("model-a").set_faults({standin::runner_fault::cut_in_event});
    BOOST_TEST_REQUIRE(eventually([&] { return system.check_in("model-a", 1); }));
    std::this_thread::sleep_for(700ms); // entries poll the list every 0.3 s
    auto answer = system.request_later({});
    BOOST_TEST_REQUIRE(eventually([&] { return system.requests_at("model-a") == 1; }));
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(eventually([&] { return system.check_in("model-b", 1); }));
    BOOST_TEST(answer.get().status == 200U);
    BOOST_TEST(system.requests_at("model-b") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
