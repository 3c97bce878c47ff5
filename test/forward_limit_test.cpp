#include "fleet_fixture.h"
#include "forward/dispatch_wait.h"
#include "forward/limit_messages.h"
#include "request_windows.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// Schedulers of several failure domains, which hear of each other's choices after a delay, on a virtual
// clock.
struct scheduler_group {
    struct late_notes {
        time_point at;
        std::size_t from = 0;
        wire::dispatch_noteT note;
    };

    explicit scheduler_group(std::size_t domains)
    {
        desk.name = "desk";
        for (std::size_t i = 0; i < domains; ++i) {
            fleets.push_back(std::make_unique<forward::fleet>(
                100 + i, "d" + std::to_string(i), 1.0, [this, i](wire::dispatch_noteT note) {
                    pending.push_back({now + 10ms, i, std::move(note)});
                }));
        }
    }

    void add(const std::string& name, const std::string& domain)
    {
        const wire::announcementT value = make_endpoint(name, domain);
        for (const auto& fleet : fleets) {
            fleet->on_endpoint(name, &value);
        }
    }

    void name_limit(const std::string& endpoint, double rate)
    {
        for (const auto& fleet : fleets) {
            fleet->record_limit(endpoint, rate, now - 1ms, "r", now);
        }
    }

    // Delivers the notes that are due.
    void advance(milliseconds step)
    {
        now += step;
        while (!pending.empty() && pending.front().at <= now) {
            wire::load_notesT message;
            message.incarnation = 100 + pending.front().from;
            message.notes.push_back(std::make_unique<wire::dispatch_noteT>(pending.front().note));
            for (std::size_t i = 0; i < fleets.size(); ++i) {
                if (i != pending.front().from && connected) {
                    fleets[i]->apply_notes(message, now);
                }
            }
            pending.pop_front();
        }
    }

    // Tries a request at one scheduler.
    forward::dispatch_result send(std::size_t scheduler, bool alone = false)
    {
        forward::dispatch_request request;
        request.service = &desk;
        request.time_left = 1s;
        request.model.objective = 300ms;
        request.alone = alone;
        request.may_wait = false;
        forward::dispatch_result found = fleets[scheduler]->dispatch(request, now);
        if (found.choice) {
            sent[found.choice->endpoints.front().name].push_back(now);
            fleets[scheduler]->record_end(found.choice->number, now);
        }
        return found;
    }

    // Plays requests of so many different values that arrive at this interval and wait for a permit as long
    // as they are told to. Returns how many were sent.
    std::size_t send_waiting(milliseconds interval, milliseconds duration, std::size_t values)
    {
        struct waiting_request {
            time_point begin;
            time_point next_try;
            double value = 0;
            std::optional<policy::work_key> wait;
        };
        std::list<waiting_request> waiting;
        std::size_t arrived = 0;
        std::size_t sent_count = 0;
        const time_point end = now + duration;
        for (time_point next_arrival = now; now < end; advance(1ms)) {
            if (now >= next_arrival) {
                waiting.push_back({now, now, static_cast<double>(1 + arrived++ % values), {}});
                next_arrival += interval;
            }
            for (auto item = waiting.begin(); item != waiting.end();) {
                const time_point begin = item->begin;
                if (now < item->next_try) {
                    ++item;
                    continue;
                }
                forward::dispatch_request request;
                request.service = &desk;
                request.time_left = 5s;
                request.model.objective = 1s;
                request.model.value = item->value;
                request.may_wait = true;
                request = forward::aged(request, std::chrono::duration_cast<milliseconds>(now - begin), 1s);
                request.wait = item->wait;
                const forward::dispatch_result found = fleets.front()->dispatch(request, now);
                if (found.wait > 0ms) {
                    item->wait = item->wait ? item->wait : fleets.front()->begin_wait(request, now);
                    item->next_try = now + found.wait + 1ms; // timers are late
                    ++item;
                    continue;
                }
                if (item->wait) {
                    fleets.front()->end_wait(*item->wait);
                }
                if (found.choice) {
                    ++sent_count;
                    fleets.front()->record_end(found.choice->number, now);
                }
                item = waiting.erase(item);
            }
        }
        return sent_count;
    }

    time_point now = clock::now();
    bool connected = true;
    route::service_rule desk;
    std::vector<std::unique_ptr<forward::fleet>> fleets;
    std::deque<late_notes> pending;
    std::map<std::string, std::vector<time_point>> sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_limit)

BOOST_AUTO_TEST_CASE(schedulers_of_several_domains_keep_a_limit_together)
{
    scheduler_group group(5);
    group.add("limited-1", "d0");
    group.add("free-2", "d1");
    group.name_limit("limited-1", 2.1);
    const time_point begin = group.now;
    while (group.now < begin + 60s) {
        for (std::size_t i = 0; i < group.fleets.size(); ++i) {
            BOOST_TEST_REQUIRE(group.send(i).choice.has_value());
        }
        group.advance(5ms);
    }
    BOOST_TEST(most_in_span(group.sent["limited-1"], 4s) <= 2.1 * 4 + 4);
    BOOST_TEST(group.sent["limited-1"].size() <= 60 * 2.1);
    BOOST_TEST(group.sent["limited-1"].size() >= 60);
}

BOOST_AUTO_TEST_CASE(domains_that_are_cut_off_from_each_other_use_a_part_each)
{
    scheduler_group group(5);
    group.add("limited-1", "d0");
    group.add("free-2", "d1");
    group.name_limit("limited-1", 2.1);
    group.connected = false;
    for (const auto& fleet : group.fleets) {
        fleet->set_limit_shares({0.8 / 5, 0});
    }
    const time_point begin = group.now;
    while (group.now < begin + 60s) {
        for (std::size_t i = 0; i < group.fleets.size(); ++i) {
            BOOST_TEST_REQUIRE(group.send(i).choice.has_value());
        }
        group.advance(5ms);
    }
    BOOST_TEST(group.sent["limited-1"].size() <= 60 * 2.1);
    BOOST_TEST(most_in_span(group.sent["limited-1"], 4s) <= 2.1 * 4 + 5);
}

BOOST_AUTO_TEST_CASE(new_scheduler_takes_the_limit_for_used_up)
{
    scheduler_group group(2);
    group.connected = false;
    group.add("limited-1", "d0");
    group.add("free-2", "d1");
    group.name_limit("limited-1", 2);
    const time_point begin = group.now;
    while (group.now < begin + 20s) {
        const bool first = group.now < begin + 10s;
        BOOST_TEST_REQUIRE(group.send(first ? 0 : 1).choice.has_value());
        group.advance(10ms);
    }
    BOOST_TEST(most_in_span(group.sent["limited-1"], 4s) <= 8);
}

BOOST_AUTO_TEST_CASE(requests_beyond_all_limits_are_refused_at_once_with_times_that_follow_from_the_rate)
{
    scheduler_group group(1);
    group.add("limited-1", "d0");
    group.add("limited-2", "d0");
    group.name_limit("limited-1", 2);
    group.name_limit("limited-2", 3);
    const auto first = group.send(0);
    BOOST_TEST(!first.choice.has_value());
    BOOST_TEST(first.wait.count() == 0);
    BOOST_TEST((first.refusal.why == forward::dispatch_refusal::reason::rate_limited));
    const auto second = group.send(0);
    // Both endpoints together take four requests a second of the schedulers.
    const milliseconds apart = second.refusal.retry_after - first.refusal.retry_after;
    BOOST_TEST(apart.count() >= 249);
    BOOST_TEST(apart.count() <= 251);
}

BOOST_AUTO_TEST_CASE(request_waits_for_its_turn_within_its_objective)
{
    scheduler_group group(1);
    group.add("limited-1", "d0");
    group.name_limit("limited-1", 10);
    forward::dispatch_request request;
    request.service = &group.desk;
    request.time_left = 1s;
    request.model.objective = 300ms;
    const auto found = group.fleets[0]->dispatch(request, group.now);
    BOOST_TEST(!found.choice.has_value());
    BOOST_TEST(found.wait.count() > 0);
    group.advance(130ms);
    BOOST_TEST(group.fleets[0]->dispatch(request, group.now).choice.has_value());
}

// Guards against permits that nobody takes, because each request that waits lets another one go first.
BOOST_AUTO_TEST_CASE(permits_are_taken_however_often_requests_arrive)
{
    for (const milliseconds interval : {300ms, 100ms, 40ms, 20ms, 10ms, 5ms}) {
        for (const std::size_t values : {1, 5}) {
            scheduler_group group(1);
            group.add("limited-1", "d0");
            group.name_limit("limited-1", 3);
            const std::size_t count = group.send_waiting(interval, 20s, values);
            BOOST_TEST(count >= 20 * 3 * 0.8 * 0.9,
                       "interval " << interval.count() << ", values " << values << ": " << count);
        }
    }
}

BOOST_AUTO_TEST_CASE(begun_answer_goes_first)
{
    scheduler_group group(1);
    group.add("limited-1", "d0");
    group.name_limit("limited-1", 4);
    forward::dispatch_request waiting;
    waiting.service = &group.desk;
    waiting.time_left = 1s;
    waiting.model.objective = 900ms;
    BOOST_TEST(!group.send(0).choice.has_value());
    const auto key = group.fleets[0]->begin_wait(waiting, group.now);
    group.advance(400ms);
    forward::dispatch_request begun = waiting;
    begun.model.objective = 100ms;
    begun.model.used = 2s;
    begun.answer_started = true;
    forward::dispatch_request late = begun;
    late.answer_started = false;
    BOOST_TEST(!group.fleets[0]->dispatch(late, group.now).choice.has_value());
    BOOST_TEST(group.fleets[0]->dispatch(begun, group.now).choice.has_value());
    group.fleets[0]->end_wait(key);
}

BOOST_AUTO_TEST_CASE(waiting_prompt_is_sent_when_all_endpoints_of_its_model_are_limited)
{
    scheduler_group group(1);
    group.desk.engine = route::engine_rule{};
    group.desk.engine->slots = 16;
    group.desk.engine->memory_tokens = 232'000;
    group.desk.engine->prefill_tokens_per_ms = 206;
    group.add("limited-1", "d0");
    group.name_limit("limited-1", 4);
    forward::dispatch_request request;
    request.service = &group.desk;
    request.time_left = 2s;
    request.model.objective = 1s;
    request.model.prompt_tokens = 1'000;
    request.model.output_tokens = 10;
    request.model.value = 1;
    BOOST_TEST(group.fleets[0]->dispatch(request, group.now).wait.count() > 0);
    request.wait = group.fleets[0]->begin_wait(request, group.now);
    group.advance(400ms);
    request.model.used = 400ms;
    BOOST_TEST(group.fleets[0]->dispatch(request, group.now).choice.has_value());
}

BOOST_AUTO_TEST_CASE(limits_reach_other_entries_and_later_listed_endpoints)
{
    fleet_fixture told;
    fleet_fixture other;
    std::vector<forward::endpoint_limit> sent;
    told.fleet.set_limit_listener([&sent](const auto& changed) { sent = changed; });
    told.add("e3", "a", 5);
    told.fleet.record_limit("e3", 2.1, clock::now(), "r1", clock::now());
    BOOST_TEST_REQUIRE(sent.size() == 1);
    other.fleet.apply_limits(sent, clock::now());
    BOOST_TEST(!other.fleet.limit_of("e3", clock::now()).has_value());
    other.add("e3", "a", 5);
    BOOST_TEST_REQUIRE(other.fleet.limit_of("e3", clock::now()).has_value());
    BOOST_TEST(other.fleet.limit_of("e3", clock::now())->rate == 2.1);
    other.add("e3", "a", 6);
    BOOST_TEST(!other.fleet.limit_of("e3", clock::now()).has_value());
    other.fleet.apply_limits(sent, clock::now());
    BOOST_TEST(!other.fleet.limit_of("e3", clock::now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
