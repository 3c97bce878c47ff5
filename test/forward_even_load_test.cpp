#include "forward/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 12;

// A scheduler of domain `a` whose service has one endpoint, in domain `b`.
struct lone_endpoint {
    route::service_rule model;
    forward::fleet fleet{100, "a", 1.0, [](const wire::dispatch_noteT&) {}};
    time_point now = clock::now();

    lone_endpoint()
    {
        fleet.set_placement_parts({.slot_queue = true, .even_load = true});
        model.name = "model";
        model.engine = route::engine_rule{slots, 405'000, 38, 1.31, 0.000917, 0.00213, 154, 0.162, 2048, 0.1};
        model.engine->usual_prompt_tokens = 11'702;
        model.engine->usual_answer_tokens = 1'310;
        model.engine->domain_delay = 3'400us;
        add("e", "b", 1);
    }

    void add(const std::string& name, const std::string& domain, std::uint16_t port)
    {
        wire::announcementT value;
        value.endpoint = name;
        value.address = "127.0.0.1:" + std::to_string(port);
        value.failure_domain = domain;
        value.service = "model";
        value.born_ms = 1;
        value.slots = slots;
        fleet.on_endpoint(value.endpoint, &value);
    }

    forward::dispatch_request request() const
    {
        forward::dispatch_request request;
        request.service = &model;
        request.time_left = 10s;
        request.model.prompt_tokens = 5'000;
        request.model.output_tokens = 1'368;
        request.model.objective = 10s;
        request.model.disconnect_after = 10s;
        return request;
    }

    // Number of requests that the endpoint takes before the next one has to wait.
    std::size_t fill()
    {
        std::size_t count = 0;
        while (count <= slots && fleet.dispatch(request(), now).choice) {
            ++count;
        }
        return count;
    }

    // The scheduler of domain `b` starts a request there and ends it.
    void hear_send(std::uint64_t number)
    {
        for (const std::uint8_t phase : {std::uint8_t{0}, std::uint8_t{2}}) {
            wire::load_notesT notes;
            notes.incarnation = 200;
            auto note = std::make_unique<wire::dispatch_noteT>();
            note->number = number;
            note->phase = phase;
            note->endpoint = phase == 0 ? "e" : "";
            notes.notes.push_back(std::move(note));
            fleet.apply_notes(notes, now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_even_load)

// Guards against slots of an idle domain that stay free while requests wait for them.
BOOST_AUTO_TEST_CASE(fills_the_endpoint_of_an_idle_domain)
{
    lone_endpoint service;
    BOOST_TEST(service.fill() == slots);
}

// Load: the scheduler of the endpoint's domain sends 100 requests a second to it, and each note takes up to
// 13.4 ms. Guards against filling the slots that it has taken meanwhile.
BOOST_AUTO_TEST_CASE(leaves_the_slots_that_a_busy_domain_needs)
{
    lone_endpoint service;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        service.now += 10ms;
        service.hear_send(number);
    }
    const std::size_t taken = service.fill();
    const double unheard = service.fleet.summarize_load(service.now).unheard;
    BOOST_TEST(unheard > 1);
    BOOST_TEST(unheard < 2);
    BOOST_TEST(taken <= slots - 3);
    BOOST_TEST(taken >= slots - 4);
    // The domain ends, and what it has needed with it.
    service.fleet.remove_entry(200, service.now);
    BOOST_TEST(taken + service.fill() == slots);
}

// Guards against a gauge that does not show an endpoint beyond its slots.
BOOST_AUTO_TEST_CASE(counts_endpoints_beyond_their_slots)
{
    lone_endpoint service;
    const std::size_t taken = service.fill();
    BOOST_TEST(service.fleet.summarize_load(service.now).over == 0U);
    for (std::uint64_t number = 1; number <= 2; ++number) {
        wire::load_notesT notes;
        notes.incarnation = 200;
        auto note = std::make_unique<wire::dispatch_noteT>();
        note->number = number;
        note->endpoint = "e";
        notes.notes.push_back(std::move(note));
        service.fleet.apply_notes(notes, service.now);
    }
    const forward::load_spread spread = service.fleet.summarize_load(service.now);
    BOOST_TEST(spread.over == 1U);
    BOOST_TEST(spread.idle_beside == 0U);
    BOOST_TEST(spread.sends == taken);
    BOOST_TEST(spread.sends_to_full == 0U);
}

// Load: entries of two domains fill all slots of the endpoints of both. Guards against slots that the one
// scheduler of all domains leaves free for others, while it sends requests to full endpoints.
BOOST_AUTO_TEST_CASE(one_scheduler_fills_the_endpoints_of_all_domains)
{
    lone_endpoint service;
    service.fleet.set_placement_parts({});
    service.add("e2", "a", 2);
    const auto fill = [&service](std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            forward::dispatch_request request = service.request();
            request.failure_domain = i % 2 == 0 ? "a" : "b";
            BOOST_TEST(service.fleet.dispatch(request, service.now).choice.has_value());
        }
    };
    service.fleet.set_sole_scheduler(true);
    fill(std::size_t{slots} * 2);
    const forward::load_spread spread = service.fleet.summarize_load(service.now);
    BOOST_TEST(spread.sends == std::size_t{slots} * 2);
    BOOST_TEST(spread.sends_to_full == 0U);
    BOOST_TEST(spread.over == 0U);
}

// The endpoint in the domain of the entry that asks is preferred, not the one beside the scheduler.
BOOST_AUTO_TEST_CASE(prefers_the_domain_of_the_entry)
{
    lone_endpoint service;
    service.fleet.set_placement_parts({});
    service.add("e2", "a", 2);
    for (const auto& [domain, endpoint] : {std::pair("a", "e2"), std::pair("b", "e"), std::pair("", "e2")}) {
        forward::dispatch_request request = service.request();
        request.failure_domain = domain;
        const auto found = service.fleet.dispatch(request, service.now);
        BOOST_TEST_REQUIRE(found.choice.has_value());
        BOOST_TEST(found.choice->endpoints.front().name == endpoint);
        service.fleet.record_end(found.choice->number, service.now);
    }
}

// Guards against a scheduler that fills the endpoints of other domains while another process chooses too.
BOOST_AUTO_TEST_CASE(leaves_slots_free_while_others_choose)
{
    lone_endpoint service;
    service.fleet.set_placement_parts({.slot_queue = true});
    service.fleet.set_sole_scheduler(true);
    service.hear_send(1);
    const std::size_t taken = service.fill();
    BOOST_TEST(taken == slots - 3U);
    service.now += 1s;
    BOOST_TEST(taken + service.fill() == slots);
}

BOOST_AUTO_TEST_SUITE_END()
