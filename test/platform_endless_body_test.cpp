#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using standin::runner_fault;

BOOST_AUTO_TEST_SUITE(platform_endless_body)

// Answers of many endpoints without an end are given up before they take the memory of the entry.
BOOST_AUTO_TEST_CASE(sound_answers_arrive_beside_endless_ones)
{
    platform_deployment system;
    system.start_serving();
    platform_deployment::call call;
    call.path = "/safe/1";
    // An endless answer that is not given up within a second counts as silent, and only half of the retry
    // budget, nearly a fifth of the requests, is for silent attempts.
    for (int i = 0; i < 120; ++i) {
        BOOST_TEST(system.request(call).status == 200U);
    }
    constexpr std::size_t endless = 8;
    system.runner("desk-a").set_faults(std::vector<runner_fault>(endless, runner_fault::endless_body));
    std::vector<std::future<platform_deployment::answer>> answers;
    for (std::size_t i = 0; i < endless * 2; ++i) {
        answers.push_back(system.request_later(call));
    }
    for (auto& answer : answers) {
        BOOST_TEST(answer.get().status == 200U);
    }
}

// Guards against a safe request that waits for its timeout because the bytes of one endpoint keep coming.
BOOST_AUTO_TEST_CASE(another_endpoint_is_asked_beside_a_dripping_body)
{
    platform_deployment system;
    system.start_serving();
    system.runner("desk-a").set_faults(std::vector<runner_fault>(4, runner_fault::dripping_body));
    platform_deployment::call call;
    call.path = "/safe/1";
    for (int i = 0; i < 4; ++i) {
        const auto answer = system.request(call);
        BOOST_TEST(answer.status == 200U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
