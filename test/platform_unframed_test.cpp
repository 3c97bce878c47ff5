#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using standin::identity_calls;
using standin::runner_fault;

namespace {

struct unframed_fixture {
    platform_deployment system;

    unframed_fixture() { system.start_serving(); }

    void set_identity_calls(identity_calls calls)
    {
        for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
            system.runner(id).set_identity_calls(calls);
        }
    }

    void set_faults(const std::vector<const char*>& ids, runner_fault fault, std::size_t count = 1)
    {
        for (const char* id : ids) {
            system.runner(id).set_faults(std::vector<runner_fault>(count, fault));
        }
    }

    // Every runner that gets the request is replaced by its next process after the first half of its answer.
    void check_replaced_processes()
    {
        set_faults({"model-a", "model-b"}, runner_fault::unframed_restart);
        const auto stream = system.request({});
        BOOST_TEST(stream.status != 200U); // both attempts of the route have ended in this way
        set_faults({"model-a", "model-b"}, runner_fault::none);
        set_faults({"desk-a", "desk-b"}, runner_fault::unframed_restart);
        platform_deployment::call order;
        order.path = "/once/1";
        BOOST_TEST(system.request(order).status == 502U);
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

} // namespace

BOOST_AUTO_TEST_SUITE(platform_unframed)

// Guards against a part of an answer that is delivered as the whole because the next process of its runner
// accepts connections by the time the end is noticed. Reports name the start of the process.
BOOST_FIXTURE_TEST_CASE(an_answer_of_a_replaced_process_is_not_complete, unframed_fixture)
{
    check_replaced_processes();
}

// The same if only the health call tells who the runner is.
BOOST_FIXTURE_TEST_CASE(a_health_call_shows_that_the_process_was_replaced, unframed_fixture)
{
    set_identity_calls(identity_calls::health);
    check_replaced_processes();
}

// The same if the next process has the id of the one before.
BOOST_FIXTURE_TEST_CASE(the_next_process_under_the_same_id_did_not_end_the_answer, unframed_fixture)
{
    for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
        system.runner(id).keep_id();
    }
    check_replaced_processes();
}

// Without a sign that the process still runs, an answer that nobody may repeat is not complete either.
BOOST_FIXTURE_TEST_CASE(an_answer_of_an_unknown_process_is_not_complete, unframed_fixture)
{
    set_identity_calls(identity_calls::none);
    check_replaced_processes();
}

// A stream goes on at another runner after the last event of a process that was replaced.
BOOST_FIXTURE_TEST_CASE(a_stream_of_a_replaced_process_goes_on_elsewhere, unframed_fixture)
{
    system.runner("model-a").set_faults({runner_fault::unframed_restart});
    bool replaced = false;
    for (int i = 0; i < 40 && !replaced; ++i) {
        const auto answer = system.request({});
        BOOST_TEST(answer.status == 200U);
        for (int id = 1; id <= 4; ++id) {
            BOOST_TEST(count(answer.body, "id: " + std::to_string(id) + "\n") == 1U);
        }
        replaced = !system.runner("model-a").crashes().empty();
    }
    BOOST_TEST(replaced);
}

// Guards against sound answers that are taken for broken ones: each is delivered after one run.
BOOST_FIXTURE_TEST_CASE(sound_answers_are_delivered_after_one_run, unframed_fixture)
{
    constexpr std::size_t requests = 20;
    for (const identity_calls calls : {identity_calls::report_and_health, identity_calls::health}) {
        set_identity_calls(calls);
        for (const char* path : {"/model/1", "/once/1", "/safe/1"}) {
            const std::vector<const char*> ids = path[1] == 'm'
                                                     ? std::vector<const char*>{"model-a", "model-b"}
                                                     : std::vector<const char*>{"desk-a", "desk-b"};
            set_faults(ids, runner_fault::unframed, requests);
            const std::size_t before = system.requests_at(ids[0]) + system.requests_at(ids[1]);
            platform_deployment::call call;
            call.path = path;
            for (std::size_t i = 0; i < requests; ++i) {
                BOOST_TEST(system.request(call, i % 2).status == 200U);
            }
            BOOST_TEST(system.requests_at(ids[0]) + system.requests_at(ids[1]) == before + requests);
        }
    }
}

// Guards against a sound answer that is taken for a broken one because its runner is full: it refuses health
// calls, and takes one a little later.
BOOST_FIXTURE_TEST_CASE(a_full_runner_is_asked_again, unframed_fixture)
{
    set_identity_calls(identity_calls::health);
    for (const char* id : {"desk-a", "desk-b"}) {
        system.runner(id).refuse_health_calls(2);
    }
    set_faults({"desk-a", "desk-b"}, runner_fault::unframed);
    platform_deployment::call order;
    order.path = "/once/1";
    BOOST_TEST(system.request(order).status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
