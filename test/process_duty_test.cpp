#include "duty_fixture.h"

using namespace verbena;
using namespace std::chrono_literals;

namespace {

std::string print(const std::set<std::int64_t>& ids)
{
    std::string text;
    for (const std::int64_t id : ids) {
        text += std::to_string(id) + " ";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_duty)

// Guards against two holders at a time, and against a report that is sent again with other counts, when its
// holder is killed, frozen, stopped, or gets no answer.
BOOST_AUTO_TEST_CASE(duties_pass_from_process_to_process)
{
    duty_deployment deployment;
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));

    std::size_t holder = deployment.holder();
    deployment.processes->control_process(holder).signal(SIGKILL);
    BOOST_TEST_REQUIRE(deployment.wait_for_other(holder));
    deployment.processes->control_process(holder).wait_exit(1s);
    BOOST_TEST_REQUIRE(deployment.processes->control_process(holder).start().has_value());
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));

    holder = deployment.holder();
    deployment.processes->control_process(holder).signal(SIGSTOP);
    BOOST_TEST(deployment.wait_for_other(holder));
    deployment.processes->control_process(holder).signal(SIGCONT);
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));

    deployment.judge->set_faults({.answers_lost = true});
    std::this_thread::sleep_for(2s);
    deployment.judge->set_faults({.late = 1'000ms});
    std::this_thread::sleep_for(2s);
    holder = deployment.holder();
    deployment.processes->control_process(holder).signal(SIGTERM);
    deployment.judge->set_faults({});
    BOOST_TEST(deployment.processes->control_process(holder).wait_exit(8s).has_value());
    BOOST_TEST_REQUIRE(deployment.wait_for_other(holder));
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));

    deployment.report_violations();
    std::uint64_t requests = 0;
    for (const auto& [window, counts] : deployment.judge->reports()) {
        for (const auto& [team, count] : counts) {
            requests += count;
        }
    }
    BOOST_TEST(requests > 0);
}

// Guards against a record that only the disk of its holder has, and against a group that does not take the
// empty member back as one that counts.
BOOST_AUTO_TEST_CASE(recorded_window_survives_the_loss_of_its_holders_disk)
{
    duty_deployment deployment;
    process_deployment& processes = *deployment.processes;
    const unreported_window window = record_without_report(deployment);
    const std::size_t lost = deployment.index_of(window.report.holder);
    const std::set<std::int64_t> voters = deployment.voters(lost);
    BOOST_TEST_REQUIRE(voters.size() == processes.control_count());
    deployment.kill(processes.control_process(lost));
    deployment.kill(processes.entry(1));
    processes.lose_disk(lost);
    BOOST_TEST_REQUIRE(processes.control_process(lost).start().has_value());
    processes.start(1);
    expect_exact_repeat(deployment, window);

    const std::size_t holder = deployment.holder();
    std::set<std::int64_t> now;
    BOOST_TEST_REQUIRE(deployment.wait_until([&] {
        now = deployment.voters(holder);
        return now.size() == voters.size() && now != voters;
    }),
                       "voters " << print(voters) << "before, " << print(now) << "now\n"
                                 << processes.control_process(lost).output());
    BOOST_TEST_REQUIRE(holder != lost);
    deployment.kill(processes.control_process(holder));
    BOOST_TEST_REQUIRE(deployment.wait_for_other(holder));
    deployment.report_violations();
}

// Guards against a barred leader that keeps its leadership: as only the leader holds duties, nobody would.
BOOST_AUTO_TEST_CASE(barred_leader_hands_its_leadership_over)
{
    duty_deployment deployment;
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));
    const std::size_t holder = deployment.holder();
    BOOST_TEST_REQUIRE(deployment.move_duty("metering", holder, 30s));
    BOOST_TEST_REQUIRE(deployment.wait_for_other(holder));
    const std::size_t changes = deployment.judge->holders().size();
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(4));
    BOOST_TEST(deployment.judge->holders().size() == changes, "the duty stays with its new holder");
    deployment.report_violations();
}

BOOST_AUTO_TEST_SUITE_END()
