#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

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

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

void check_whole_stream(const platform_deployment::answer& answer)
{
    BOOST_TEST(answer.status == 200U);
    for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
        BOOST_TEST(count(answer.body, id) == 1U);
    }
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
        system.runner("model-b").set_faults({});
        pause({"model-a"}, fault, 4'500ms);
        for (int i = 0; i < 3; ++i) {
            const time_point begin = clock::now();
            check_whole_stream(system.request({}));
            BOOST_TEST((clock::now() - begin < 3s));
        }
    }
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
    BOOST_TEST(runs(call.body) + system.runner("model-c").requests().size() <= 2U);
}

// Guards against endpoints that work on for a caller who has left while they were silent.
BOOST_FIXTURE_TEST_CASE(all_attempts_end_when_the_caller_leaves, silence_fixture)
{
    pause({"model-a", "model-b"}, runner_fault::no_answer, 0ms);
    platform_deployment::call call;
    call.deadline = 3s;
    BOOST_TEST(system.request(call).status != 200U);
    BOOST_TEST(eventually(
        [&] { return system.runner("model-a").cancelled() + system.runner("model-b").cancelled() == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()
