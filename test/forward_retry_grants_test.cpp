#include "forward/placement_messages.h"
#include "forward/shared_retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using wire::attempt_kind;

namespace {

// A scheduler of a service with three endpoints, which other entries ask.
struct scheduler {
    route::service_rule model;
    forward::fleet fleet{100, "a", 1.0, [](const wire::dispatch_noteT&) {}};
    time_point now = clock::now();
    std::uint64_t number = 0;
    std::uint32_t prompt_tokens = 5'000;

    explicit scheduler(const forward::placement_parts& parts)
    {
        fleet.set_placement_parts(parts);
        fleet.set_retry_options({0.1, 0});
        model.name = "model";
        model.engine = route::engine_rule{12, 405'000, 38, 1.31, 0.000917, 0.00213, 154, 0.162, 2048, 0.1};
        model.engine->usual_prompt_tokens = 11'702;
        model.engine->usual_answer_tokens = 1'310;
        for (int i = 1; i <= 3; ++i) {
            wire::announcementT value;
            value.endpoint = "e" + std::to_string(i);
            value.address = "127.0.0.1:" + std::to_string(i);
            value.failure_domain = "a";
            value.service = "model";
            value.born_ms = 1;
            value.slots = 12;
            fleet.on_endpoint(value.endpoint, &value);
        }
        fleet.set_scheduling(true, now);
        now += 1s;
    }

    // The request of an entry that says it has sent 100 requests and `repeats`, as its message arrives.
    forward::dispatch_result ask(attempt_kind kind, std::uint32_t repeats,
                                 const std::set<std::string>& silent = {})
    {
        forward::dispatch_request request;
        request.service = &model;
        request.time_left = 10s;
        request.model.prompt_tokens = prompt_tokens;
        request.model.output_tokens = 1'368;
        request.model.objective = 2s;
        request.model.value = 10;
        request.model.disconnect_after = 10s;
        request.attempt = kind;
        request.recent = {100, repeats};
        request.silent = silent;
        request.excluded = silent;
        flatbuffers::FlatBufferBuilder builder;
        const wire::placement_requestT message = forward::to_message(request, 1s, 200, ++number);
        builder.Finish(wire::Createplacement_request(builder, &message));
        const auto* received = flatbuffers::GetRoot<wire::placement_request>(builder.GetBufferPointer());
        return fleet.dispatch(forward::to_request(*received, model), now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_retry_grants)

// Guards against repeats beyond the budget, and against load that a refused repeat leaves.
BOOST_AUTO_TEST_CASE(grants_repeats_within_the_budget)
{
    scheduler decider({.retry_grants = true});
    BOOST_TEST(!decider.ask(attempt_kind::counted, 0).repeat_granted);
    const forward::dispatch_result granted = decider.ask(attempt_kind::repeat_silent, 2);
    BOOST_TEST((granted.choice && granted.repeat_granted));
    const forward::dispatch_result refused = decider.ask(attempt_kind::repeat_lost, 10);
    BOOST_TEST(!refused.choice);
    BOOST_TEST((refused.refusal.why == forward::dispatch_refusal::reason::retry_budget));
    BOOST_TEST(decider.fleet.notes_of({200, decider.number}).empty());
    const wire::placement_replyT reply = forward::to_message(refused, {});
    BOOST_TEST(reply.reason == static_cast<std::uint8_t>(forward::dispatch_refusal::reason::retry_budget));
}

// Guards against entries of earlier versions, or other settings, whose requests a scheduler refuses for want
// of budget, and against a scheduler that decides although its settings do not say so.
BOOST_AUTO_TEST_CASE(decides_only_where_both_sides_do)
{
    scheduler decider({.retry_grants = true});
    const forward::dispatch_result unstated = decider.ask(attempt_kind::unstated, 90);
    BOOST_TEST((unstated.choice && !unstated.repeat_granted));
    scheduler former({});
    const forward::dispatch_result undecided = former.ask(attempt_kind::repeat_silent, 90);
    BOOST_TEST((undecided.choice && !undecided.repeat_granted));
}

// Guards against requests of all other entries to an endpoint that one entry has found silent.
BOOST_AUTO_TEST_CASE(silent_endpoints_are_left_out_for_all_entries)
{
    scheduler decider({.retry_grants = true});
    (void)decider.ask(attempt_kind::repeat_silent, 0, {"e1", "e2"});
    for (int i = 0; i < 8; ++i) {
        const forward::dispatch_result found = decider.ask(attempt_kind::counted, 0);
        BOOST_TEST_REQUIRE(found.choice.has_value());
        BOOST_TEST(found.choice->endpoints.front().name == "e3");
    }
}

// Guards against requests to an endpoint where three first events are overdue already.
BOOST_AUTO_TEST_CASE(an_endpoint_with_overdue_first_events_is_left_out)
{
    for (const bool watched : {false, true}) {
        scheduler decider({.first_event_watch = watched});
        decider.prompt_tokens = 500; // not split
        std::map<std::string, int> sent;
        for (int i = 0; i < 6; ++i) {
            const forward::dispatch_result found = decider.ask(attempt_kind::unstated, 0);
            ++sent[found.choice->endpoints.front().name];
        }
        const auto most = std::max_element(sent.begin(), sent.end(),
                                           [](const auto& a, const auto& b) { return a.second < b.second; });
        BOOST_TEST_REQUIRE(most->second >= 3);
        decider.now += 2'500ms;
        std::set<std::string> others{"e1", "e2", "e3"};
        others.erase(most->first);
        std::map<std::string, int> later;
        for (int i = 0; i < 6; ++i) {
            ++later[decider.ask(attempt_kind::unstated, 0).choice->endpoints.front().name];
        }
        BOOST_TEST((later.count(most->first) != 0) == !watched);
    }
}

// Guards against schedulers and entries that together use more than the settings allow.
BOOST_AUTO_TEST_CASE(the_parts_stay_below_the_settings)
{
    settings::entry_settingsT settings;
    settings.retry_ratio = 200;
    settings.retry_slack = 300;
    settings.retry_window = 10'000;
    const policy::retry_budget_options own = forward::own_retry_options(settings, 30);
    const policy::retry_grant_options granted = forward::scheduler_retry_options(settings, 30);
    BOOST_TEST(own.share + granted.ratio <= 0.1601);
    BOOST_TEST(own.min_retries + granted.slack <= 8.001);
}

BOOST_AUTO_TEST_SUITE_END()
