#include "duty_fixture.h"

using namespace verbena;

BOOST_AUTO_TEST_SUITE(process_duty_restart)

// Guards against counts that live in memory only. An entry dies, too, so that its counts can't be gathered
// again.
BOOST_AUTO_TEST_CASE(recorded_window_survives_the_death_of_all_members)
{
    duty_deployment deployment;
    process_deployment& processes = *deployment.processes;
    const unreported_window window = record_without_report(deployment);
    for (std::size_t i = 0; i < processes.control_count(); ++i) {
        processes.control_process(i).signal(SIGKILL);
    }
    deployment.kill(processes.entry(1));
    for (std::size_t i = 0; i < processes.control_count(); ++i) {
        BOOST_TEST_REQUIRE(processes.control_process(i).wait_exit(std::chrono::seconds(5)).has_value());
        BOOST_TEST_REQUIRE(processes.control_process(i).start().has_value());
    }
    processes.start(1);
    expect_exact_repeat(deployment, window);
}

BOOST_AUTO_TEST_SUITE_END()
