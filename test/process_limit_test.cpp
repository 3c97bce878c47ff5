#include "base/random.h"
#include "platform_fixture.h"
#include "process_fixture.h"
#include "request_windows.h"
#include "soak_caller.h"
#include "soak_seeds.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <thread>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds settle_time{3'000}; // after which a limit has to be kept
constexpr milliseconds load_time{12'000};

struct named_limit {
    std::size_t runner = 0;
    double rate = 0;
};

// What happens to the entries while the limits are in force. Entries 0 and 2 schedule their failure domains.
enum class disturbance : std::uint8_t { none, kill, freeze, stop, control_freeze, alone };

constexpr std::size_t disturbance_count = 6;

const char* to_text(disturbance value)
{
    static constexpr std::array names{"none", "kill", "freeze", "stop", "control_freeze", "alone"};
    return names.at(static_cast<std::size_t>(value));
}

class limit_soak {
public:
    explicit limit_soak(std::uint64_t seed) : m_seed(seed), m_random(seed) {}

    void run()
    {
        m_system.start_serving();
        const std::vector<double> rates{0.3, 2.1, 2.7, 50};
        // One runner has no limit, except in every third seed.
        const std::size_t limited = m_seed % 3 == 0 ? m_runners : m_runners - 1;
        for (std::size_t i = 0; i < limited; ++i) {
            m_limits.push_back({i, rates[m_random() % rates.size()]});
            m_system.model_runner(i)->set_request_limit(std::to_string(m_limits.back().rate));
        }
        start_callers();
        const auto kind = static_cast<disturbance>(m_seed % disturbance_count);
        std::this_thread::sleep_for(milliseconds(3'500 + m_random() % 3'000));
        disturb(kind);
        std::this_thread::sleep_until(
            std::chrono::steady_clock::now() +
            std::chrono::duration_cast<milliseconds>(m_context->end - clock::now()));
        BOOST_TEST_REQUIRE(eventually([&] { return m_context->running == 0; }));
        judge(kind);
    }

private:
    void start_callers()
    {
        m_context->end = clock::now() + load_time;
        m_named = clock::now();
        m_context->id_prefix = "limit-" + std::to_string(m_seed) + "-";
        for (std::size_t i = 0; i < m_system.entry_count(); ++i) {
            m_context->fronts.push_back(m_system.front(i));
        }
        for (std::size_t i = 0; i < 2 * m_system.entry_count(); ++i) {
            soak::caller_options options;
            options.home = i % m_system.entry_count();
            options.seed = m_seed * 100 + i;
            auto caller = std::make_shared<soak::caller>(m_context, options);
            ++m_context->running;
            net::asio::co_spawn(
                m_system.threads().strand(), [caller] { return caller->run(); },
                [context = m_context, caller](const std::exception_ptr&) { --context->running; });
        }
    }

    void freeze(server_process& process, milliseconds time)
    {
        BOOST_TEST(process.signal(SIGSTOP));
        std::this_thread::sleep_for(time);
        BOOST_TEST(process.signal(SIGCONT));
    }

    void disturb(disturbance kind)
    {
        const std::size_t scheduler = m_random() % 2 == 0 ? 0 : 2;
        const milliseconds time(300 + m_random() % 2'500);
        switch (kind) {
        case disturbance::none:
            break;
        case disturbance::kill:
            BOOST_TEST(m_system.signal(scheduler, SIGKILL));
            BOOST_TEST_REQUIRE(m_system.wait_exit(scheduler, 2s).has_value());
            std::this_thread::sleep_for(time);
            m_system.start(scheduler);
            break;
        case disturbance::freeze:
            freeze(m_system.entry(scheduler), time);
            break;
        case disturbance::stop:
            BOOST_TEST(m_system.signal(scheduler, SIGTERM));
            BOOST_TEST_REQUIRE(m_system.wait_exit(scheduler, 8s).has_value());
            m_system.start(scheduler);
            break;
        case disturbance::control_freeze:
            for (std::size_t i = 0; i < m_system.control_count(); ++i) {
                BOOST_TEST(m_system.control_process(i).signal(SIGSTOP));
            }
            std::this_thread::sleep_for(time);
            for (std::size_t i = 0; i < m_system.control_count(); ++i) {
                BOOST_TEST(m_system.control_process(i).signal(SIGCONT));
            }
            break;
        case disturbance::alone:
            for (const std::size_t other : {std::size_t{0}, std::size_t{2}}) {
                BOOST_TEST(m_system.entry(other).signal(SIGSTOP));
            }
            std::this_thread::sleep_for(time);
            for (const std::size_t other : {std::size_t{0}, std::size_t{2}}) {
                BOOST_TEST(m_system.entry(other).signal(SIGCONT));
            }
            break;
        }
    }

    void judge(disturbance kind)
    {
        std::size_t served = 0;
        for (const soak::seen_request& seen : m_context->seen) {
            served += seen.kind == soak::request_kind::stream && seen.status == 200 && seen.complete ? 1 : 0;
        }
        for (const named_limit& limit : m_limits) {
            const auto runner = m_system.model_runner(limit.runner);
            const std::size_t most = most_in_window(*runner, m_named + settle_time);
            BOOST_TEST_MESSAGE("seed " << m_seed << ", " << to_text(kind) << ": limit " << limit.rate
                                       << ", most in 4 s " << most << ", limit alone allows "
                                       << limit.rate * 4 << ", " << runner->arrivals().size()
                                       << " in all; streams served " << served);
            BOOST_TEST(most <= limit.rate * 4 * 1.5 + 5,
                       "seed " << m_seed << " (" << to_text(kind) << "): an endpoint with a limit of "
                               << limit.rate << " got " << most << " requests in 4 s");
        }
        BOOST_TEST(served > 0U);
    }

    static constexpr std::size_t m_runners = 4;
    const std::uint64_t m_seed;
    random_engine m_random;
    process_deployment m_system{{.entry_domains = {"domain-a", "domain-a", "domain-b", "domain-b"},
                                 .runners_per_service = m_runners,
                                 .stop_delay = 300ms,
                                 .grace = 4s}};
    std::shared_ptr<soak::caller_context> m_context = std::make_shared<soak::caller_context>();
    std::vector<named_limit> m_limits;
    time_point m_named;
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_limit)

// Guards against endpoints that get more than the limit that they name while schedulers fail and change.
BOOST_AUTO_TEST_CASE(limits_hold_while_processes_fail_freeze_and_restart)
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        limit_soak(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
