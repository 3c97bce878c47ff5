#include "process_fixture.h"
#include "standin/infrastructure.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds lease = 1s;
// An election, the lease of the new holder, and a window with its delay.
constexpr milliseconds takeover_time = 12s;

// Three control processes with a duty, entries with callers, and the infrastructure that judges the calls.
class duty_deployment {
public:
    duty_deployment()
    {
        auto created = standin::infrastructure::create(m_threads.io, {{"127.0.0.1", 0}, 50, lease});
        BOOST_TEST_REQUIRE(created.has_value());
        judge = created.value();
        process_deployment_options options;
        options.control_settings =
            "infrastructure = 127.0.0.1:" + std::to_string(judge->address().port) +
            "\nduties = metering\nduty_rate = 50\nduty_lease = " + std::to_string(lease.count()) +
            "ms\nduty_thaw = 300ms\nusage_window = 1s\nusage_late = 2s\n";
        processes = std::make_unique<process_deployment>(options);
        processes->start_serving();
        m_caller = std::thread([this] {
            for (std::size_t i = 0; !m_stopping; ++i) {
                (void)processes->request(i % processes->entry_count(), "/safe/1", "x",
                                         "duty-" + std::to_string(i));
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    duty_deployment(const duty_deployment&) = delete;
    duty_deployment& operator=(const duty_deployment&) = delete;
    ~duty_deployment()
    {
        m_stopping = true;
        m_caller.join();
        processes.reset();
        m_threads.stop();
        judge.reset(); // its acceptor refers to the context of m_threads
    }

    bool wait_until(const std::function<bool()>& reached) const
    {
        const time_point deadline = clock::now() + takeover_time;
        while (!reached()) {
            if (clock::now() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    // Index of the control process whose call was accepted last.
    std::size_t holder() const
    {
        const std::string name = judge->holders().back();
        return static_cast<std::size_t>(name.back() - '0');
    }

    bool wait_for_reports(std::size_t count) const
    {
        const std::size_t known = judge->reports().size();
        return wait_until([&] { return judge->reports().size() >= known + count; });
    }

    // Waits for a report of another process than `previous`.
    bool wait_for_other(std::size_t previous) const
    {
        return wait_until([&] { return holder() != previous; });
    }

    std::unique_ptr<process_deployment> processes;
    std::shared_ptr<standin::infrastructure> judge;

private:
    net_threads m_threads{2};
    std::atomic<bool> m_stopping{false};
    std::thread m_caller;
};

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

    for (const std::string& violation : deployment.judge->violations()) {
        BOOST_ERROR(violation);
    }
    std::uint64_t requests = 0;
    for (const auto& [window, counts] : deployment.judge->reports()) {
        for (const auto& [team, count] : counts) {
            requests += count;
        }
    }
    BOOST_TEST(requests > 0);
}

BOOST_AUTO_TEST_SUITE_END()
