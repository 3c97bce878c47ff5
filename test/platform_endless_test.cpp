#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

// Bytes that are no answer, without an end, at all endpoints of a service.
struct endless_fixture {
    platform_deployment system;

    endless_fixture() { system.start_serving(); }

    void set_faults(const std::vector<const char*>& ids, runner_fault fault, std::size_t count = 1)
    {
        for (const char* id : ids) {
            system.runner(id).set_faults(std::vector<runner_fault>(count, fault));
        }
    }

    std::size_t cancelled()
    {
        std::size_t found = 0;
        for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
            found += system.runner(id).cancelled();
        }
        return found;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_endless)

// Guards against an entry that holds what can't become a part of an answer, as long as its sender goes on:
// each connection is closed at once, and the request is answered long before its deadline.
BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_chunk_are_not_held, endless_fixture)
{
    for (const runner_fault fault : {runner_fault::endless_chunk, runner_fault::endless_trailer}) {
        for (const char* path : {"/model/1", "/once/1", "/safe/1"}) {
            BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " " << path)
            {
                const std::size_t before = cancelled();
                set_faults({"model-a", "model-b", "desk-a", "desk-b"}, fault);
                platform_deployment::call call;
                call.path = path;
                const time_point begin = clock::now();
                const auto answer = system.request(call);
                BOOST_TEST((answer.status == 502U || answer.status == 0U));
                BOOST_TEST((clock::now() - begin < 800ms));
                BOOST_TEST(eventually([&] { return cancelled() > before; }));
                set_faults({"model-a", "model-b", "desk-a", "desk-b"}, runner_fault::none);
            }
        }
    }
    BOOST_TEST(eventually([&] { return system.request({}).status == 200; }));
}

// Guards against a call for a reservation that never ends, and with it the request that needs the memory.
BOOST_FIXTURE_TEST_CASE(a_reservation_without_an_end_does_not_hold_its_request, endless_fixture)
{
    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).set_endless_orders(true);
    }
    platform_deployment::call call;
    call.tokens = "235000,100"; // needs the memory of two endpoints
    const time_point begin = clock::now();
    const auto answer = system.request(call);
    BOOST_TEST((answer.status == 503U || answer.status == 504U));
    BOOST_TEST((clock::now() - begin < 6'500ms)); // the timeout of the route, and half a second
    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).set_endless_orders(false);
    }
    BOOST_TEST(eventually([&] { return system.request(call).status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
