#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

BOOST_AUTO_TEST_SUITE(platform_dripping)

// Guards against an endpoint that is asked again and again because answers that begin and never get on do not
// count against it.
BOOST_AUTO_TEST_CASE(an_endpoint_whose_answers_do_not_get_on_is_asked_seldom)
{
    for (const runner_fault fault : {runner_fault::dripping_chunk, runner_fault::dripping_head}) {
        BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault))
        {
            platform_deployment system;
            system.add_model_runner("model-c", "domain-a");
            system.start_serving();
            system.check_in_all();
            std::vector<runner_fault> faults;
            constexpr int answers = 20; // every second one
            faults.reserve(answers);
            for (int i = 0; i < answers; ++i) {
                faults.push_back(i % 2 == 0 ? fault : runner_fault::none);
            }
            system.runner("model-a").set_faults(faults);
            const std::size_t before = system.requests_at("model-a");
            constexpr std::size_t requests = 30;
            for (std::size_t i = 0; i < requests; ++i) {
                if (i % 10 == 0) {
                    system.check_in_all(); // they are listed for a few seconds
                }
                BOOST_TEST(system.request({}, i % 2).status == 200U);
                std::this_thread::sleep_for(100ms);
            }
            BOOST_TEST(system.requests_at("model-a") - before <= requests / 10);
        }
    }
}

// Guards against callers who have left when the end of their request is told.
BOOST_AUTO_TEST_CASE(a_request_without_an_answer_ends_before_its_deadline)
{
    platform_deployment system;
    system.start_serving();
    for (const runner_fault fault : {runner_fault::no_answer, runner_fault::dripping_chunk,
                                     runner_fault::dripping_head, runner_fault::dripping_body}) {
        system.check_in_all(); // the requests of all faults take longer than the runners are listed
        for (const char* path : {"/model/1", "/safe/1", "/once/1"}) {
            BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " " << path)
            {
                for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
                    system.runner(id).set_faults({fault});
                }
                platform_deployment::call call;
                call.path = path;
                call.deadline = 1s;
                const time_point begin = clock::now();
                const auto answer = system.request(call);
                BOOST_TEST((answer.status == 504U || answer.status == 502U), "status " << answer.status);
                BOOST_TEST((clock::now() - begin < call.deadline));
                for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
                    system.runner(id).set_faults({});
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
