#include "fleet_fixture.h"
#include "forward/crash_calls.h"
#include "forward/crash_messages.h"
#include "net/frame.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Endpoints that crash under requests with a prompt part, until such requests are refused.
struct crash_fixture : fleet_fixture {
    std::vector<policy::prompt_part> parts{0xa, 0xbad};
    time_point now = clock::now();

    forward::dispatch_result dispatch(forward::fleet& endpoints)
    {
        forward::dispatch_request value = request();
        value.parts = parts;
        return endpoints.dispatch(value, now);
    }

    void crash_three_times()
    {
        for (int i = 0; i < 3; ++i) {
            const auto found = dispatch(fleet);
            BOOST_TEST_REQUIRE(found.choice.has_value());
            now += 100ms;
            fleet.record_crash(parts, "r1", found.choice->endpoints.front().name, now - 100ms, now);
            fleet.record_end(found.choice->number, now);
            fleet.record_answer({0xa}, "r2", now);
            now += 100ms;
        }
    }

    unsigned call(const std::string& method, const std::string& target, std::string* body = nullptr)
    {
        net::http_request sent;
        sent.method = method;
        sent.target = target;
        const auto answer = forward::answer_crash_call(fleet, sent);
        if (answer && body != nullptr) {
            *body = answer->body;
        }
        return answer ? answer->status : 0;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_fleet)

// A request with a blocked part is refused at once, with the time after which one will be tried.
BOOST_FIXTURE_TEST_CASE(refuses_a_prompt_part_that_crashes_endpoints, crash_fixture)
{
    crash_three_times();
    const auto refused = dispatch(fleet);
    BOOST_TEST(!refused.choice.has_value());
    BOOST_TEST((refused.wait == 0ms));
    BOOST_TEST((refused.refusal.why == forward::dispatch_refusal::reason::crashing_prompt));
    BOOST_TEST(refused.refusal.part == 0xbadU);
    BOOST_TEST((refused.refusal.retry_after >= 15s));
    BOOST_TEST(fleet.crash_refusal(parts, now).has_value());
    BOOST_TEST(!fleet.crash_refusal({0xa}, now).has_value());
}

// While one request with a suspect part is in flight, others wait, and no longer than they may.
BOOST_FIXTURE_TEST_CASE(tries_requests_with_a_suspect_part_one_at_a_time, crash_fixture)
{
    fleet.record_crash(parts, "r1", "e1", now - 100ms, now);
    const auto first = dispatch(fleet);
    BOOST_TEST_REQUIRE(first.choice.has_value());
    const auto second = dispatch(fleet);
    BOOST_TEST(!second.choice.has_value());
    BOOST_TEST((second.wait > 0ms));
    forward::dispatch_request late = request();
    late.parts = parts;
    late.may_wait = false;
    BOOST_TEST((fleet.dispatch(late, now).wait == 0ms));
    fleet.record_first_event(first.choice->number, now);
    fleet.record_answer(parts, "r2", now);
    BOOST_TEST(dispatch(fleet).choice.has_value());
    BOOST_TEST(dispatch(fleet).choice.has_value());
}

// Guards against a sound part that is blocked because its trials run beside those of the crashing part, and
// against other requests that are lost with the endpoint of a trial.
BOOST_FIXTURE_TEST_CASE(keeps_other_requests_away_from_trials, crash_fixture)
{
    fleet.record_crash({0xbad}, "r1", "e1", now - 100ms, now);
    fleet.record_crash({0xc}, "r2", "e1", now - 100ms, now);
    parts = {0xbad};
    const auto first = dispatch(fleet);
    parts = {0xc};
    const auto second = dispatch(fleet);
    BOOST_TEST_REQUIRE(first.choice.has_value());
    BOOST_TEST_REQUIRE(second.choice.has_value());
    const std::string trial_endpoint = first.choice->endpoints.front().name;
    BOOST_TEST(second.choice->endpoints.front().name != trial_endpoint);
    fleet.record_end(second.choice->number, now);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(choose() != trial_endpoint);
    }
    fleet.record_end(first.choice->number, now);
    BOOST_TEST(choose({"e1"}) == "e2");
    BOOST_TEST(choose({"e2"}) == "e1");
}

// Guards against an entry that has just started and sends a request with a part that others know to crash
// endpoints.
BOOST_FIXTURE_TEST_CASE(waits_for_the_crash_records_of_other_entries, crash_fixture)
{
    fleet.set_crashes_known(false);
    BOOST_TEST((dispatch(fleet).wait > 0ms));
    BOOST_TEST(choose() != "none"); // a request without shared parts
    fleet.apply_crash_records({}, now);
    BOOST_TEST(dispatch(fleet).choice.has_value());
}

// An endpoint that leaves ends with the requests that it still holds.
BOOST_FIXTURE_TEST_CASE(the_end_of_a_leaving_endpoint_is_no_crash, crash_fixture)
{
    fleet.record_leaving("e1");
    fleet.record_crash(parts, "r1", "e1", now - 100ms, now);
    BOOST_TEST(fleet.crash_records(now).empty());
}

BOOST_FIXTURE_TEST_CASE(tells_other_entries_of_crashing_prompt_parts, crash_fixture)
{
    forward::fleet other{8, "b", 1.0, [](const wire::dispatch_noteT&) {}};
    fleet.set_crash_listener([&](const std::vector<policy::crash_statement>& changed) {
        const wire::frameT frame = net::make_frame(forward::to_message(changed, now));
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::frame::Pack(builder, &frame));
        const auto* received =
            flatbuffers::GetRoot<wire::frame>(builder.GetBufferPointer())->message_as_crash_records();
        other.apply_crash_records(forward::read_crash_records(*received, now), now);
    });
    crash_three_times();
    BOOST_TEST(other.crash_refusal(parts, now).has_value());
    BOOST_TEST(fleet.release_part(0xbad, now));
    BOOST_TEST(!other.crash_refusal(parts, now).has_value());
}

// Guards against two entries that tell each other of a crash and an answer at the same time without end.
BOOST_FIXTURE_TEST_CASE(entries_that_disagree_on_a_part_come_to_rest, crash_fixture)
{
    struct message {
        time_point at;
        forward::fleet* to = nullptr;
        wire::crash_recordsT content;
    };
    constexpr milliseconds delivery{2};
    std::deque<message> messages;
    forward::fleet other{8, "b", 1.0, [](const wire::dispatch_noteT&) {}};
    const auto connect = [&](forward::fleet& from, forward::fleet& to) {
        from.set_crash_listener([&](const std::vector<policy::crash_statement>& changed) {
            messages.push_back({now + delivery, &to, forward::to_message(changed, now)});
        });
    };
    connect(fleet, other);
    connect(other, fleet);
    std::size_t delivered = 0;
    const auto deliver = [&] {
        while (!messages.empty() && delivered < 200) {
            const message next = std::move(messages.front());
            messages.pop_front();
            now = std::max(now, next.at);
            flatbuffers::FlatBufferBuilder builder;
            builder.Finish(wire::crash_records::Pack(builder, &next.content));
            const auto* received = flatbuffers::GetRoot<wire::crash_records>(builder.GetBufferPointer());
            next.to->apply_crash_records(forward::read_crash_records(*received, now), now);
            ++delivered;
        }
    };
    fleet.record_crash(parts, "r1", "e1", now - 100ms, now);
    deliver();
    now += 100ms;
    fleet.record_crash(parts, "r2", "e1", now - 50ms, now);
    now += 1ms;
    other.record_answer(parts, "r3", now);
    const auto trial = dispatch(fleet);
    if (trial.choice) {
        fleet.record_end(trial.choice->number, now);
    }
    deliver();
    BOOST_TEST(messages.empty());
    BOOST_TEST(delivered < 20U);
    // Both have come to the same conclusion.
    for (int i = 0; i < 3; ++i) {
        now += 100ms;
        other.record_crash(parts, "r4", "e1", now - 50ms, now);
        deliver();
    }
    BOOST_TEST(other.crash_refusal(parts, now).has_value());
    BOOST_TEST(fleet.crash_refusal(parts, now).has_value());
}

BOOST_FIXTURE_TEST_CASE(operators_list_and_release_prompt_parts, crash_fixture)
{
    crash_three_times();
    std::string listed;
    BOOST_TEST(call("GET", "/prompt-parts", &listed) == 200U);
    BOOST_TEST(listed.find(R"("part":"bad","state":"blocked","crashes":3)") != std::string::npos, listed);
    BOOST_TEST(call("GET", "/prompt-parts/release/bad") == 405U);
    BOOST_TEST(call("POST", "/prompt-parts/release/bax") == 404U);
    BOOST_TEST(call("POST", "/prompt-parts/release/bad") == 200U);
    BOOST_TEST(call("POST", "/prompt-parts/release/bad") == 404U);
    BOOST_TEST(call("GET", "/other") == 0U);
    BOOST_TEST(dispatch(fleet).choice.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
