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

    std::size_t resumes()
    {
        std::size_t found = 0;
        for (const char* id : {"model-a", "model-b"}) {
            for (const standin::runner_request& seen : system.runner(id).requests()) {
                found += seen.last_event.empty() ? 0 : 1;
            }
            found += system.runner(id).refused();
        }
        return found;
    }

    // Sends a stream that breaks off after its first event and is resumed at an endpoint with `fault`.
    // Returns all bytes that the caller receives.
    std::string broken_and_resumed(runner_fault fault)
    {
        for (const char* id : {"model-a", "model-b"}) {
            system.runner(id).set_resume_fault(fault);
        }
        set_faults({"model-a", "model-b"}, runner_fault::cut_in_event);
        std::string bytes = system.request_bytes({});
        set_faults({"model-a", "model-b"}, runner_fault::none);
        BOOST_TEST(resumes() > 0U);
        return bytes;
    }
};

constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

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
        set_faults({"desk-a", "desk-b"}, fault);
        (void)system.request(order);
        (void)system.request(order);
        set_faults({"desk-a", "desk-b"}, runner_fault::none);
        order.path = "/safe/1";
        BOOST_TEST(system.request(order).status == 200U);
    }
}

// Guards against the text of an endpoint's error in the middle of a caller's stream.
BOOST_FIXTURE_TEST_CASE(an_error_after_a_begun_stream_stays_out_of_it, answers_fixture)
{
    for (const runner_fault fault :
         {runner_fault::reject, runner_fault::fail, runner_fault::refuse, runner_fault::plain_answer}) {
        BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault))
        {
            const std::string bytes = broken_and_resumed(fault);
            BOOST_TEST(bytes.find("id: 1\n") != std::string::npos);
            BOOST_TEST(bytes.find("HTTP/1.1", 1) == std::string::npos);
            BOOST_TEST(bytes.find("rejected") == std::string::npos);
            BOOST_TEST(bytes.find("failed") == std::string::npos);
            BOOST_TEST(bytes.find("plain\n") == std::string::npos);
            BOOST_TEST(!bytes.ends_with(last_chunk));
        }
    }
}

// Guards against an error of the entry itself in the middle of a caller's stream.
BOOST_FIXTURE_TEST_CASE(a_refusal_after_a_begun_stream_stays_out_of_it, answers_fixture)
{
    // Nobody can resume the stream of model-a when model-b takes no requests.
    const std::function<net::task<unsigned>()> drain = [this]() -> net::task<unsigned> {
        co_return co_await system.runner("model-b").check_in(system.control_address(1), "draining");
    };
    BOOST_TEST_REQUIRE(eventually([&] { return system.threads().run<unsigned>(drain) == 200; }));
    std::this_thread::sleep_for(1s); // entries poll the list every 0.3 s
    const std::size_t before = system.requests_at("model-b");
    BOOST_TEST_REQUIRE(system.request({}).status == 200U);
    BOOST_TEST_REQUIRE(system.requests_at("model-b") == before);
    system.runner("model-a").set_faults({runner_fault::cut_in_event, runner_fault::cut_in_event});
    const std::string bytes = system.request_bytes({});
    BOOST_TEST(bytes.find("id: 1\n") != std::string::npos);
    BOOST_TEST(bytes.find("HTTP/1.1", 1) == std::string::npos);
    BOOST_TEST(bytes.find("\"error\"") == std::string::npos);
    BOOST_TEST(!bytes.ends_with(last_chunk));
}

// A stream whose events have all arrived, and that broke off before its end, is complete when the resumed one
// has no further event.
BOOST_FIXTURE_TEST_CASE(a_resumed_stream_without_further_events_is_complete, answers_fixture)
{
    BOOST_TEST(broken_and_resumed(runner_fault::no_events).ends_with(last_chunk));
}

// Guards against events that a caller receives twice because nothing names those it has already.
BOOST_FIXTURE_TEST_CASE(a_stream_without_event_ids_is_not_resumed, answers_fixture)
{
    set_faults({"model-a", "model-b"}, runner_fault::cut_without_ids);
    const std::string bytes = system.request_bytes({});
    const std::size_t first = bytes.find("data: model-");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(bytes.find("data: model-", first + 1) == std::string::npos);
    BOOST_TEST(!bytes.ends_with(last_chunk));
}

// Guards against an answer that is no event stream and is split into events all the same.
BOOST_FIXTURE_TEST_CASE(an_answer_that_is_no_stream_is_passed_on_unchanged, answers_fixture)
{
    set_faults({"model-a", "model-b"}, runner_fault::plain_answer);
    const auto answer = system.request({});
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.body == "plain\n\n\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
