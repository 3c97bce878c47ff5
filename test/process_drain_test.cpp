#include "platform_fixture.h"
#include "process_fixture.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

constexpr milliseconds grace{3'000};
constexpr milliseconds stop_delay{600};

struct drain_fixture {
    process_deployment system{
        {.entry_domains = {"domain-a"}, .runners_per_service = 2, .stop_delay = stop_delay, .grace = grace}};

    drain_fixture()
    {
        system.start_serving();
        std::string document = platform_deployment::configuration(2);
        for (const std::string field : {"\"timeout_ms\":1500", "\"timeout_ms\":3000"}) {
            document.replace(document.find(field), field.size(), "\"timeout_ms\":9000");
        }
        BOOST_TEST_REQUIRE(eventually([&] { return system.publish_document(document) == 200; }));
        std::this_thread::sleep_for(1s); // entries poll the configuration every 0.3 s
    }

    std::future<result<net::http_response>> request_later(const std::string& path, const std::string& id)
    {
        return std::async(std::launch::async,
                          [this, path, id] { return system.request(0, path, "last", id); });
    }

    // The request as its runner received it.
    std::optional<standin::runner_request> run_of(const std::string& id)
    {
        for (const auto& runner : system.runners()) {
            for (const standin::runner_request& seen : runner->requests()) {
                if (seen.id == id) {
                    return seen;
                }
            }
        }
        return std::nullopt;
    }

    void set_faults(runner_fault fault)
    {
        for (const auto& runner : system.runners()) {
            runner->set_faults({fault, fault, fault});
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_drain)

// Guards against requests that end without an answer when the grace period of a stop is over.
BOOST_FIXTURE_TEST_CASE(requests_in_work_at_the_end_of_a_stop_are_answered, drain_fixture)
{
    set_faults(runner_fault::no_answer);
    auto unsafe = request_later("/once/1", "last-unsafe");
    auto safe = request_later("/safe/1", "last-safe");
    auto stream = request_later("/model/1", "last-stream");
    BOOST_TEST_REQUIRE(
        eventually([&] { return run_of("last-unsafe") && run_of("last-safe") && run_of("last-stream"); }));
    const time_point begin = clock::now();
    BOOST_TEST_REQUIRE(system.signal(0, SIGTERM));
    for (auto* answer : {&unsafe, &safe, &stream}) {
        const result<net::http_response> seen = answer->get();
        BOOST_TEST_REQUIRE(seen.has_value(), (seen ? "" : describe(seen.error())));
        BOOST_TEST(seen.value().status == 502U);
    }
    BOOST_TEST((clock::now() - begin > grace - 500ms));
    const auto left = system.wait_exit(0, 2s);
    BOOST_TEST_REQUIRE(left.has_value());
    BOOST_TEST((left->at - begin <= grace));
}

// Guards against endpoints that are handed more time than the entry that stops can wait.
BOOST_FIXTURE_TEST_CASE(a_request_taken_during_a_stop_ends_before_the_process, drain_fixture)
{
    set_faults(runner_fault::no_answer);
    BOOST_TEST_REQUIRE(system.signal(0, SIGTERM));
    std::this_thread::sleep_for(100ms);
    const result<net::http_response> seen = request_later("/once/1", "late-unsafe").get();
    BOOST_TEST_REQUIRE(seen.has_value(), (seen ? "" : describe(seen.error())));
    // 502 if the process was held up between the deadline and the end of the grace period.
    BOOST_TEST((seen.value().status == 504U || seen.value().status == 502U));
    const auto run = run_of("late-unsafe");
    BOOST_TEST_REQUIRE(run.has_value());
    BOOST_TEST(std::stol(run->deadline_ms) < grace.count());
    BOOST_TEST(system.wait_exit(0, grace).has_value());
}

// Guards against requests that are passed on late in the grace period and cut at its end.
BOOST_FIXTURE_TEST_CASE(a_request_that_cannot_end_before_the_process_is_refused_at_once, drain_fixture)
{
    for (const auto& runner : system.runners()) {
        runner->set_pause(2'200ms);
    }
    set_faults(runner_fault::pause_in_stream);
    auto first_stream = request_later("/model/1", "first-stream");
    BOOST_TEST_REQUIRE(first_stream.get().has_value());
    for (const auto& runner : system.runners()) {
        runner->set_faults({runner_fault::pause_before_head});
    }
    auto first_unsafe = request_later("/once/1", "first-unsafe");
    BOOST_TEST_REQUIRE(first_unsafe.get().has_value());
    for (const auto& runner : system.runners()) {
        runner->set_faults({});
    }
    BOOST_TEST_REQUIRE(system.signal(0, SIGTERM));
    std::this_thread::sleep_for(500ms);
    for (const std::string path : {"/model/1", "/once/1"}) {
        const std::string id = "late" + path;
        const time_point sent = clock::now();
        const result<net::http_response> seen = system.request(0, path, "late", id);
        BOOST_TEST_REQUIRE(seen.has_value(), (seen ? "" : describe(seen.error())));
        BOOST_TEST(seen.value().status == 503U);
        BOOST_TEST((clock::now() - sent < 300ms));
        BOOST_TEST(!run_of(id).has_value());
    }
    // No answer of this route has taken long.
    const result<net::http_response> safe = system.request(0, "/safe/1", "late", "late-safe");
    BOOST_TEST_REQUIRE(safe.has_value(), (safe ? "" : describe(safe.error())));
    BOOST_TEST(safe.value().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
