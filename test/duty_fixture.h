#pragma once

#include "process_fixture.h"
#include "standin/infrastructure.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <ctime>
#include <functional>
#include <set>
#include <thread>

// Three control processes with duties, entries with callers, and the infrastructure that judges the calls.
class duty_deployment {
public:
    static constexpr verbena::milliseconds lease{1'000};
    // An election, the lease of the new holder, and a window with its delay.
    static constexpr verbena::milliseconds takeover_time{12'000};

    explicit duty_deployment(const std::string& duties = "metering")
    {
        auto created = verbena::standin::infrastructure::create(m_threads.io, {{"127.0.0.1", 0}, 50, lease});
        BOOST_TEST_REQUIRE(created.has_value());
        judge = created.value();
        process_deployment_options options;
        options.control_settings = "infrastructure = 127.0.0.1:" + std::to_string(judge->address().port) +
                                   "\nduties = " + duties +
                                   "\nduty_rate = 50\nduty_lease = " + std::to_string(lease.count()) +
                                   "ms\nduty_thaw = 300ms\nusage_window = 1s\nusage_late = 2s\n";
        processes = std::make_unique<process_deployment>(options);
        processes->start_serving();
        // Requests of the window that has begun may have been counted before the first one below.
        first_window = static_cast<std::uint64_t>(std::time(nullptr)) + 2;
        m_caller = std::thread([this] {
            for (std::size_t i = 0; !m_stopping; ++i) {
                ++sent;
                (void)processes->request(i % processes->entry_count(), "/safe/1", "x",
                                         "duty-" + std::to_string(i));
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
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

    static bool wait_until(const std::function<bool()>& reached, verbena::milliseconds limit = takeover_time)
    {
        const verbena::time_point deadline = verbena::clock::now() + limit;
        while (!reached()) {
            if (verbena::clock::now() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    // Index of the control process with this name.
    static std::size_t index_of(const std::string& name)
    {
        return static_cast<std::size_t>(name.back() - '0');
    }

    // Index of the control process whose call was accepted last.
    std::size_t holder() const { return index_of(judge->holders().back()); }

    bool wait_for_reports(std::size_t count, verbena::milliseconds limit = takeover_time) const
    {
        const std::size_t known = judge->reports().size();
        return wait_until([&] { return judge->reports().size() >= known + count; }, limit);
    }

    // Waits for a report of another process than `previous`.
    bool wait_for_other(std::size_t previous) const
    {
        return wait_until([&] { return holder() != previous; });
    }

    void kill(server_process& process) const
    {
        process.signal(SIGKILL);
        BOOST_TEST_REQUIRE(process.wait_exit(std::chrono::seconds(5)).has_value());
    }

    // Forbids a process to hold a duty for a time; returns whether the leader has accepted it.
    bool move_duty(const std::string& duty, std::size_t from, verbena::milliseconds duration) const
    {
        const auto answer =
            processes->post("/operator/v1/move_duty",
                            R"({"duty":")" + duty + R"(","machine":"control-)" + std::to_string(from) +
                                R"(","for_ms":)" + std::to_string(duration.count()) + "}",
                            from);
        return answer && answer.value().status == 200;
    }

    // Ids of the group's voters as the leader knows them; empty without an answer.
    std::set<std::int64_t> voters(std::size_t asked) const
    {
        std::set<std::int64_t> ids;
        const auto answer = processes->post("/operator/v1/status", "{}", asked);
        if (!answer || answer.value().status != 200) {
            return ids;
        }
        const auto status = boost::json::parse(answer.value().body);
        for (const auto& member : status.at("members").as_array()) {
            const auto* learner = member.as_object().if_contains("learner");
            if (learner == nullptr || !learner->as_bool()) {
                ids.insert(member.at("id").as_int64());
            }
        }
        return ids;
    }

    void report_violations() const
    {
        for (const std::string& violation : judge->violations()) {
            BOOST_ERROR(violation);
        }
    }

    std::unique_ptr<process_deployment> processes;
    std::shared_ptr<verbena::standin::infrastructure> judge;
    std::atomic<std::uint64_t> sent{0}; // requests of callers

    std::uint64_t first_window = 0; // that has only their requests

private:
    net_threads m_threads{2};
    std::atomic<bool> m_stopping{false};
    std::thread m_caller;
};

// A window that was sent while the infrastructure took no calls: recorded, and not reported.
struct unreported_window {
    std::uint64_t window = 0;
    verbena::standin::received_report report;
};

inline unreported_window record_without_report(duty_deployment& deployment)
{
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));
    deployment.judge->set_faults({.silent = true});
    unreported_window found;
    BOOST_TEST_REQUIRE(deployment.wait_until([&] {
        const auto reports = deployment.judge->reports();
        for (const auto& [window, report] : deployment.judge->received()) {
            if (!reports.contains(window) && !report.counts.empty()) {
                found = {window, report};
                return true;
            }
        }
        return false;
    }));
    return found;
}

inline void expect_exact_repeat(duty_deployment& deployment, const unreported_window& window)
{
    deployment.judge->set_faults({});
    BOOST_TEST_REQUIRE(
        deployment.wait_until([&] { return deployment.judge->reports().contains(window.window); }));
    BOOST_TEST((deployment.judge->reports().at(window.window) == window.report.counts));
    BOOST_TEST_REQUIRE(deployment.wait_for_reports(2));
    deployment.report_violations();
}
