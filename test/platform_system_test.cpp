#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

struct system_fixture {
    platform_deployment system;

    system_fixture() { system.start_serving(); }

    std::size_t requests(const char* first, const char* second)
    {
        return system.requests_at(first) + system.requests_at(second);
    }

    // A prompt that no endpoint can take is refused once the entry takes its list of endpoints for complete.
    void await_complete_list()
    {
        platform_deployment::call call;
        call.tokens = "900000,1";
        BOOST_TEST_REQUIRE(system.request(call).status == 503U);
    }

    unsigned run_task(const std::function<net::task<unsigned>()>& task)
    {
        return system.threads().run<unsigned>(task);
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

BOOST_AUTO_TEST_SUITE(platform_system)

// Tests the complete path: a group that forms from seed addresses, a published configuration, check-ins, and
// a stream with the endpoint's MAC. The caller's key must not reach the endpoint.
BOOST_FIXTURE_TEST_CASE(serves_a_stream, system_fixture)
{
    const auto answer = system.request({});
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(count(answer.body, "id: ") == 4U);
    BOOST_TEST(!answer.headers.at("Runner-Seal").empty());
    const auto seen = system.runner("model-a").requests();
    const auto other = system.runner("model-b").requests();
    const auto& last = seen.empty() ? other.back() : seen.back();
    BOOST_TEST(last.team == "clerks");
    BOOST_TEST(last.authorization.empty());
    BOOST_TEST(std::stoi(last.deadline_ms) <= 5'000);
    BOOST_TEST(last.body == "prompt");
}

// Guards against lost, duplicated or partial events when an endpoint disconnects in the middle of one.
BOOST_FIXTURE_TEST_CASE(resumes_a_cut_stream_within_one_answer, system_fixture)
{
    system.runner("model-a").set_faults({runner_fault::cut_in_event});
    system.runner("model-b").set_faults({runner_fault::cut_in_event});
    const auto answer = system.request({});
    BOOST_TEST(count(answer.body, "id: 1\n") == 1U);
    BOOST_TEST(count(answer.body, "id: 2\n") == 1U);
    // Both endpoints disconnect, and the route allows two attempts.
    BOOST_TEST(answer.status == 0U);
    system.runner("model-a").set_faults({});
    system.runner("model-b").set_faults({});
    system.runner("model-a").set_faults({runner_fault::cut_in_event});
    std::size_t complete_answers = 0;
    for (int i = 0; i < 4; ++i) {
        const auto next = system.request({});
        complete_answers += next.status == 200 && count(next.body, "id: ") == 4 ? 1 : 0;
    }
    BOOST_TEST(complete_answers == 4U);
}

// Guards against running a non-repeatable request twice: a broken answer does not prove that it has not run.
BOOST_FIXTURE_TEST_CASE(runs_an_unrepeatable_request_once, system_fixture)
{
    platform_deployment::call order;
    order.path = "/once/1";
    for (const runner_fault fault :
         {runner_fault::reset, runner_fault::wrong_request_id, runner_fault::no_mac}) {
        const std::size_t before = requests("desk-a", "desk-b");
        system.runner("desk-a").set_faults({fault});
        system.runner("desk-b").set_faults({fault});
        const auto answer = system.request(order);
        BOOST_TEST(answer.status == 502U);
        BOOST_TEST(requests("desk-a", "desk-b") == before + 1);
        system.runner("desk-a").set_faults({});
        system.runner("desk-b").set_faults({});
    }
}

// Guards against a false 503: it may be sent only if every endpoint reported that the request did not run.
BOOST_FIXTURE_TEST_CASE(answers_503_only_if_the_request_did_not_run, system_fixture)
{
    platform_deployment::call order;
    order.path = "/once/1";
    const std::size_t before = requests("desk-a", "desk-b");
    system.runner("desk-a").set_faults({runner_fault::refuse});
    system.runner("desk-b").set_faults({runner_fault::refuse});
    const auto refused = system.request(order);
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(!refused.headers.at("Retry-After").empty());
    BOOST_TEST(requests("desk-a", "desk-b") == before);
    const auto served = system.request(order);
    BOOST_TEST(served.status == 200U);
}

// Guards against an unanswered request that is held beyond the timeout of its route.
BOOST_FIXTURE_TEST_CASE(ends_at_the_route_timeout, system_fixture)
{
    platform_deployment::call order;
    order.path = "/once/1";
    system.runner("desk-a").set_faults({runner_fault::no_answer});
    system.runner("desk-b").set_faults({runner_fault::no_answer});
    const time_point begin = clock::now();
    const auto answer = system.request(order);
    BOOST_TEST((answer.status == 504U || answer.status == 502U));
    BOOST_TEST((clock::now() - begin < 2s));
    BOOST_TEST(eventually(
        [&] { return system.runner("desk-a").cancelled() + system.runner("desk-b").cancelled() == 1; }));
}

// Guards against answers of other requests, answers without a MAC and second answers that reach a caller.
BOOST_FIXTURE_TEST_CASE(delivers_only_the_answer_of_the_request, system_fixture)
{
    platform_deployment::call check;
    check.path = "/safe/1";
    check.body = "stock";
    for (const runner_fault fault : {runner_fault::wrong_request_id, runner_fault::no_mac, runner_fault::fail,
                                     runner_fault::extra_answer, runner_fault::reset}) {
        system.runner("desk-a").set_faults({fault});
        const auto first = system.request(check);
        const auto second = system.request(check);
        BOOST_TEST(first.status == 200U);
        BOOST_TEST(second.status == 200U);
        BOOST_TEST(first.body == "ok stock");
        BOOST_TEST(second.body == "ok stock");
        system.runner("desk-a").set_faults({});
    }
}

// Guards against invalid requests that reach an endpoint: each is refused with its own status.
BOOST_FIXTURE_TEST_CASE(refuses_what_the_configuration_does_not_allow, system_fixture)
{
    const std::size_t before = requests("model-a", "model-b");
    platform_deployment::call call;
    call.key = "unknown";
    BOOST_TEST(system.request(call).status == 401U);
    call.key = "";
    BOOST_TEST(system.request(call).status == 401U);
    call.key = "key-clerks";
    call.path = "/nowhere/1";
    BOOST_TEST(system.request(call).status == 404U);
    call.path = "/model/1";
    call.tokens = "many";
    BOOST_TEST(system.request(call).status == 400U);
    call.tokens = "1000,100";
    call.body = std::string(200'000, 'x');
    BOOST_TEST(system.request(call).status == 413U);
    BOOST_TEST(requests("model-a", "model-b") == before);
    BOOST_TEST(system.request({}).status == 200U);
}

// Guards the configuration calls: invalid documents change nothing, older versions are acknowledged without
// effect, and a document is read back unchanged.
BOOST_FIXTURE_TEST_CASE(keeps_the_highest_published_version, system_fixture)
{
    const std::string put(platform::names::publish);
    const std::string get(platform::names::read_published);
    const std::string third = platform_deployment::configuration(3, "\"key-clerks\",\"key-desk\"");
    BOOST_TEST(system.control("POST", put, third).status == 200U);
    // A member that does not know the leader's address yet answers 503; operators retry then.
    BOOST_TEST(eventually(
        [&] { return system.control("POST", put, platform_deployment::configuration(2), 1).status == 200; }));
    BOOST_TEST(eventually([&] { return system.control("POST", put, third, 2).status == 200; }));
    BOOST_TEST(system.control("POST", put, third.substr(0, third.size() / 2)).status == 400U);
    std::string unknown = platform_deployment::configuration(9);
    unknown.replace(unknown.find("\"backend\":\"model\""), 17, "\"backend\":\"other\"");
    BOOST_TEST(system.control("POST", put, unknown).status == 400U);
    BOOST_TEST(eventually([&] {
        const auto read = system.control("GET", get, "", 2);
        return read.status == 200 && read.body == third;
    }));
    platform_deployment::call call;
    call.key = "key-desk";
    BOOST_TEST(eventually([&] { return system.request(call, 0).status == 200; }));
    BOOST_TEST(eventually([&] { return system.request(call, 1).status == 200; }));
}

// Guards against a revoked key that still works.
BOOST_FIXTURE_TEST_CASE(stops_serving_a_revoked_key, system_fixture)
{
    const std::string put(platform::names::publish);
    BOOST_TEST(system.control("POST", put, platform_deployment::configuration(2, "\"key-new\"")).status ==
               200U);
    std::this_thread::sleep_for(2s);
    BOOST_TEST(system.request({}, 0).status == 401U);
    BOOST_TEST(system.request({}, 1).status == 401U);
}

// Guards against dispatching to an endpoint that drains, and against late check-ins of an earlier start of an
// endpoint that override newer ones.
BOOST_FIXTURE_TEST_CASE(dispatches_nothing_to_a_draining_endpoint, system_fixture)
{
    auto& draining = system.runner("model-a");
    const auto address = system.control_address(0);
    BOOST_TEST(run_task([&] { return system.runner("model-b").check_in_with_earlier_start(address); }) ==
               200U);
    BOOST_TEST(run_task([&] { return draining.check_in(address, "draining"); }) == 200U);
    std::this_thread::sleep_for(2s);
    const std::size_t before = system.requests_at("model-a");
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(system.request({}, static_cast<std::size_t>(i % 2)).status == 200U);
    }
    BOOST_TEST(system.requests_at("model-a") == before);
    BOOST_TEST(run_task([&] { return draining.leave(address); }) == 200U);
}

// A runner that announces in an answer that it leaves gets nothing more from that entry, although control
// members still list it as ready.
BOOST_FIXTURE_TEST_CASE(dispatches_nothing_after_an_answer_that_announces_leaving, system_fixture)
{
    system.runner("model-a").set_faults({runner_fault::leaving});
    system.runner("model-b").set_faults({runner_fault::leaving});
    platform_deployment::answer first = system.request({});
    BOOST_TEST(first.status == 200U);
    const std::string leaving = system.requests_at("model-a") != 0 ? "model-a" : "model-b";
    const std::string other = leaving == "model-a" ? "model-b" : "model-a";
    system.runner(other).set_faults({});
    const std::size_t before = system.requests_at(leaving);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(system.request({}).status == 200U);
    }
    BOOST_TEST(system.requests_at(leaving) == before);
}

// A runner that refuses with a time to return gets nothing from that entry until then.
BOOST_FIXTURE_TEST_CASE(honours_the_time_to_return_of_a_refusing_endpoint, system_fixture)
{
    await_complete_list();
    for (const char* name : {"model-a", "model-b"}) {
        system.runner(name).set_faults({runner_fault::refuse_for_2s, runner_fault::refuse_for_2s});
    }
    const std::size_t before = system.requests_at("model-a") + system.requests_at("model-b");
    const auto begin = verbena::clock::now();
    const auto refused = [&] {
        return std::min<std::size_t>(system.runner("model-a").refused(), 1) +
               std::min<std::size_t>(system.runner("model-b").refused(), 1);
    };
    const bool both_refused = eventually([&] {
        const platform_deployment::answer answer = system.request({});
        BOOST_TEST(answer.status == 503U, answer.body);
        BOOST_TEST(answer.headers.contains("Retry-After"));
        return refused() == 2;
    });
    BOOST_TEST(both_refused);
    const std::size_t refusals = system.runner("model-a").refused() + system.runner("model-b").refused();
    BOOST_TEST(system.request({}).status == 503U);
    BOOST_TEST(system.runner("model-a").refused() + system.runner("model-b").refused() == refusals);
    BOOST_TEST(system.requests_at("model-a") + system.requests_at("model-b") == before);
    for (const char* name : {"model-a", "model-b"}) {
        system.runner(name).set_faults({});
    }
    BOOST_TEST(eventually([&] { return system.request({}).status == 200U; }));
    BOOST_TEST((verbena::clock::now() - begin >= 2s));
}

// Bytes that are no answer, without end: the endpoint is given up, another one answers, and the connection is
// closed.
BOOST_FIXTURE_TEST_CASE(gives_up_endless_and_dripping_answers, system_fixture)
{
    for (const runner_fault fault :
         {runner_fault::endless_head, runner_fault::endless_event, runner_fault::drip}) {
        for (const char* name : {"model-a", "model-b"}) {
            system.runner(name).set_faults({fault});
        }
        platform_deployment::call call;
        call.deadline = 8'000ms;
        const auto begin = verbena::clock::now();
        const platform_deployment::answer answer = system.request(call);
        // The second endpoint may have the same fault, and two attempts are allowed.
        BOOST_TEST((answer.status == 200U || answer.status == 502U || answer.status == 0U));
        const auto taken =
            std::chrono::duration_cast<std::chrono::milliseconds>(verbena::clock::now() - begin);
        BOOST_TEST(taken.count() < 6'000,
                   "fault " << static_cast<int>(fault) << " took " << taken.count() << " ms");
        for (const char* name : {"model-a", "model-b"}) {
            system.runner(name).set_faults({});
        }
        BOOST_TEST(eventually([&] { return system.request({}).status == 200U; }));
    }
}

// An answer may have neither a length nor chunks and end with its connection.
BOOST_FIXTURE_TEST_CASE(delivers_unframed_answers, system_fixture)
{
    for (const char* name : {"model-a", "model-b", "desk-a", "desk-b"}) {
        system.runner(name).set_faults({runner_fault::unframed, runner_fault::unframed});
    }
    platform_deployment::call check;
    check.path = "/safe/1";
    for (int i = 0; i < 2; ++i) {
        const auto stream = system.request({});
        BOOST_TEST(stream.status == 200U);
        BOOST_TEST(count(stream.body, "id: ") == 4U);
        const auto plain = system.request(check);
        BOOST_TEST(plain.status == 200U);
        BOOST_TEST(plain.body == "ok prompt");
    }
}

// Guards against a part of an unframed answer that is delivered as the whole: a stream that ends inside an
// event or with a reset has been broken off, and is resumed.
BOOST_FIXTURE_TEST_CASE(resumes_unframed_answers_that_break_off, system_fixture)
{
    for (const runner_fault fault : {runner_fault::unframed_cut, runner_fault::unframed_reset}) {
        system.runner("model-a").set_faults({fault});
        system.runner("model-b").set_faults({});
        for (int i = 0; i < 4; ++i) {
            const auto stream = system.request({});
            BOOST_TEST(stream.status == 200U);
            BOOST_TEST(count(stream.body, "id: ") == 4U, stream.body);
        }
    }
    platform_deployment::call check;
    check.path = "/safe/1";
    system.runner("desk-a").set_faults({runner_fault::unframed_reset});
    for (int i = 0; i < 4; ++i) {
        const auto plain = system.request(check);
        BOOST_TEST(plain.status == 200U);
        BOOST_TEST(plain.body == "ok prompt");
    }
}

// Guards against a part of an unframed answer that is delivered as the whole when its endpoint crashes: the
// connection then ends like that of a complete answer.
BOOST_FIXTURE_TEST_CASE(resumes_unframed_answers_of_a_crashed_endpoint, system_fixture)
{
    platform_deployment::call check;
    check.path = "/safe/1";
    system.runner("model-a").set_faults({runner_fault::unframed_crash});
    system.runner("desk-a").set_faults({runner_fault::unframed_crash});
    for (int i = 0; i < 4; ++i) {
        const auto stream = system.request({});
        BOOST_TEST(stream.status == 200U);
        BOOST_TEST(count(stream.body, "id: ") == 4U, stream.body);
        const auto plain = system.request(check);
        BOOST_TEST(plain.status == 200U);
        BOOST_TEST(plain.body == "ok prompt");
    }
    BOOST_TEST(system.runner("model-a").crashes().size() == 1U);
    BOOST_TEST(system.runner("desk-a").crashes().size() == 1U);
}

// Guards against dispatching to a failure domain that operators have evacuated, and checks that it is used
// again afterwards.
BOOST_FIXTURE_TEST_CASE(obeys_evacuations, system_fixture)
{
    const std::string out = std::string(platform::names::start_evacuation) + "domain-a";
    const std::string in = std::string(platform::names::end_evacuation) + "domain-a";
    BOOST_TEST(system.control("POST", out, "").status == 200U);
    std::this_thread::sleep_for(2s);
    const std::size_t before = system.requests_at("model-a");
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(system.request({}, static_cast<std::size_t>(i % 2)).status == 200U);
    }
    BOOST_TEST(system.requests_at("model-a") == before);
    BOOST_TEST(system.control("POST", in, "", 1).status == 200U);
    BOOST_TEST(eventually([&] {
        system.request({});
        return system.requests_at("model-a") > before;
    }));
}

// Guards recovery without an operator: a member that restarts with an empty folder rejoins under a new id,
// and the acknowledged configuration is still available.
BOOST_FIXTURE_TEST_CASE(readmits_a_member_that_lost_its_disk, system_fixture)
{
    const std::string put(platform::names::publish);
    const std::string second = platform_deployment::configuration(2);
    BOOST_TEST(system.control("POST", put, second).status == 200U);
    for (const std::size_t lost : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
        system.lose_disk(lost);
        BOOST_TEST(eventually([&] { return system.voters(lost) == 3; }));
        BOOST_TEST(eventually([&] {
            const auto read = system.control("GET", std::string(platform::names::read_published), "", lost);
            return read.status == 200 && read.body == second;
        }));
    }
    BOOST_TEST(system.request({}).status == 200U);
}

// Guards against memory that stays reserved at one endpoint after the decoding endpoint has stopped
// responding without an error. The platform allows 4 s.
BOOST_FIXTURE_TEST_CASE(frees_reserved_memory_of_a_silent_endpoint, system_fixture)
{
    system.runner("model-a").set_faults({runner_fault::no_answer});
    system.runner("model-b").set_faults({runner_fault::no_answer});
    platform_deployment::call call;
    call.tokens = "235000,100";
    call.deadline = 15s;
    const time_point begin = clock::now();
    system.request(call);
    std::optional<time_point> freed;
    BOOST_TEST_REQUIRE(eventually([&] {
        for (const char* id : {"model-a", "model-b"}) {
            for (const standin::runner_order& order : system.runner(id).orders()) {
                if (order.body.find("release") != std::string::npos && !freed) {
                    freed = order.at;
                }
            }
        }
        return freed.has_value();
    }));
    BOOST_TEST((*freed - begin < 4s));
}

// Guards against refusals after all processes have restarted together: requests wait while the group elects a
// leader, which takes about half a second.
BOOST_FIXTURE_TEST_CASE(holds_requests_while_all_processes_start, system_fixture)
{
    std::future<platform_deployment::answer> early;
    system.restart_members([&] { early = system.request_later({}, system.add_entry()); });
    BOOST_TEST(early.get().status == 200U);
}

// Guards against refusals for want of endpoints that have not checked in yet since the control members
// started.
BOOST_AUTO_TEST_CASE(holds_requests_until_the_list_of_endpoints_is_complete)
{
    platform_deployment system;
    BOOST_TEST_REQUIRE(eventually([&] {
        return system
                   .control("POST", std::string(platform::names::publish),
                            platform_deployment::configuration(1))
                   .status == 200;
    }));
    BOOST_TEST_REQUIRE(eventually([&] { return system.check_in("model-a", 1); }));
    const std::size_t entry = system.add_entry();
    platform_deployment::call call;
    call.tokens = "235000,100"; // needs the memory of two endpoints
    auto answer = system.request_later(call, entry);
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(eventually([&] { return system.check_in("model-b", 1); }));
    BOOST_TEST(answer.get().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
