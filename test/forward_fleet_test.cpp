#include "fleet_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(forward_fleet)

// Covers each condition under which an endpoint gets no work.
BOOST_FIXTURE_TEST_CASE(excludes_unusable_endpoints, fleet_fixture)
{
    BOOST_TEST(choose() == "e1");
    BOOST_TEST(choose({"e1"}) == "e2");
    BOOST_TEST(choose({"e1", "e2"}) == "none");
    fleet.set_domains_out({"a"});
    BOOST_TEST(choose() == "e2");
    fleet.set_domains_out({});
    wire::announcementT leaving = make_endpoint("e1", "a");
    leaving.leaving = true;
    fleet.on_endpoint("e1", &leaving);
    BOOST_TEST(choose() == "e2");
    fleet.record_health("e2", forward::attempt_health::misdirected, clock::now());
    BOOST_TEST(choose() == "none");
    // A restart of the endpoint clears its state.
    add("e2", "b", 2);
    BOOST_TEST(choose() == "e2");
}

// When all endpoints are in backoff, requests must still be sent to one of them instead of being refused.
BOOST_FIXTURE_TEST_CASE(uses_endpoints_in_backoff_when_there_are_no_others, fleet_fixture)
{
    fleet.record_health("e1", forward::attempt_health::unreachable, clock::now());
    BOOST_TEST(choose() == "e2");
    fleet.record_health("e2", forward::attempt_health::unreachable, clock::now());
    BOOST_TEST(choose() != "none");
    fleet.record_health("e1", forward::attempt_health::good, clock::now());
    BOOST_TEST(choose() == "e1");
}

// Control members that have just started list no endpoints until the next announcements.
BOOST_FIXTURE_TEST_CASE(keeps_unlisted_endpoints_for_the_grace_period, fleet_fixture)
{
    fleet.on_endpoint("e1", nullptr);
    fleet.on_endpoint("e2", nullptr);
    BOOST_TEST(choose() != "none");
}

// An entry that has just started knows only some of the endpoints.
BOOST_FIXTURE_TEST_CASE(does_not_refuse_while_endpoints_may_be_missing, fleet_fixture)
{
    const time_point now = clock::now();
    fleet.set_complete_at(now + 2s);
    forward::dispatch_request value = request();
    value.excluded = {"e1", "e2"};
    BOOST_TEST((fleet.dispatch(value, now).wait > 0ms));
    add("e3", "a");
    BOOST_TEST(fleet.dispatch(value, now).choice.has_value());
    value.excluded.insert("e3");
    BOOST_TEST((fleet.dispatch(value, now).wait > 0ms));
    BOOST_TEST((fleet.dispatch(value, now + 2s).wait == 0ms));
    value.model.used = 600ms;
    value.time_left = 400ms;
    BOOST_TEST((fleet.dispatch(value, now).wait == 0ms));
}

// When two endpoints announce the same address, only the one started last gets work.
BOOST_FIXTURE_TEST_CASE(prefers_the_newest_endpoint_of_an_address, fleet_fixture)
{
    wire::announcementT other = make_endpoint("e1", "a", 5);
    other.endpoint = "later";
    fleet.on_endpoint("later", &other);
    BOOST_TEST(choose({"e2"}) == "later");
    BOOST_TEST(choose({"e2", "later"}) == "none");
}

// Guards against an endpoint that is lost because of an entry under its name that names no endpoint to use.
BOOST_FIXTURE_TEST_CASE(keeps_an_endpoint_when_an_odd_entry_has_its_name, fleet_fixture)
{
    for (const char* address : {"not-an-ip:80", "127.0.0.1:0", "", "0.0.0.0:80"}) {
        wire::announcementT odd = make_endpoint("e1", "a", 5);
        odd.address = address;
        fleet.on_endpoint("e1", &odd);
        BOOST_TEST(choose({"e2"}) == "e1");
    }
    wire::announcementT odd = make_endpoint("e1", "a", UINT64_MAX);
    odd.address = "127.0.0.1:9";
    fleet.on_endpoint("e1", &odd);
    BOOST_TEST(fleet.endpoint_at("127.0.0.1:9").empty());
    BOOST_TEST(choose({"e2"}) == "e1");
}

// Guards against an endpoint that is lost to an entry of a service that the configuration does not name.
BOOST_FIXTURE_TEST_CASE(entries_of_unnamed_services_displace_no_endpoint, fleet_fixture)
{
    fleet.set_services({"desk"});
    const std::string address = make_endpoint("e1", "a").address;
    wire::announcementT odd = make_endpoint("e1", "a", 5);
    odd.service = "nowhere";
    odd.endpoint = "odd";
    fleet.on_endpoint("odd", &odd);
    BOOST_TEST(choose({"e2"}) == "e1");
    BOOST_TEST(fleet.endpoint_at(address) == "e1");
    odd.endpoint = "e1";
    odd.address = "127.0.0.1:9";
    fleet.on_endpoint("e1", &odd);
    BOOST_TEST(choose({"e2"}) == "e1");
    // The end of the odd entry and the next check-in of the endpoint itself.
    fleet.on_endpoint("e1", nullptr);
    BOOST_TEST(choose({"e2"}) == "e1");
    add("e1", "a", 1);
    BOOST_TEST(choose({"e2"}) == "e1");
}

// An endpoint may start again with a service that is published only after its check-in, at its own address or
// another one.
BOOST_FIXTURE_TEST_CASE(entries_of_unnamed_services_count_once_the_service_is_published, fleet_fixture)
{
    fleet.set_services({"desk"});
    wire::announcementT moved = make_endpoint("e1", "a", 5);
    moved.service = "new";
    fleet.on_endpoint("e1", &moved);
    wire::announcementT reused = make_endpoint("e2", "b", 5);
    reused.service = "new";
    reused.endpoint = "later";
    fleet.on_endpoint("later", &reused);
    BOOST_TEST(choose({"e2"}) == "e1");
    BOOST_TEST(choose({"e1"}) == "e2");
    fleet.set_services({"desk", "new"});
    BOOST_TEST(choose() == "none");
    desk.name = "new";
    BOOST_TEST(choose({"later"}) == "e1");
    BOOST_TEST(choose({"e1"}) == "later");
    // A service that is no longer published keeps no other from its address.
    desk.name = "desk";
    fleet.set_services({"desk"});
    BOOST_TEST(choose() == "e2");
}

// Guards against an endpoint that gets no work any more after another one has announced its address, and is
// no longer listed there.
BOOST_FIXTURE_TEST_CASE(uses_an_endpoint_again_when_a_later_one_at_its_address_has_expired, fleet_fixture)
{
    wire::announcementT later = make_endpoint("e1", "a", 5);
    later.endpoint = "later";
    later.service = "other";
    fleet.on_endpoint("later", &later);
    BOOST_TEST(choose({"e2"}) == "none");
    fleet.on_endpoint("later", nullptr);
    BOOST_TEST(choose({"e2"}) == "none");
    forward::dispatch_request value = request();
    value.excluded = {"e2"};
    BOOST_TEST(fleet.dispatch(value, clock::now() + 6s).choice.has_value());
}

// Guards against an endpoint that gets no work although another one, which does not answer there, has
// announced its address.
BOOST_FIXTURE_TEST_CASE(uses_an_endpoint_when_a_later_one_does_not_answer_at_its_address, fleet_fixture)
{
    wire::announcementT later = make_endpoint("e1", "a", 5);
    later.endpoint = "later";
    fleet.on_endpoint("later", &later);
    BOOST_TEST(choose({"e2"}) == "later");
    fleet.record_health("later", forward::attempt_health::misdirected, clock::now());
    BOOST_TEST(choose({"e2"}) == "e1");
    BOOST_TEST(fleet.endpoint_at(later.address) == "e1");
}

// The request rate limit of a cold endpoint applies to the sum over all entries.
BOOST_FIXTURE_TEST_CASE(limits_request_rate_of_cold_endpoints, fleet_fixture)
{
    desk.cold_rate = 4;
    wire::announcementT cold = make_endpoint("e1", "a");
    cold.cold_ms = 5'000;
    fleet.on_endpoint("e1", &cold);
    wire::load_notesT notes;
    notes.incarnation = 9;
    for (std::uint64_t i = 1; i <= 2; ++i) {
        wire::dispatch_noteT note;
        note.number = i;
        note.endpoint = "e1";
        notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
    }
    fleet.apply_notes(notes, clock::now());
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i) {
        sent += choose({"e2"}) == "e1" ? 1 : 0;
    }
    BOOST_TEST(sent == 2U);
}

// Endpoints report a failed dependency by its address, so it has to be mapped to a name.
BOOST_FIXTURE_TEST_CASE(finds_the_endpoint_at_an_address, fleet_fixture)
{
    const std::string address = make_endpoint("e1", "a").address;
    BOOST_TEST(fleet.endpoint_at(address) == "e1");
    wire::announcementT other = make_endpoint("e1", "a", 5);
    other.endpoint = "later";
    fleet.on_endpoint("later", &other);
    BOOST_TEST(fleet.endpoint_at(address) == "later");
    BOOST_TEST(fleet.endpoint_at("127.0.0.1:1").empty());
}

// A request that would cost the requests already placed more than its own value waits and is then refused,
// unless a part of its answer has been delivered.
BOOST_FIXTURE_TEST_CASE(refuses_requests_that_cost_others_more_than_their_value, fleet_fixture)
{
    route::service_rule model;
    model.name = "desk";
    model.engine = route::engine_rule{16, 232'000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075};
    wire::load_notesT notes;
    notes.incarnation = 9;
    std::uint64_t number = 0;
    for (const char* endpoint : {"e1", "e2"}) {
        for (int i = 0; i < 8; ++i) {
            wire::dispatch_noteT note;
            note.number = ++number;
            note.endpoint = endpoint;
            note.first_event_ms = 300;
            note.pause_ms = 250;
            note.value = 100;
            note.phase = 1;
            note.parts = 1;
            notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
        }
    }
    notes.whole = true;
    fleet.apply_notes(notes, clock::now());
    forward::dispatch_request value;
    value.service = &model;
    value.time_left = 60s;
    value.model.prompt_tokens = 150'000;
    value.model.output_tokens = 700;
    value.model.objective = 2'500ms;
    value.model.pause = 1s;
    value.model.disconnect_after = 60s;
    value.model.value = 150;
    BOOST_TEST((fleet.dispatch(value, clock::now()).wait > 0ms));
    value.may_wait = false;
    const auto refused = fleet.dispatch(value, clock::now());
    BOOST_TEST(!refused.choice.has_value());
    BOOST_TEST((refused.refusal.why == forward::dispatch_refusal::reason::too_harmful));
    value.answer_started = true;
    BOOST_TEST(fleet.dispatch(value, clock::now()).choice.has_value());
}

// The queue shared by all entries: a prompt that is due earlier goes first. When not all can be in time, the
// one with less prefill time for its value goes first, and a waiting prompt that is already late delays no
// other.
BOOST_FIXTURE_TEST_CASE(orders_shared_prefill_by_deadline, fleet_fixture)
{
    route::service_rule model;
    model.name = "desk";
    model.engine = route::engine_rule{16, 232'000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075};
    forward::dispatch_request value;
    value.service = &model;
    value.time_left = 15s;
    value.model.prompt_tokens = 100'000;
    value.model.output_tokens = 700;
    value.model.objective = 2'500ms;
    value.model.pause = 1s;
    value.model.value = 100;
    for (const char* name : {"e3", "e4", "e5", "e6"}) {
        add(name, "a");
    }
    const auto add_remote_waiting_prompt = [this](std::uint32_t first_event_ms, std::uint32_t prefill_ms) {
        wire::load_notesT notes;
        notes.incarnation = 9;
        notes.whole = true;
        wire::dispatch_noteT note;
        note.number = 1;
        note.endpoint = "desk";
        note.phase = 3;
        note.first_event_ms = first_event_ms;
        note.read_us = prefill_ms * 1'000;
        note.value = 100;
        notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
        fleet.apply_notes(notes, clock::now());
    };
    const auto waits = [this, &value] {
        const auto found = fleet.dispatch(value, clock::now());
        if (found.choice) {
            fleet.record_end(found.choice->number, clock::now());
        }
        return !found.choice;
    };
    add_remote_waiting_prompt(1'000, 1'000);
    BOOST_TEST(waits());
    add_remote_waiting_prompt(0, 1'000);
    BOOST_TEST(!waits());
    add_remote_waiting_prompt(1'000, 20'000);
    BOOST_TEST(!waits());
}

// Endpoints of a failure domain whose scheduler does not report its load are used only when there are no
// others.
BOOST_FIXTURE_TEST_CASE(prefers_failure_domains_whose_load_is_known, fleet_fixture)
{
    fleet.set_unknown_domains({"b"});
    BOOST_TEST(choose() == "e1");
    BOOST_TEST(choose({"e1"}) == "e2");
}

// Guards against load that is hidden from the decision how many endpoints a service needs.
BOOST_FIXTURE_TEST_CASE(summarizes_the_demand_of_services, fleet_fixture)
{
    const time_point now = clock::now();
    wire::announcementT cold = make_endpoint("e3", "b");
    cold.cold_ms = 60'000;
    fleet.on_endpoint("e3", &cold);
    wire::announcementT leaving = make_endpoint("e4", "b");
    leaving.leaving = true;
    fleet.on_endpoint("e4", &leaving);
    const auto first = fleet.dispatch(request(), now);
    const auto second = fleet.dispatch(request(), now);
    BOOST_TEST_REQUIRE((first.choice && second.choice));
    fleet.record_first_event(first.choice->number, now + 100ms);
    fleet.record_first_event(second.choice->number, now + 301ms);
    forward::dispatch_request refused = request();
    refused.excluded = {"e1", "e2", "e3"};
    BOOST_TEST(!fleet.dispatch(refused, now).choice);
    refused.alone = true;
    BOOST_TEST(!fleet.dispatch(refused, now).choice);
    const policy::work_key waiting = fleet.begin_wait(request(), now);
    fleet.set_domains_out({"b"});

    BOOST_TEST(fleet.demand_summary({}, now).empty());
    auto rows = fleet.demand_summary({"desk"}, now);
    BOOST_TEST_REQUIRE(rows.size() == 2U);
    BOOST_TEST(rows[0]->failure_domain == "a");
    BOOST_TEST(rows[0]->endpoints == 1U);
    BOOST_TEST(rows[0]->slots == 6U);
    BOOST_TEST(rows[0]->waiting == 1U);
    BOOST_TEST(rows[0]->turned_away == 1U, "an entry that chooses alone shows no lack of room");
    BOOST_TEST(rows[1]->endpoints == 2U, "in a domain out of service, and without the one that leaves");
    BOOST_TEST(rows[1]->starting == 1U);
    BOOST_TEST(rows[0]->in_work + rows[1]->in_work == 2U);
    BOOST_TEST(rows[0]->answered + rows[1]->answered == 2U);
    BOOST_TEST(rows[0]->late + rows[1]->late == 1U);
    fleet.end_wait(waiting);
    fleet.record_end(first.choice->number, now);
    fleet.record_end(second.choice->number, now);
    rows = fleet.demand_summary({"desk"}, now);
    BOOST_TEST(rows[0]->waiting + rows[0]->in_work + rows[1]->in_work == 0U);
    BOOST_TEST(rows[0]->answered + rows[1]->answered == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
