#include "platform_fixture.h"
#include "request_windows.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Sends requests at a steady rate through all entries in turn and waits for the answers.
std::vector<platform_deployment::answer> send_steadily(platform_deployment& deployment,
                                                       const platform_deployment::call& spec,
                                                       milliseconds interval, milliseconds duration)
{
    std::vector<std::future<platform_deployment::answer>> pending;
    const time_point end = clock::now() + duration;
    for (std::size_t i = 0; clock::now() < end; ++i) {
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

BOOST_AUTO_TEST_SUITE_END()
