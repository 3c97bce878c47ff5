#include "control/packed.h"
#include "control/scaling_duty.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using control::duty_outcome;

namespace {

const time_point start = time_point{} + 1h;

// Version 1 names a service that is scaled and one that is not.
class fixed_codec : public route::document_codec {
public:
    result<route::document> decode(std::string_view content) const override
    {
        route::document value;
        value.services.resize(2);
        value.services[0].name = "desk";
        if (content == "scaled") {
            value.services[0].scaling = route::scaling_rule{2, 12, 10s};
        }
        value.services[1].name = "fixed";
        return value;
    }
};

struct row {
    std::string domain;
    std::uint32_t endpoints = 0;
    std::uint32_t in_work = 0;
    std::uint64_t late = 0;
    std::uint64_t answered = 0;
    std::uint32_t waiting = 0;
    std::uint64_t refused = 0;
};

wire::pollT make_poll(incarnation scheduler, const std::string& domain, const std::vector<row>& rows)
{
    wire::pollT poll;
    poll.incarnation = scheduler;
    poll.failure_domain = domain;
    for (const row& value : rows) {
        auto item = std::make_unique<wire::service_demandT>();
        item->service = "desk";
        item->failure_domain = value.domain;
        item->endpoints = value.endpoints;
        item->slots = value.endpoints * 4;
        item->in_work = value.in_work;
        item->late = value.late;
        item->answered = value.answered;
        item->waiting = value.waiting;
        item->turned_away = value.refused;
        poll.demand.push_back(std::move(item));
    }
    return poll;
}

// The duty of a member that leads, with one scheduler in domain "a", second by second.
struct duty_fixture {
    control::state_machine machine;
    control::demand_collector demand;
    control::scaling_duty duty{demand, std::make_shared<fixed_codec>()};
    std::vector<std::pair<std::string, std::uint32_t>> calls;
    time_point now = start;
    std::uint64_t index = 0;
    duty_outcome outcome = duty_outcome::accepted;

    duty_fixture()
    {
        publish(1, "scaled");
        duty.on_hold(true, now);
    }

    void publish(std::uint64_t version, const std::string& text)
    {
        op::change_requestT request;
        request.request_id = "r" + std::to_string(version);
        request.any_revision = true;
        request.publish = std::make_unique<op::publicationT>();
        request.publish->version = version;
        request.publish->content.assign(text.begin(), text.end());
        machine.apply(++index, control::make_command(request, control::wall_time(1s)));
        BOOST_TEST_REQUIRE(machine.config().current()->published != nullptr);
    }

    void step(const std::vector<row>& rows)
    {
        wire::poll_replyT reply;
        demand.answer(make_poll(7, "a", rows), true, now, reply);
        const control::duty_context context{now, control::wall_time(1s), machine};
        for (auto command = duty.next_command(context); !command.empty();
             command = duty.next_command(context)) {
            BOOST_TEST_REQUIRE(!machine.apply(++index, command).empty());
        }
        if (const auto call = duty.next_call(context)) {
            const auto& order = std::get<control::scale_order>(*call);
            BOOST_TEST(order.service == "desk");
            BOOST_TEST((machine.scales().find({"desk", order.failure_domain}) == order.desired),
                       "recorded before it is ordered");
            calls.emplace_back(order.failure_domain, order.desired);
            duty.on_outcome(*call, outcome, context);
        }
        now += 1s;
    }

    void run(int seconds, const std::vector<row>& rows)
    {
        for (int second = 0; second < seconds; ++second) {
            step(rows);
        }
    }
};

using calls = std::vector<std::pair<std::string, std::uint32_t>>;

} // namespace

BOOST_AUTO_TEST_SUITE(control_scaling_duty)

// Guards against orders that change nothing, and against one that is lost or sent again without need.
BOOST_FIXTURE_TEST_CASE(orders_a_new_number_once, duty_fixture)
{
    run(20, {{"a", 4, 11}, {"b", 4, 11}});
    BOOST_TEST(calls.empty(), "the endpoints that are there are enough");
    run(10, {{"a", 4, 16}, {"b", 4, 16}});
    BOOST_TEST((calls == ::calls{{"a", 6}, {"b", 6}}));
    run(10, {{"a", 6, 16}, {"b", 6, 16}});
    BOOST_TEST(calls.size() == 2U);
}

// Guards against a service that is scaled though its configuration does not ask for it, or no longer does.
BOOST_FIXTURE_TEST_CASE(orders_nothing_without_scaling, duty_fixture)
{
    run(12, {{"a", 4, 16}});
    BOOST_TEST(!calls.empty());
    calls.clear();
    publish(2, "fixed");
    run(30, {{"a", 4, 400}});
    BOOST_TEST(calls.empty());
}

// Guards against an order without an answer that is forgotten, and against one that is carried out late,
// after a newer one, and stays in force.
BOOST_FIXTURE_TEST_CASE(repeats_orders_without_an_answer, duty_fixture)
{
    run(12, {{"a", 4, 8}});
    outcome = duty_outcome::unknown;
    run(2, {{"a", 4, 16}});
    BOOST_TEST((calls == ::calls{{"a", 6}, {"a", 6}}));
    outcome = duty_outcome::accepted;
    run(3, {{"a", 4, 40}});
    BOOST_TEST((calls.back() == std::pair<std::string, std::uint32_t>{"a", 12}));
    const std::size_t sent = calls.size();
    run(11, {{"a", 12, 40}});
    BOOST_TEST(calls.size() == sent);
    run(8, {{"a", 12, 40}});
    BOOST_TEST(calls.size() == sent + 1, "once more, when the unanswered ones cannot come any more");
    BOOST_TEST(calls.back().second == 12U);
}

// Guards against an order that is given up when the infrastructure refuses it.
BOOST_FIXTURE_TEST_CASE(tries_refused_orders_again, duty_fixture)
{
    run(12, {{"a", 4, 8}});
    outcome = duty_outcome::refused;
    run(3, {{"a", 4, 16}});
    outcome = duty_outcome::accepted;
    run(5, {{"a", 4, 16}});
    BOOST_TEST((calls == ::calls{{"a", 6}, {"a", 6}, {"a", 6}, {"a", 6}}));
}

// Guards against a new holder that drops an order of the former one, or that takes endpoints away which are
// on their way.
BOOST_FIXTURE_TEST_CASE(new_holder_repeats_what_is_recorded, duty_fixture)
{
    run(12, {{"a", 4, 8}});
    run(2, {{"a", 4, 24}});
    BOOST_TEST((calls == ::calls{{"a", 9}}));
    duty.on_hold(false, now);
    calls.clear();

    control::state_machine restored;
    BOOST_TEST_REQUIRE(restored.restore(machine.snapshot()).has_value());
    BOOST_TEST(restored.snapshot() == machine.snapshot());
    machine = std::move(restored);
    duty.on_hold(true, now);
    run(5, {{"a", 4, 8}});
    BOOST_TEST((calls == ::calls{{"a", 9}}));
}

// Guards against reports of several schedulers that are added up though they describe the same load.
BOOST_AUTO_TEST_CASE(reports_of_schedulers_are_combined)
{
    control::demand_collector demand;
    wire::poll_replyT reply;
    const auto report = [&](incarnation scheduler, const std::string& domain, std::uint64_t events,
                            std::uint64_t refused, time_point at) {
        const row other{domain == "a" ? "b" : "a", 5, 9, events, events * 10, 0, 0};
        demand.answer(make_poll(scheduler, domain, {{domain, 4, 8, events, events * 10, 3, refused}, other}),
                      true, at, reply);
    };
    report(1, "a", 100, 50, start);
    report(2, "b", 100, 70, start);
    BOOST_TEST(reply.demand_wanted);
    auto samples = demand.take_samples(start);
    BOOST_TEST(samples.at({"desk", "a"}).ready == 4U);
    BOOST_TEST(samples.at({"desk", "a"}).late == 0U, "events before the first report are not recent");
    report(1, "a", 104, 51, start + 1s);
    report(2, "b", 104, 72, start + 1s);
    samples = demand.take_samples(start + 1s);
    BOOST_TEST(samples.at({"desk", "a"}).late == 4U);
    BOOST_TEST(samples.at({"desk", "a"}).answered == 40U);
    BOOST_TEST(samples.at({"desk", "a"}).refused == 1U);
    BOOST_TEST(samples.at({"desk", "b"}).refused == 2U);
    BOOST_TEST(samples.at({"desk", "a"}).waiting + samples.at({"desk", "b"}).waiting == 3U);
    BOOST_TEST(demand.take_samples(start + 1s).at({"desk", "a"}).late == 0U, "events are counted once");
    // Without the scheduler of "b" the other one's rows of "b" are used, and no event is counted twice.
    report(1, "a", 105, 51, start + 5s);
    samples = demand.take_samples(start + 5s);
    BOOST_TEST(samples.at({"desk", "b"}).ready == 5U);
    BOOST_TEST(samples.at({"desk", "b"}).late == 1U);
    BOOST_TEST(demand.take_samples(start + 10s).empty());
    demand.answer(make_poll(1, "a", {{"a", 4, 8}}), false, start + 11s, reply);
    BOOST_TEST(!reply.demand_wanted);
    BOOST_TEST(demand.take_samples(start + 11s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
