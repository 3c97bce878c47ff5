#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

struct system_fixture {
    platform_deployment system;

    system_fixture() { system.serve(); }

    std::size_t requests(const char* first, const char* second)
    {
        return system.requests_at(first) + system.requests_at(second);
    }

    unsigned tell(const std::function<net::task<unsigned>()>& what)
    {
        return system.threads().run<unsigned>(what);
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

// Guards the whole path: a group that forms from seeds, a published configuration, check-ins, and a stream
// with the endpoint's MAC. The caller's key must not reach the endpoint.
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

// Guards against lost, doubled or partial events when an endpoint breaks off in the middle of one.
BOOST_FIXTURE_TEST_CASE(resumes_a_cut_stream_within_one_answer, system_fixture)
{
    system.runner("model-a").set_faults({runner_fault::cut_in_event});
    system.runner("model-b").set_faults({runner_fault::cut_in_event});
    const auto answer = system.request({});
    BOOST_TEST(count(answer.body, "id: 1\n") == 1U);
    BOOST_TEST(count(answer.body, "id: 2\n") == 1U);
    // Both endpoints cut, and two attempts are all that the route allows.
    BOOST_TEST(answer.status == 0U);
    system.runner("model-a").set_faults({});
    system.runner("model-b").set_faults({});
    system.runner("model-a").set_faults({runner_fault::cut_in_event});
    std::size_t whole = 0;
    for (int i = 0; i < 4; ++i) {
        const auto next = system.request({});
        whole += next.status == 200 && count(next.body, "id: ") == 4 ? 1 : 0;
    }
    BOOST_TEST(whole == 4U);
}

// Guards against a second run of what may run once: a broken answer is no proof that it has not run.
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

// Guards the promise of 503: it is given only when every endpoint has said that the request did not run.
BOOST_FIXTURE_TEST_CASE(says_not_run_only_with_proof, system_fixture)
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

// Guards against an unanswered request that is held beyond the time-out of its route.
BOOST_FIXTURE_TEST_CASE(ends_at_the_time_out_of_the_route, system_fixture)
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

// Guards against answers of other requests, answers without a MAC and second answers reaching a caller.
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

// Guards each refusal of a caller's own mistakes, and that none of them reaches an endpoint.
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
// effect, and what is read back is what was sent.
BOOST_FIXTURE_TEST_CASE(keeps_the_highest_published_version, system_fixture)
{
    const std::string put(platform::names::publish);
    const std::string get(platform::names::read_published);
    const std::string third = platform_deployment::configuration(3, "\"key-clerks\",\"key-desk\"");
    BOOST_TEST(system.control("POST", put, third).status == 200U);
    // A member that does not know the leader's address yet answers 503, which operators repeat.
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

// Guards against a revoked key that goes on working.
BOOST_FIXTURE_TEST_CASE(stops_serving_a_revoked_key, system_fixture)
{
    const std::string put(platform::names::publish);
    BOOST_TEST(system.control("POST", put, platform_deployment::configuration(2, "\"key-new\"")).status ==
               200U);
    std::this_thread::sleep_for(2s);
    BOOST_TEST(system.request({}, 0).status == 401U);
    BOOST_TEST(system.request({}, 1).status == 401U);
}

// Guards against work for endpoints that leave, and against check-ins of a dead start that undo newer ones.
BOOST_FIXTURE_TEST_CASE(sends_nothing_to_a_leaving_endpoint, system_fixture)
{
    auto& leaving = system.runner("model-a");
    const auto address = system.control_address(0);
    BOOST_TEST(tell([&] { return system.runner("model-b").check_in_with_earlier_start(address); }) == 200U);
    BOOST_TEST(tell([&] { return leaving.check_in(address, "draining"); }) == 200U);
    std::this_thread::sleep_for(2s);
    const std::size_t before = system.requests_at("model-a");
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(system.request({}, static_cast<std::size_t>(i % 2)).status == 200U);
    }
    BOOST_TEST(system.requests_at("model-a") == before);
    BOOST_TEST(tell([&] { return leaving.leave(address); }) == 200U);
}

// Guards against work for a failure domain that operators have taken out, and for its return.
BOOST_FIXTURE_TEST_CASE(obeys_evacuations, system_fixture)
{
    const std::string out = std::string(platform::names::domain_out) + "domain-a";
    const std::string in = std::string(platform::names::domain_in) + "domain-a";
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

// Guards against malformed check-ins and calls that harm what is known.
BOOST_FIXTURE_TEST_CASE(ignores_malformed_check_ins, system_fixture)
{
    const std::string path = std::string(platform::names::check_in) + "model-a";
    for (const char* body :
         {"", "{", "[]", R"({"state":"ready"})",
          R"({"backend":"model","addr":"nowhere","zone":"domain-a","slots":1,"state":"ready",
                                 "seq":99,"born":9999999999999})",
          R"({"backend":"model","addr":"127.0.0.1:1","zone":"domain-a","slots":1,
                                 "state":"dancing","seq":99,"born":9999999999999})"}) {
        BOOST_TEST(system.control("POST", path, body).status == 400U);
    }
    BOOST_TEST(system.request({}).status == 200U);
}

// Guards the group without an operator: a member that comes back with an empty folder is taken in under a new
// id, and what was acknowledged is still there.
BOOST_FIXTURE_TEST_CASE(takes_back_a_member_that_lost_its_disk, system_fixture)
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

// Guards against memory that stays reserved at one endpoint after the one that writes has died without a
// sign: the platform allows 4 s.
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

// Guards against refusals after all processes have restarted together: callers wait while the group elects a
// leader, which takes about half a second.
BOOST_FIXTURE_TEST_CASE(keeps_callers_waiting_while_all_processes_start, system_fixture)
{
    std::future<platform_deployment::answer> early;
    system.restart_members([&] { early = system.request_later({}, system.add_entry()); });
    BOOST_TEST(early.get().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
