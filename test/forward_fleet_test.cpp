#include "forward/crash_calls.h"
#include "forward/crash_messages.h"
#include "forward/fleet.h"
#include "net/frame.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <tuple>

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
    std::vector<wire::dispatch_noteT> sent_notes;
    forward::fleet fleet{7, "a", 1.0,
                         [this](wire::dispatch_noteT note) { sent_notes.push_back(std::move(note)); }};
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
        fleet.record_end(found.choice->number, clock::now());
        return found.choice->endpoints.front().name;
    }
};

} // namespace

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

// Each phase change is published to the other entries, and the work of another entry counts until it
// disconnects.
BOOST_FIXTURE_TEST_CASE(shares_work_between_entries, fleet_fixture)
{
    const auto found = fleet.dispatch(request(), clock::now());
    BOOST_TEST_REQUIRE(found.choice.has_value());
    fleet.record_first_event(found.choice->number, clock::now());
    fleet.record_first_event(found.choice->number, clock::now());
    fleet.record_end(found.choice->number, clock::now());
    BOOST_TEST_REQUIRE(sent_notes.size() == 3U);
    BOOST_TEST(sent_notes[0].phase == 0U);
    BOOST_TEST(sent_notes[2].phase == 2U);
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
    fleet.remove_entry(9, clock::now());
    BOOST_TEST(choose() == "e1");
}

// A scheduler chooses for another entry and reports the choice further; the work ends with the entry.
BOOST_FIXTURE_TEST_CASE(chooses_for_another_entry, fleet_fixture)
{
    forward::dispatch_request value = request();
    value.key = policy::work_key{9, 4};
    const auto found = fleet.dispatch(value, clock::now());
    BOOST_TEST_REQUIRE(found.choice.has_value());
    BOOST_TEST(found.choice->number == 4U);
    BOOST_TEST(fleet.notes_of({9, 4}).size() == 1U);
    BOOST_TEST_REQUIRE(sent_notes.size() == 1U);
    BOOST_TEST(sent_notes.back().entry == 9U);
    fleet.remove_entry(9, clock::now());
    BOOST_TEST_REQUIRE(sent_notes.size() == 2U);
    BOOST_TEST(sent_notes.back().phase == 2U);
    BOOST_TEST(fleet.notes_of({9, 4}).empty());
}

// When an entry moves to another scheduler, the former one ends the entry's work. A third scheduler that has
// heard of the work from the new one must not lose it.
BOOST_FIXTURE_TEST_CASE(keeps_work_that_another_scheduler_has_taken_over, fleet_fixture)
{
    const auto report = [this](incarnation scheduler, std::uint8_t phase) {
        wire::load_notesT notes;
        notes.incarnation = scheduler;
        wire::dispatch_noteT note;
        note.entry = 9;
        note.number = 1;
        note.endpoint = phase == 0 ? "e1" : "";
        note.phase = phase;
        notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
        fleet.apply_notes(notes, clock::now());
    };
    report(100, 0);
    report(200, 0);
    report(100, 2);
    BOOST_TEST(fleet.notes_of({9, 1}).size() == 1U);
    fleet.remove_entry(100, clock::now());
    BOOST_TEST(fleet.notes_of({9, 1}).size() == 1U);
    // What a scheduler has reported is not reported further.
    BOOST_TEST(sent_notes.empty());
    fleet.remove_entry(200, clock::now());
    BOOST_TEST(fleet.notes_of({9, 1}).empty());
}

// An entry checks the choice of its scheduler against what it knows itself.
BOOST_FIXTURE_TEST_CASE(adopts_only_endpoints_that_it_may_use, fleet_fixture)
{
    const auto adopt = [this](const std::string& endpoint, std::uint64_t number, std::string& rejected) {
        std::vector<std::unique_ptr<wire::dispatch_noteT>> notes;
        notes.push_back(std::make_unique<wire::dispatch_noteT>());
        notes.back()->endpoint = endpoint;
        notes.back()->parts = 1;
        return fleet.adopt(number, notes, rejected, clock::now());
    };
    std::string rejected;
    BOOST_TEST(adopt("e1", 1, rejected).has_value());
    BOOST_TEST(!adopt("unknown", 2, rejected).has_value());
    BOOST_TEST(rejected == "unknown");
    fleet.record_leaving("e1");
    BOOST_TEST(!adopt("e1", 3, rejected).has_value());
    BOOST_TEST(rejected == "e1");
    const time_point now = clock::now();
    fleet.record_retry_after("e2", 2s, now);
    BOOST_TEST(!adopt("e2", 4, rejected).has_value());
    BOOST_TEST(fleet.blocked("desk", now + 1s).size() == 2U);
    BOOST_TEST(fleet.blocked("desk", now + 3s).size() == 1U);
    BOOST_TEST(choose() == "none");
    // A restart of the endpoint clears what its former start has announced.
    add("e1", "a", 2);
    BOOST_TEST(choose() == "e1");
}

// The limit of a cold endpoint holds for the sum over all entries, which an entry without a scheduler does
// not know.
BOOST_FIXTURE_TEST_CASE(sends_nothing_to_cold_endpoints_without_a_scheduler, fleet_fixture)
{
    desk.cold_rate = 4;
    wire::announcementT cold = make_endpoint("e1", "a");
    cold.cold_ms = 5'000;
    fleet.on_endpoint("e1", &cold);
    forward::dispatch_request value = request();
    value.excluded = {"e2"};
    value.alone = true;
    BOOST_TEST(!fleet.dispatch(value, clock::now()).choice.has_value());
    value.alone = false;
    BOOST_TEST(fleet.dispatch(value, clock::now()).choice.has_value());
}

// Endpoints of a failure domain whose scheduler does not report its load are used only when there are no
// others.
BOOST_FIXTURE_TEST_CASE(prefers_failure_domains_whose_load_is_known, fleet_fixture)
{
    fleet.set_unknown_domains({"b"});
    BOOST_TEST(choose() == "e1");
    BOOST_TEST(choose({"e1"}) == "e2");
}

namespace {

// Five schedulers, each for 21 entries and 30 endpoints of 10 slots, that hear of each other's choices 10 ms
// late.
struct scheduler_group {
    struct domain {
        std::unique_ptr<forward::fleet> fleet;
        std::vector<wire::dispatch_noteT> queued;
    };

    static constexpr std::size_t count = 5;
    static constexpr std::size_t slots = 10;
    route::service_rule model;
    std::vector<domain> domains{count};
    std::map<std::string, std::size_t> running;
    std::size_t sent = 0;
    std::size_t sent_to_full = 0;
    time_point now = clock::now();

    scheduler_group()
    {
        model.name = "model";
        model.engine = route::engine_rule{10, 232'000, 68, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075};
        for (std::size_t i = 0; i < count; ++i) {
            domains[i].fleet = std::make_unique<forward::fleet>(
                100 + i, "domain-" + std::to_string(i), 1.0,
                [this, i](wire::dispatch_noteT note) { domains[i].queued.push_back(std::move(note)); });
            for (std::size_t endpoint = 0; endpoint < count * 30; ++endpoint) {
                wire::announcementT value;
                value.endpoint = "e" + std::to_string(endpoint);
                value.address = "127.0.0.1:" + std::to_string(endpoint + 1);
                value.failure_domain = "domain-" + std::to_string(endpoint % count);
                value.service = "model";
                value.born_ms = 1;
                value.slots = slots;
                domains[i].fleet->on_endpoint(value.endpoint, &value);
            }
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < count; ++from) {
            wire::load_notesT notes;
            notes.incarnation = 100 + from;
            for (const wire::dispatch_noteT& note : domains[from].queued) {
                notes.notes.push_back(std::make_unique<wire::dispatch_noteT>(note));
            }
            domains[from].queued.clear();
            for (std::size_t to = 0; to < count; ++to) {
                if (to != from) {
                    domains[to].fleet->apply_notes(notes, now);
                }
            }
        }
    }

    void send_quote(std::size_t from,
                    std::vector<std::tuple<time_point, std::size_t, std::uint64_t, std::string>>& ends)
    {
        forward::dispatch_request request;
        request.service = &model;
        request.time_left = 10s;
        request.model.prompt_tokens = 5'000;
        request.model.output_tokens = 1'500;
        request.model.objective = 400ms;
        request.model.pause = 250ms;
        request.model.disconnect_after = 2s;
        request.model.value = 21;
        const auto found = domains[from].fleet->dispatch(request, now);
        if (!found.choice) {
            return;
        }
        const std::string& name = found.choice->endpoints.front().name;
        ++sent;
        sent_to_full += running[name] >= slots ? 1 : 0;
        ++running[name];
        ends.emplace_back(now + 1'600ms, from, found.choice->number, name);
    }
};

} // namespace

// Load: 500 short prompts a second over five schedulers, half of the slots. Decisions that are made at the
// same time must not fill one endpoint beyond its slots, where a prompt waits for the end of another one's
// answer.
BOOST_AUTO_TEST_CASE(schedulers_that_decide_at_the_same_time_leave_no_prompt_without_a_slot)
{
    scheduler_group group;
    std::vector<std::tuple<time_point, std::size_t, std::uint64_t, std::string>> ends;
    const time_point begin = group.now;
    std::size_t next_domain = 0;
    for (int ms = 0; ms < 4'000; ++ms) {
        group.now = begin + milliseconds(ms);
        if (ms % 2 == 0) {
            group.send_quote(next_domain++ % scheduler_group::count, ends);
        }
        std::erase_if(ends, [&group](const auto& item) {
            const auto& [end, domain, number, name] = item;
            if (end > group.now) {
                return false;
            }
            group.domains[domain].fleet->record_end(number, group.now);
            --group.running[name];
            return true;
        });
        if (ms % 10 == 0) {
            group.exchange();
        }
    }
    BOOST_TEST(group.sent == 2'000U);
    BOOST_TEST(group.sent_to_full * 100 <= group.sent, group.sent_to_full);
}

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
