#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

constexpr std::size_t retries_at_least = 14; // of an entry within 10 s, with the settings of the deployment

struct resume_fixture {
    platform_deployment system;

    resume_fixture() { system.start_serving(); }

    void set_faults(const std::string& id, std::size_t count, runner_fault fault)
    {
        system.runner(id).set_faults(std::vector<runner_fault>(count, fault));
    }

    // Lets streams break off until the entry allows no further retry.
    void use_up_retry_budget()
    {
        set_faults("model-a", 2 * retries_at_least, runner_fault::cut_in_event);
        set_faults("model-b", 2 * retries_at_least, runner_fault::cut_in_event);
        std::vector<std::future<platform_deployment::answer>> broken;
        for (std::size_t i = 0; i < retries_at_least; ++i) {
            broken.push_back(system.request_later({}));
        }
        for (auto& answer : broken) {
            answer.get();
        }
        set_faults("model-a", 1, runner_fault::cut_in_event);
        set_faults("model-b", 1, runner_fault::cut_in_event);
    }
};

std::string event_ids(const std::string& body)
{
    std::string ids;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        ids += line.starts_with("id: ") ? line.substr(4) : "";
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(forward_resume)

// Guards against streams that end because the retry budget is used up at the moment at which they break off.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_waits_for_the_retry_budget, resume_fixture)
{
    use_up_retry_budget();
    auto broken = system.request_later({});
    std::this_thread::sleep_for(500ms);
    set_faults("model-a", 0, runner_fault::none);
    set_faults("model-b", 0, runner_fault::none);
    // The share of the requests that may be retried grows beyond the retries so far.
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST_REQUIRE(system.request({}).status == 200U);
    }
    const platform_deployment::answer answer = broken.get();
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(event_ids(answer.body) == "1234");
}

// Guards against streams that end because the only other endpoint wants no requests for a short time.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_waits_for_an_endpoint, resume_fixture)
{
    // The second entry does not schedule the requests of its failure domain itself.
    for (const std::size_t entry : {0U, 1U}) {
        std::this_thread::sleep_for(3s); // after that the entry takes the list of endpoints for complete
        system.check_in_all();
        const std::size_t refused = system.runner("model-a").refused();
        set_faults("model-a", 1, runner_fault::refuse_for_2s);
        BOOST_TEST_REQUIRE(system.request({}, entry).status == 200U);
        BOOST_TEST_REQUIRE(system.runner("model-a").refused() == refused + 1);
        set_faults("model-b", 1, runner_fault::cut_in_event);
        const platform_deployment::answer answer = system.request({}, entry);
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(event_ids(answer.body) == "1234");
        BOOST_TEST(answer.body.find("data: model-b\n") < answer.body.find("data: model-a\n"));
    }
}

// Guards against streams that end because the only other endpoint had no room when it was asked before.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_has_refused_resumes_a_broken_stream, resume_fixture)
{
    std::this_thread::sleep_for(3s); // after that the entry takes the list of endpoints for complete
    set_faults("model-a", 1, runner_fault::refuse);
    set_faults("model-b", 1, runner_fault::cut_in_event);
    const platform_deployment::answer refused_first = system.request({});
    BOOST_TEST(event_ids(refused_first.body) == "1234");
    BOOST_TEST(system.runner("model-a").refused() == 1U);

    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).set_resume_fault(runner_fault::refuse);
        set_faults(id, 1, runner_fault::cut_in_event);
    }
    auto refused_later = system.request_later({});
    std::this_thread::sleep_for(200ms);
    for (const char* id : {"model-a", "model-b"}) {
        system.runner(id).set_resume_fault(runner_fault::none);
        set_faults(id, 0, runner_fault::none);
    }
    BOOST_TEST(event_ids(refused_later.get().body) == "1234");
    BOOST_TEST(system.runner("model-a").refused() + system.runner("model-b").refused() > 1U);
}

// Guards against streams that end because no control member confirms the configuration for a few seconds.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_waits_for_a_confirmed_configuration, resume_fixture)
{
    std::string patient = platform_deployment::configuration(2);
    for (const auto& [from, to] : {std::pair{"\"timeout_ms\":6000", "\"timeout_ms\":15000"},
                                   std::pair{"\"gap_target_ms\":300", "\"gap_target_ms\":1500"}}) {
        patient.replace(patient.find(from), std::string(from).size(), to);
    }
    BOOST_TEST_REQUIRE(eventually([&] {
        return system.control("POST", std::string(platform::names::publish), patient).status == 200;
    }));
    std::this_thread::sleep_for(1s); // entries poll the configuration every 0.3 s
    std::future<platform_deployment::answer> broken;
    const time_point last_confirmed = clock::now();
    system.restart_members([&] {
        // The entry acts on a configuration for 2.5 s after its last confirmation.
        const time_point sent = last_confirmed + 2s;
        std::this_thread::sleep_for(std::max(sent - clock::now(), clock::duration::zero()));
        for (const char* id : {"model-a", "model-b"}) {
            system.runner(id).set_pause(1'500ms);
            set_faults(id, 1, runner_fault::pause_and_cut);
        }
        platform_deployment::call call;
        call.deadline = 15s;
        broken = system.request_later(call);
        std::this_thread::sleep_for(1s);
        set_faults("model-a", 0, runner_fault::none);
        set_faults("model-b", 0, runner_fault::none);
        std::this_thread::sleep_for(1s);
    });
    const platform_deployment::answer answer = broken.get();
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(event_ids(answer.body) == "1234");
}

// Guards against begun streams that wait although no endpoint is left, and requests without an answer that
// wait like them.
BOOST_AUTO_TEST_CASE(only_begun_answers_wait_for_an_endpoint_that_is_left)
{
    forward::fleet fleet(7, "a", 1.0, [](const wire::dispatch_noteT&) {});
    for (const char* name : {"e1", "e2"}) {
        wire::announcementT value;
        value.endpoint = name;
        value.address = std::string("127.0.0.1:900") + name[1];
        value.failure_domain = "a";
        value.service = "desk";
        value.born_ms = 1;
        value.incarnation = 1;
        value.slots = 6;
        fleet.on_endpoint(name, &value);
    }
    route::service_rule desk;
    desk.name = "desk";
    forward::dispatch_request request;
    request.service = &desk;
    request.time_left = 2s;
    request.model.objective = 300ms;
    request.excluded = {"e1"};
    const time_point now = clock::now();
    fleet.record_retry_after("e2", 1s, now);
    BOOST_TEST((fleet.dispatch(request, now).wait == 0ms));
    BOOST_TEST(fleet.has_endpoint_left("desk", {"e1"}, now));
    BOOST_TEST(!fleet.has_endpoint_left("desk", {"e1", "e2"}, now));
    BOOST_TEST(!fleet.has_endpoint_left("model", {}, now));
    BOOST_TEST(fleet.dispatch(request, now + 1s).choice.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
