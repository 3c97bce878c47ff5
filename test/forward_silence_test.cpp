#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

struct silence_fixture {
    platform_deployment system;

    silence_fixture() { system.start_serving(); }

    // Lets the next requests of these endpoints pause once each.
    void pause(const std::vector<std::string>& ids, runner_fault fault, milliseconds duration)
    {
        for (const std::string& id : ids) {
            system.runner(id).set_pause(duration);
            system.runner(id).set_faults({fault});
        }
    }

    std::size_t runs(const std::string& body)
    {
        std::size_t found = 0;
        for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
            for (const standin::runner_request& seen : system.runner(id).requests()) {
                found += seen.body == body ? 1 : 0;
            }
        }
        return found;
    }
};

void check_whole_stream(const platform_deployment::answer& answer)
{
    BOOST_TEST(answer.status == 200U);
    std::string ids;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        BOOST_TEST((line.empty() || line.starts_with("id: ") || line.starts_with("data: model-")));
        ids += line.starts_with("id: ") ? line.substr(4) : "";
    }
    BOOST_TEST(ids == "1234");
}

} // namespace

BOOST_AUTO_TEST_SUITE(forward_silence)

// Guards against streams that are closed because every endpoint that may be asked pauses, and works on.
BOOST_FIXTURE_TEST_CASE(a_stream_outlasts_pauses_of_all_its_endpoints, silence_fixture)
{
    for (const milliseconds duration : {1'200ms, 2'000ms, 3'000ms}) {
        BOOST_TEST_CONTEXT("pause of " << duration.count() << " ms")
        {
            pause({"model-a", "model-b"}, runner_fault::pause_in_stream, duration);
            check_whole_stream(system.request({}));
        }
    }
}

// Guards against streams that end without a status because their endpoints begin late.
BOOST_FIXTURE_TEST_CASE(a_stream_outlasts_pauses_before_its_first_event, silence_fixture)
{
    pause({"model-a", "model-b"}, runner_fault::pause_before_head, 2'500ms);
    check_whole_stream(system.request({}));
}

// Guards against 502 for idempotent requests whose endpoints take longer than three objectives.
BOOST_FIXTURE_TEST_CASE(a_safe_request_outlasts_pauses_of_all_its_endpoints, silence_fixture)
{
    pause({"desk-a", "desk-b"}, runner_fault::pause_before_head, 1'800ms);
    platform_deployment::call call;
    call.path = "/safe/1";
    call.body = "look up";
    const auto answer = system.request(call);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.body == "ok look up");
}

// Guards against callers who wait for a silent endpoint although another one can answer.
BOOST_FIXTURE_TEST_CASE(another_endpoint_answers_while_one_is_silent, silence_fixture)
{
    for (const runner_fault fault : {runner_fault::pause_in_stream, runner_fault::pause_before_head}) {
        // The entry keeps away from an endpoint for some time after it was silent.
        BOOST_TEST_REQUIRE(eventually([&] {
            const std::size_t before = system.requests_at("model-a");
            return system.request({}).status == 200 && system.requests_at("model-a") > before;
        }));
        pause({"model-a"}, fault, 4'500ms);
        for (int i = 0; i < 3; ++i) {
            const time_point begin = clock::now();
            check_whole_stream(system.request({}));
            BOOST_TEST((clock::now() - begin < 3s));
        }
    }
    // Each round has met the silent endpoint and left it.
    BOOST_TEST(eventually([&] { return system.runner("model-a").cancelled() == 2; }));
}

// Guards against callers who wait for the rest of a body although another endpoint can answer, and against
// answers that are mixed from both.
BOOST_FIXTURE_TEST_CASE(another_endpoint_answers_while_one_is_silent_in_its_body, silence_fixture)
{
    constexpr milliseconds duration = 2'500ms;
    platform_deployment::call call;
    call.path = "/safe/1";
    call.body = "look up";
    BOOST_TEST_REQUIRE(eventually([&] {
        const std::size_t before = system.requests_at("desk-a");
        return system.request(call).status == 200 && system.requests_at("desk-a") > before;
    }));
    pause({"desk-a"}, runner_fault::pause_in_body, duration);
    std::size_t paused = 0;
    for (int i = 0; i < 20 && paused == 0; ++i) {
        const std::size_t before = runs(call.body);
        const time_point begin = clock::now();
        const std::string received = system.request_bytes(call);
        BOOST_TEST((clock::now() - begin < duration));
        BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
        BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
        BOOST_TEST(received.ends_with("\r\n\r\nok look up"));
        paused = runs(call.body) - before - 1;
    }
    BOOST_TEST(paused == 1U);
    BOOST_TEST((system.runner("desk-a").requests().back().fault == runner_fault::pause_in_body));
}

// Guards against unsafe requests that are sent again because their endpoint is silent.
BOOST_FIXTURE_TEST_CASE(an_unsafe_request_waits_for_its_silent_endpoint, silence_fixture)
{
    pause({"desk-a", "desk-b"}, runner_fault::pause_before_head, 1'200ms);
    platform_deployment::call call;
    call.path = "/once/1";
    call.body = "order";
    const auto answer = system.request(call);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.body == "ok order");
    BOOST_TEST(runs("order") == 1U);
}

// Guards against more runs than the route allows while endpoints are silent.
BOOST_FIXTURE_TEST_CASE(silent_endpoints_are_not_more_than_the_route_allows, silence_fixture)
{
    system.add_model_runner("model-c", "domain-a");
    system.check_in_all();
    pause({"model-a", "model-b", "model-c"}, runner_fault::pause_in_stream, 3'500ms);
    platform_deployment::call call;
    call.body = "three silent endpoints";
    check_whole_stream(system.request(call));
    BOOST_TEST(runs(call.body) + system.runner("model-c").requests().size() == 2U);
}

// Guards against long prompts whose stream ends because the endpoint that answers pauses, while the others
// still hold memory for it.
BOOST_FIXTURE_TEST_CASE(a_stream_with_reserved_memory_outlasts_a_pause, silence_fixture)
{
    pause({"model-a", "model-b"}, runner_fault::pause_before_head, 4'500ms);
    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).report_tickets_as_used();
    }
    platform_deployment::call call;
    call.tokens = "235000,100";
    call.deadline = 15s;
    check_whole_stream(system.request(call));
    BOOST_TEST(system.runner("model-a").orders().size() + system.runner("model-b").orders().size() > 0U);
}

// Guards against long prompts whose stream ends because the report about its reserved memory comes late.
BOOST_FIXTURE_TEST_CASE(a_stream_with_reserved_memory_outlasts_a_late_report, silence_fixture)
{
    pause({"model-a", "model-b"}, runner_fault::pause_before_head, 4'500ms);
    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).report_tickets_as_used();
        system.runner(id).set_report_delay(600ms);
    }
    platform_deployment::call call;
    call.tokens = "235000,100";
    call.deadline = 15s;
    check_whole_stream(system.request(call));
}

// Guards against endpoints that work on for a caller who has left while they were silent.
BOOST_FIXTURE_TEST_CASE(all_attempts_end_when_the_caller_leaves, silence_fixture)
{
    const std::size_t served = runs("prompt");
    pause({"model-a", "model-b"}, runner_fault::no_answer, 0ms);
    std::shared_ptr<net::tcp::socket> caller = system.begin_request({});
    BOOST_TEST_REQUIRE(eventually([&] { return runs("prompt") == 2 + served; }));
    const time_point left = clock::now();
    caller->close();
    BOOST_TEST(eventually(
        [&] { return system.runner("model-a").cancelled() + system.runner("model-b").cancelled() == 2; }));
    BOOST_TEST((clock::now() - left < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
