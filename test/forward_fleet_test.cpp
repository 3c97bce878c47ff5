#include "forward/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

wire::announcementT make_endpoint(const std::string& name, const std::string& domain, std::uint64_t born = 1)
{
    wire::announcementT value;
    value.endpoint = name;
    value.address = "127.0.0.1:" + std::to_string(9'000 + name.back());
    value.failure_domain = domain;
    value.service = "desk";
    value.born_ms = born;
    value.incarnation = born;
    value.slots = 6;
    return value;
}

struct fleet_fixture {
    std::vector<wire::dispatch_noteT> told;
    forward::fleet fleet{7, "a", 1.0, [this](wire::dispatch_noteT note) { told.push_back(std::move(note)); }};
    route::service_rule desk;

    fleet_fixture()
    {
        desk.name = "desk";
        add("e1", "a");
        add("e2", "b");
    }

    void add(const std::string& name, const std::string& domain, std::uint64_t born = 1)
    {
        const wire::announcementT value = make_endpoint(name, domain, born);
        fleet.on_endpoint(name, &value);
    }

    forward::dispatch_request request() const
    {
        forward::dispatch_request value;
        value.service = &desk;
        value.time_left = 1s;
        value.model.objective = 300ms;
        return value;
    }

    std::string choose(const std::set<std::string>& excluded = {})
    {
        forward::dispatch_request value = request();
        value.excluded = excluded;
        const auto found = fleet.dispatch(value, clock::now());
        if (!found.choice) {
            return "none";
        }
        fleet.end(found.choice->number, clock::now());
        return found.choice->endpoints.front().name;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_fleet)

// Guards each reason for which an endpoint gets no work.
BOOST_FIXTURE_TEST_CASE(leaves_out_what_must_get_no_work, fleet_fixture)
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
    fleet.note_health("e2", forward::attempt_health::misdirected, clock::now());
    BOOST_TEST(choose() == "none");
    // A new start of the endpoint is another endpoint.
    add("e2", "b", 2);
    BOOST_TEST(choose() == "e2");
}

// An outage of many must not become "no endpoint": unreachable endpoints are used when there are no others.
BOOST_FIXTURE_TEST_CASE(uses_avoided_endpoints_when_all_are, fleet_fixture)
{
    fleet.note_health("e1", forward::attempt_health::unreachable, clock::now());
    BOOST_TEST(choose() == "e2");
    fleet.note_health("e2", forward::attempt_health::unreachable, clock::now());
    BOOST_TEST(choose() != "none");
    fleet.note_health("e1", forward::attempt_health::good, clock::now());
    BOOST_TEST(choose() == "e1");
}

// Control members that have just started list nothing for a moment.
BOOST_FIXTURE_TEST_CASE(keeps_unlisted_endpoints_for_a_while, fleet_fixture)
{
    fleet.on_endpoint("e1", nullptr);
    fleet.on_endpoint("e2", nullptr);
    BOOST_TEST(choose() != "none");
}

// The newer of two endpoints has the address.
BOOST_FIXTURE_TEST_CASE(believes_the_newest_endpoint_of_an_address, fleet_fixture)
{
    wire::announcementT other = make_endpoint("e1", "a", 5);
    other.endpoint = "later";
    fleet.on_endpoint("later", &other);
    BOOST_TEST(choose({"e2"}) == "later");
    BOOST_TEST(choose({"e2", "later"}) == "none");
}

// Guards the limit of cold endpoints for the sum over all entries.
BOOST_FIXTURE_TEST_CASE(bounds_work_for_cold_endpoints, fleet_fixture)
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

// Endpoints name the one that failed them by its address.
BOOST_FIXTURE_TEST_CASE(finds_the_endpoint_at_an_address, fleet_fixture)
{
    const std::string address = make_endpoint("e1", "a").address;
    BOOST_TEST(fleet.name_at(address) == "e1");
    wire::announcementT other = make_endpoint("e1", "a", 5);
    other.endpoint = "later";
    fleet.on_endpoint("later", &other);
    BOOST_TEST(fleet.name_at(address) == "later");
    BOOST_TEST(fleet.name_at("127.0.0.1:1").empty());
}

// A prompt that would cost those present more than its own value waits and is then refused, but not when a
// part of its answer has been delivered.
BOOST_FIXTURE_TEST_CASE(does_not_harm_others_for_less, fleet_fixture)
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
    value.model.patience = 60s;
    value.model.value = 150;
    BOOST_TEST((fleet.dispatch(value, clock::now()).wait > 0ms));
    value.may_wait = false;
    const auto refused = fleet.dispatch(value, clock::now());
    BOOST_TEST(!refused.choice.has_value());
    BOOST_TEST((refused.refusal.why == forward::dispatch_refusal::reason::too_harmful));
    value.begun = true;
    BOOST_TEST(fleet.dispatch(value, clock::now()).choice.has_value());
}

// Guards the line of all entries: a prompt that waits longer, or costs less for its value when not all can be
// in time, goes first; a waiting one that is late holds up nobody.
BOOST_FIXTURE_TEST_CASE(lets_those_go_first_who_can_be_in_time, fleet_fixture)
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
    const auto wait_elsewhere = [this](std::uint32_t first_event_ms, std::uint32_t read_ms) {
        wire::load_notesT notes;
        notes.incarnation = 9;
        notes.whole = true;
        wire::dispatch_noteT note;
        note.number = 1;
        note.endpoint = "desk";
        note.phase = 3;
        note.first_event_ms = first_event_ms;
        note.read_us = read_ms * 1'000;
        note.value = 100;
        notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
        fleet.apply_notes(notes, clock::now());
    };
    const auto waits = [this, &value] {
        const auto found = fleet.dispatch(value, clock::now());
        if (found.choice) {
            fleet.end(found.choice->number, clock::now());
        }
        return !found.choice;
    };
    wait_elsewhere(1'000, 1'000);
    BOOST_TEST(waits());
    wait_elsewhere(0, 1'000);
    BOOST_TEST(!waits());
    wait_elsewhere(1'000, 20'000);
    BOOST_TEST(!waits());
}

// Guards the common view: each step is told, another entry's work counts, and ends with that entry.
BOOST_FIXTURE_TEST_CASE(shares_work_between_entries, fleet_fixture)
{
    const auto found = fleet.dispatch(request(), clock::now());
    BOOST_TEST_REQUIRE(found.choice.has_value());
    fleet.first_event(found.choice->number, clock::now());
    fleet.first_event(found.choice->number, clock::now());
    fleet.end(found.choice->number, clock::now());
    BOOST_TEST_REQUIRE(told.size() == 3U);
    BOOST_TEST(told[0].phase == 0U);
    BOOST_TEST(told[2].phase == 2U);
    wire::load_notesT notes;
    notes.incarnation = 9;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        wire::dispatch_noteT note;
        note.number = i;
        note.endpoint = "e1";
        notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
    }
    fleet.apply_notes(notes, clock::now());
    BOOST_TEST(choose() == "e2");
    fleet.forget_entry(9, clock::now());
    BOOST_TEST(choose() == "e1");
}

BOOST_AUTO_TEST_SUITE_END()
