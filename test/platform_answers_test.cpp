#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

struct answers_fixture {
    platform_deployment system;

    answers_fixture() { system.start_serving(); }

    void set_faults(const std::vector<std::string>& ids, runner_fault fault)
    {
        for (const std::string& id : ids) {
            system.runner(id).set_faults({fault});
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_answers)

// Guards against a second run because a runner has repeated the refusal of another request.
BOOST_FIXTURE_TEST_CASE(a_refusal_of_another_request_proves_nothing, answers_fixture)
{
    for (const runner_fault fault : {runner_fault::stale_refusal, runner_fault::stale_misdirected}) {
        const std::size_t before = system.requests_at("desk-a") + system.requests_at("desk-b");
        set_faults({"desk-a", "desk-b"}, fault);
        platform_deployment::call order;
        order.path = "/once/1";
        const auto answer = system.request(order);
        BOOST_TEST(answer.status == 502U);
        BOOST_TEST(system.requests_at("desk-a") + system.requests_at("desk-b") == before + 1);
        set_faults({"desk-a", "desk-b"}, runner_fault::none);
        // What it says about the endpoint itself does not hold either.
        order.path = "/safe/1";
        BOOST_TEST(system.request(order).status == 200U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
