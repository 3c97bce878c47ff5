#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const std::string crashing_part = "bad0bad0";

// Time after the fifth crash from which on hardly any request with the part may reach an endpoint.
constexpr auto stability_window = 3s;
constexpr std::size_t tolerated_crashes = 5;
constexpr std::size_t tolerated_requests = 3;

// Eight model endpoints in two failure domains, all of which crash under one prompt part, and three entries.
struct crash_fixture {
    platform_deployment system;
    std::vector<std::string> runners{"model-a", "model-b"};
    std::size_t next_own_part = 1;

    struct sent_request {
        time_point at;
        bool bad = false;
        std::future<platform_deployment::answer> answer;
    };
    std::vector<sent_request> sent;

    crash_fixture()
    {
        for (const char* id : {"model-c", "model-d", "model-e", "model-f", "model-g", "model-h"}) {
            runners.emplace_back(id);
            system.add_model_runner(id, runners.size() % 2 == 0 ? "domain-b" : "domain-a", 40ms);
        }
        system.start_serving();
        system.add_entry({}, "domain-b");
        BOOST_TEST_REQUIRE(eventually([this] { return system.request({}, 2).status == 200; }));
        for (const std::string& id : runners) {
            system.runner(id).set_crash({crashing_part, system.control_address(1), 400ms});
        }
    }

    // Requests of all entries; those with the crashing part share their first part with the others.
    void send(bool bad, std::size_t entry)
    {
        platform_deployment::call call;
        const std::string own = std::to_string(next_own_part++);
        call.prompt_parts = "aaaa:40," + (bad ? crashing_part + ":100," : std::string()) + own + ":860";
        sent.push_back({clock::now(), bad, system.request_later(call, entry)});
    }

    // Sends requests with the crashing part, and sound ones, until an entry refuses them.
    void await_block()
    {
        platform_deployment::call call;
        call.prompt_parts = "aaaa:40," + crashing_part + ":100,1:860";
        call.deadline = 1s;
        platform_deployment::call sound;
        sound.prompt_parts = "aaaa:40,2:960";
        BOOST_TEST_REQUIRE(eventually([&] {
            system.request(sound, 0);
            return system.request(call, 0).status == 503;
        }));
    }

    void send_for(std::chrono::milliseconds time, bool with_bad)
    {
        const time_point end = clock::now() + time;
        for (std::size_t i = 0; clock::now() < end; ++i) {
            if (with_bad) {
                send(true, i % 3);
            }
            send(false, (i + 1) % 3);
            std::this_thread::sleep_for(60ms);
        }
    }

    std::vector<time_point> crashes()
    {
        std::vector<time_point> found;
        for (const std::string& id : runners) {
            const std::vector<time_point> own = system.runner(id).crashes();
            found.insert(found.end(), own.begin(), own.end());
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    std::size_t bad_requests_at_runners_after(time_point time)
    {
        std::size_t count = 0;
        for (const std::string& id : runners) {
            for (const standin::runner_request& request : system.runner(id).requests()) {
                const bool bad = request.prompt_parts.find(crashing_part) != std::string::npos;
                count += bad && request.received > time ? 1 : 0;
            }
        }
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_crash)

// Guards against requests with one prompt part that end endpoint after endpoint.
BOOST_FIXTURE_TEST_CASE(few_endpoints_crash_under_one_prompt_part, crash_fixture)
{
    send_for(500ms, false);
    send_for(8s, true);
    const std::vector<time_point> found = crashes();
    BOOST_TEST_MESSAGE("crashes: " << found.size());
    if (found.size() >= tolerated_crashes) {
        const time_point limit = found[tolerated_crashes - 1] + stability_window;
        BOOST_TEST(bad_requests_at_runners_after(limit) <= tolerated_requests);
    }
    std::size_t sound = 0;
    std::size_t served = 0;
    std::size_t refused_in_time = 0;
    std::size_t bad = 0;
    const time_point settled = found.empty() ? time_point{} : found.front() + 2 * stability_window;
    for (sent_request& request : sent) {
        const platform_deployment::answer answer = request.answer.get();
        if (request.at < settled) {
            continue;
        }
        if (request.bad) {
            ++bad;
            refused_in_time += answer.status == 503 && !answer.headers.at("Retry-After").empty() ? 1 : 0;
        } else {
            ++sound;
            served += answer.status == 200 ? 1 : 0;
        }
    }
    BOOST_TEST(sound >= 20U);
    BOOST_TEST(served * 10 >= sound * 9);
    BOOST_TEST(refused_in_time + tolerated_requests >= bad);
}

// Guards against an entry that starts later and learns of the part by crashes of its own.
BOOST_FIXTURE_TEST_CASE(an_entry_that_starts_later_knows_the_part, crash_fixture)
{
    await_block();
    const std::size_t late = system.add_entry({}, "domain-b");
    BOOST_TEST_REQUIRE(eventually([&] { return system.request({}, late).status == 200; }));
    const std::size_t before = crashes().size();
    for (int i = 0; i < 10; ++i) {
        send(true, late);
        send(false, late);
    }
    for (sent_request& request : sent) {
        const platform_deployment::answer answer = request.answer.get();
        BOOST_TEST(answer.status == (request.bad ? 503U : 200U));
        if (request.bad) {
            BOOST_TEST(std::stod(answer.headers.at("Retry-After")) > 10);
            BOOST_TEST(answer.body.find(crashing_part) != std::string::npos);
        }
    }
    BOOST_TEST(crashes().size() == before);
}

// Guards against blocking a part because single connections break while their endpoints live.
BOOST_FIXTURE_TEST_CASE(broken_connections_alone_block_no_part, crash_fixture)
{
    platform_deployment::call call;
    call.prompt_parts = "bbbb:40,cccc:10,1:860";
    for (int i = 0; i < 10; ++i) {
        for (const std::string& id : runners) {
            system.runner(id).set_faults({standin::runner_fault::reset, standin::runner_fault::reset});
        }
        BOOST_TEST(system.request(call, 0).status == 502U);
    }
    for (const std::string& id : runners) {
        system.runner(id).set_faults({});
    }
    BOOST_TEST(system.request(call, 0).status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
