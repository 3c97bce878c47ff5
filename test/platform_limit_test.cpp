#include "platform_fixture.h"
#include "request_windows.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Sends requests at a steady rate through all entries in turn and waits for the answers. The runners check in
// every second meanwhile, like those of the platform; otherwise they would be listed for 8 s only.
std::vector<platform_deployment::answer> send_steadily(platform_deployment& deployment,
                                                       const platform_deployment::call& spec,
                                                       milliseconds interval, milliseconds duration)
{
    std::vector<std::future<platform_deployment::answer>> pending;
    const time_point end = clock::now() + duration;
    time_point next_check_in{};
    for (std::size_t i = 0; clock::now() < end; ++i) {
        if (clock::now() >= next_check_in) {
            next_check_in = clock::now() + 1s;
            deployment.check_in_all();
        }
        pending.push_back(deployment.request_later(spec, i % 2));
        std::this_thread::sleep_for(interval);
    }
    std::vector<platform_deployment::answer> answers;
    answers.reserve(pending.size());
    for (auto& item : pending) {
        answers.push_back(item.get());
    }
    return answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_limit)

BOOST_AUTO_TEST_CASE(endpoint_gets_no_more_requests_than_the_limit_that_it_names)
{
    platform_deployment deployment;
    deployment.add_model_runner("model-c", "domain-a");
    deployment.start_serving();
    deployment.runner("model-a").set_request_limit("2.1");
    deployment.runner("model-b").set_request_limit("2.7");
    const time_point named = clock::now();
    const auto answers = send_steadily(deployment, {}, 40ms, 10s);
    BOOST_TEST(most_in_window(deployment.runner("model-a"), named + 3s) <= 2.1 * 4 * 1.5 + 5);
    BOOST_TEST(most_in_window(deployment.runner("model-b"), named + 3s) <= 2.7 * 4 * 1.5 + 5);
    for (const auto& answer : answers) {
        BOOST_TEST(answer.status == 200);
    }
}

// Guards against callers that wait for limited endpoints in vain, and against endpoints that get the surplus.
BOOST_AUTO_TEST_CASE(surplus_is_refused_in_time_when_all_endpoints_are_limited)
{
    platform_deployment deployment;
    deployment.start_serving();
    deployment.runner("model-a").set_request_limit("5");
    deployment.runner("model-b").set_request_limit("5");
    const auto runs = [&] { return deployment.requests_at("model-a") + deployment.requests_at("model-b"); };
    const std::size_t earlier_runs = runs();
    const time_point named = clock::now();
    const auto answers = send_steadily(deployment, {}, 33ms, 8s);
    std::size_t served = 0;
    for (const auto& answer : answers) {
        BOOST_TEST((answer.status == 200 || answer.status == 503));
        served += answer.status == 200 ? 1 : 0;
        BOOST_TEST((answer.status == 200 || !answer.headers.at("Retry-After").empty()));
    }
    for (const char* id : {"model-a", "model-b"}) {
        BOOST_TEST(most_in_window(deployment.runner(id), named + 3s) <= 5 * 4 * 1.5 + 5);
    }
    // Both endpoints take 8 requests a second of the schedulers.
    BOOST_TEST(served >= 8 * 5);
    BOOST_TEST(served == runs() - earlier_runs);
}

// Guards against limits that outlast their end, and against values that can't be read and end one.
BOOST_AUTO_TEST_CASE(limit_ends_with_the_first_answer_of_a_run_that_names_none)
{
    platform_deployment deployment;
    deployment.start_serving();
    deployment.runner("model-b").set_request_limit("0.2");
    deployment.runner("model-a").set_request_limit("3");
    (void)send_steadily(deployment, {}, 40ms, 3s);
    const std::size_t limited = deployment.requests_at("model-a");
    BOOST_TEST(limited <= 3U * 3 + 10);
    deployment.runner("model-a").set_request_limit("some");
    (void)send_steadily(deployment, {}, 40ms, 3s);
    const std::size_t unreadable = deployment.requests_at("model-a") - limited;
    BOOST_TEST(unreadable <= 3U * 3);
    deployment.runner("model-a").set_request_limit(std::nullopt);
    (void)send_steadily(deployment, {}, 40ms, 3s);
    BOOST_TEST(deployment.requests_at("model-a") - limited - unreadable >= 3U * 10);
}

BOOST_AUTO_TEST_SUITE_END()
