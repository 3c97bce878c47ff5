#include "process_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(process_soak)

// Guards against entries that outlive their grace period and against restarts that don't serve again.
BOOST_AUTO_TEST_CASE(an_entry_leaves_within_its_grace_period_and_serves_after_its_restart)
{
    process_deployment system;
    system.start_serving();
    const time_point begin = clock::now();
    BOOST_TEST_REQUIRE(system.signal(0, SIGTERM));
    const auto left = system.wait_exit(0, 9s);
    BOOST_TEST_REQUIRE(left.has_value(), system.entry_output(0));
    BOOST_TEST(left->code == 0);
    BOOST_TEST((left->at - begin < 9s));
    system.start(0);
    BOOST_TEST_REQUIRE(system.wait_ready(0));
    BOOST_TEST(eventually([&, probes = 0]() mutable {
        const auto answer = system.request(0, "/safe/1", "again", "again-" + std::to_string(probes++));
        return answer && answer.value().status == 200;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
