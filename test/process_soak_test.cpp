#include "soak_caller.h"
#include "soak_judge.h"
#include "soak_plan.h"
#include "soak_seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <sstream>

using namespace verbena;
using namespace verbena::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_reports = 3;

std::string fault_text(runner_fault fault)
{
    switch (fault) {
    case runner_fault::none:
        return "no fault";
    case runner_fault::pause_before_head:
        return "pause before its answer";
    case runner_fault::pause_in_stream:
        return "pause in its answer";
    case runner_fault::cut_in_event:
        return "broke off in an event";
    case runner_fault::reset:
        return "broke off before its answer";
    default:
        return "fault " + std::to_string(static_cast<int>(fault));
    }
}

// Runs the plan of one seed against a deployment and judges what callers and runners saw.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed)
        : m_seed(seed), m_plan(plan_maker(seed).make()), m_random(seed), m_system(deployment_options())
    {
    }

    void run()
    {
        m_system.start_serving();
        BOOST_TEST_REQUIRE(eventually([this] { return m_system.publish_document(long_limits(2)) == 200; }));
        for (const auto& runner : m_system.runners()) {
            std::vector<runner_fault> faults(5'000);
            std::generate(faults.begin(), faults.end(),
                          [this] { return m_plan.faults[m_random() % m_plan.faults.size()]; });
            runner->set_faults(faults);
        }
        m_begin = clock::now();
        start_callers();
        run_actions();
        BOOST_TEST(eventually([this] { return m_callers->running == 0; }), "a caller has no end");
        judge();
    }

private:
    static process_deployment_options deployment_options()
    {
        process_deployment_options options;
        options.entry_domains = {"domain-a", "domain-a", "domain-b"};
        options.runners_per_service = 4;
        options.stop_delay = stop_delay;
        options.grace = grace;
        return options;
    }

    void start_caller(const caller_options& options, std::function<net::task<void>(caller&)> body)
    {
        ++m_callers->running;
        auto value = std::make_shared<caller>(m_callers, options);
        net::asio::co_spawn(
            m_system.threads().strand(), [value, body = std::move(body)] { return body(*value); },
            [value, context = m_callers](const std::exception_ptr&) { --context->running; });
    }

    void start_callers()
    {
        m_callers->end = m_begin + load_time;
        m_callers->id_prefix = "s" + std::to_string(m_seed) + "-";
        for (std::size_t i = 0; i < m_system.entry_count(); ++i) {
            m_callers->fronts.push_back(m_system.front(i));
        }
        for (std::size_t entry = 0; entry < m_system.entry_count(); ++entry) {
            const std::size_t busy = m_plan.busy_callers[entry];
            for (std::size_t i = 0; i < busy + m_plan.slow_callers[entry]; ++i) {
                start_caller({entry, i >= busy, m_random() % 2 == 0, m_random()},
                             [](caller& value) { return value.run(); });
            }
        }
        for (const planned_action& action : m_plan.actions) {
            for (int i = 0; action.kind <= action_kind::stop_and_reload && i < 3; ++i) {
                // Requests whose header arrives as the listener closes.
                const time_point closes = m_begin + action.at + stop_delay;
                const time_point at = closes + milliseconds(m_random() % 120) - 20ms;
                const request_kind kind = i == 0 ? request_kind::unsafe : request_kind::stream;
                start_caller({action.index, true, true, m_random()}, [closes, at, kind](caller& value) {
                    return value.send_late(closes - 1s, at, kind);
                });
            }
        }
    }

    void run_actions()
    {
        std::vector<std::thread> workers;
        for (const planned_action& action : m_plan.actions) {
            workers.emplace_back([this, action] {
                std::this_thread::sleep_until(m_begin + action.at);
                run_action(action);
            });
        }
        while (clock::now() < m_begin + load_time) {
            for (const auto& runner : m_system.runners()) {
                runner->set_pause(1s + milliseconds(m_random() % 2'000));
            }
            std::this_thread::sleep_for(250ms);
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
    }

    void run_action(const planned_action& action)
    {
        switch (action.kind) {
        case action_kind::reload:
            m_system.signal(action.index, SIGHUP);
            return;
        case action_kind::publish:
            m_system.publish_document(long_limits(++m_version), action.index);
            return;
        case action_kind::stop_control: {
            server_process& control = m_system.control_process(action.index);
            control.signal(SIGTERM);
            if (control.wait_exit(grace)) {
                std::this_thread::sleep_for(action.duration);
                (void)control.start();
            }
            return;
        }
        case action_kind::busy:
            return keep_busy(action.index, action.duration);
        default:
            return stop_entry(action);
        }
    }

    static void keep_busy(std::size_t count, milliseconds duration)
    {
        const time_point end = clock::now() + duration;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < count; ++i) {
            threads.emplace_back([end] {
                while (clock::now() < end) {
                }
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
    }

    void stop_entry(const planned_action& action)
    {
        const bool reload_first = action.duration.count() % 2 == 0;
        if (action.kind == action_kind::stop_and_reload && reload_first) {
            m_system.signal(action.index, SIGHUP);
            std::this_thread::sleep_for(action.duration);
        }
        seen_stop stop{action.index, clock::now(), std::nullopt};
        m_system.signal(action.index, SIGTERM);
        if (action.kind == action_kind::stop_twice) {
            std::this_thread::sleep_for(action.duration);
            m_system.signal(action.index, SIGTERM);
        }
        if (action.kind == action_kind::stop_and_reload && !reload_first) {
            std::this_thread::sleep_for(action.duration);
            m_system.signal(action.index, SIGHUP);
        }
        stop.left = m_system.wait_exit(action.index, grace + 2s);
        const bool started = stop.left && m_system.entry(action.index).start().has_value();
        const std::lock_guard lock(m_mutex);
        m_stops.push_back(stop);
        m_all_started = m_all_started && started;
    }

    std::string since_begin(time_point at) const
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(at - m_begin).count()) + " ms";
    }

    std::string describe_request(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        std::ostringstream text;
        text << seen.id << " " << terms_of(seen.kind).path << " at entry " << seen.entry << ", sent after "
             << since_begin(seen.sent) << ", ended after " << since_begin(seen.ended) << ", status "
             << seen.status << (seen.complete ? ", complete" : ", not complete: " + seen.failure)
             << ", body: " << seen.body << "\n";
        for (const seen_run& run : runs) {
            text << "  run at " << run.runner << " after " << since_begin(run.request.received) << ", "
                 << fault_text(run.request.fault) << ", ended after "
                 << (run.request.ended ? since_begin(*run.request.ended) : "-") << "\n";
        }
        for (const seen_stop& stop : m_stops) {
            if (stop.entry == seen.entry) {
                text << "  SIGTERM of the entry after " << since_begin(stop.first_signal) << ", left after "
                     << (stop.left ? since_begin(stop.left->at) : "-") << "\n";
            }
        }
        text << m_system.entry_output(seen.entry, "\"" + seen.id + "\"")
             << m_system.entry_output(seen.entry, "shutdown_step")
             << m_system.entry_output(seen.entry, "signal_received");
        return text.str();
    }

    void judge_stops()
    {
        BOOST_TEST(m_all_started, "an entry did not start again");
        for (const seen_stop& stop : m_stops) {
            BOOST_TEST((stop.left && stop.left->at <= stop.first_signal + grace + 1s),
                       "entry " << stop.entry << " has not left in time after SIGTERM");
            BOOST_TEST((!stop.left || stop.left->code == 0),
                       "entry " << stop.entry << " ended by signal " << (stop.left ? stop.left->signal : 0));
        }
    }

    void judge()
    {
        BOOST_TEST_CONTEXT("seed " << m_seed << "\n" << m_plan.describe())
        {
            judge_stops();
            const auto runs = collect_runs(m_system);
            const soak_judge judge(m_stops);
            const std::lock_guard lock(m_callers->mutex);
            std::map<std::string, std::size_t> failures;
            std::map<std::string, std::size_t> outcomes;
            for (const seen_request& seen : m_callers->seen) {
                const auto found = runs.find(seen.id);
                const std::vector<seen_run> own =
                    found == runs.end() ? std::vector<seen_run>{} : found->second;
                ++outcomes[std::to_string(seen.status) + (seen.complete ? "" : " incomplete") +
                           (own.empty() ? "" : " run")];
                const std::string fault = judge.find_fault(seen, own);
                if (!fault.empty() && ++failures[fault] <= max_reports) {
                    BOOST_ERROR(fault << ": request " << describe_request(seen, own));
                }
            }
            std::ostringstream summary;
            for (const auto& [name, count] : outcomes) {
                summary << "; " << name << ": " << count;
            }
            for (const auto& [name, count] : failures) {
                summary << "; FAILED " << name << ": " << count;
            }
            BOOST_TEST_MESSAGE("seed " << m_seed << ": requests " << m_callers->seen.size() << summary.str());
            BOOST_TEST(failures.empty());
        }
    }

    const std::uint64_t m_seed;
    const soak_plan m_plan;
    random_engine m_random;
    std::shared_ptr<caller_context> m_callers = std::make_shared<caller_context>();
    time_point m_begin;
    std::atomic<std::uint64_t> m_version{2};
    std::mutex m_mutex;
    std::vector<seen_stop> m_stops;
    bool m_all_started = true;
    process_deployment m_system;
};

} // namespace

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

// Guards against requests that are lost, run twice or are answered wrongly around stops, reloads, changes of
// the configuration and pauses of runners.
BOOST_AUTO_TEST_CASE(callers_get_whole_answers_around_planned_stops)
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        soak_run(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
