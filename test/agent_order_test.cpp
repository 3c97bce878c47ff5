#include "agent/order_planner.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using agent::order;
using agent::order_planner;

namespace {

const time_point start{std::chrono::hours(1)};
const time_point after_wait = start + agent::predecessor_wait;

op::endpointT make_desired(std::vector<std::string> models, std::uint64_t epoch, bool checks_fencing = true)
{
    op::endpointT desired;
    desired.name = "e";
    desired.desired_models = std::move(models);
    desired.order_epoch = epoch;
    desired.checks_fencing = checks_fencing;
    return desired;
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_order)

BOOST_AUTO_TEST_CASE(orders_reach_the_desired_state_under_its_epoch)
{
    order_planner planner({"a"}, start);
    op::endpointT desired = make_desired({"b"}, 9);
    desired.desired_role = "prefill";
    const auto first = planner.next(&desired, true, true, start);
    BOOST_TEST_REQUIRE(first.has_value());
    BOOST_TEST((*first == order{9, order::action::unload_model, "a"}));
    planner.succeeded(*first, start);
    const auto second = planner.next(&desired, true, true, start);
    BOOST_TEST_REQUIRE(second.has_value());
    BOOST_TEST((*second == order{9, order::action::load_model, "b"}));
    planner.succeeded(*second, start);
    const auto third = planner.next(&desired, true, true, start);
    BOOST_TEST_REQUIRE(third.has_value());
    BOOST_TEST((*third == order{9, order::action::set_role, "prefill"}));
    planner.succeeded(*third, start);
    BOOST_TEST(!planner.next(&desired, true, true, start).has_value());
}

// Guards against orders from an agent whose configuration may be outdated.
BOOST_AUTO_TEST_CASE(no_order_without_a_fresh_configuration)
{
    const order_planner planner({}, start);
    const op::endpointT desired = make_desired({"b"}, 9);
    BOOST_TEST(!planner.next(&desired, false, true, after_wait).has_value());
    BOOST_TEST(!planner.next(nullptr, true, true, after_wait).has_value());
}

// Guards against two agents that send orders to the same engine when it ignores fencing numbers.
BOOST_AUTO_TEST_CASE(new_agent_waits_when_the_engine_ignores_fencing_numbers)
{
    const order_planner planner({}, start);
    const op::endpointT ignores = make_desired({"b"}, 9, false);
    BOOST_TEST(!planner.next(&ignores, true, true, after_wait - milliseconds(1)).has_value());
    BOOST_TEST(planner.next(&ignores, true, true, after_wait).has_value());
    const op::endpointT checks = make_desired({"b"}, 9, true);
    BOOST_TEST(planner.next(&checks, true, true, start).has_value());
}

// Guards against an agent with an outdated epoch that repeats orders against those of a newer agent.
BOOST_AUTO_TEST_CASE(superseded_epoch_is_not_sent_again)
{
    order_planner planner({}, start);
    const op::endpointT desired = make_desired({"b"}, 9);
    planner.superseded(*planner.next(&desired, true, true, start));
    BOOST_TEST(!planner.next(&desired, true, true, start).has_value());
    const op::endpointT newer = make_desired({"b"}, 10);
    BOOST_TEST(planner.next(&newer, true, true, start).has_value());
}

// Guards against loads that exceed the read rate of the weight store.
BOOST_AUTO_TEST_CASE(each_load_needs_a_permit_and_a_minimum_interval)
{
    order_planner planner({}, start);
    const op::endpointT desired = make_desired({"b", "c"}, 9);
    BOOST_TEST(planner.wants_load(&desired));
    BOOST_TEST(!planner.next(&desired, true, false, start).has_value());
    planner.succeeded(*planner.next(&desired, true, true, start), start);
    BOOST_TEST(
        !planner.next(&desired, true, true, start + agent::load_interval - milliseconds(1)).has_value());
    BOOST_TEST(planner.next(&desired, true, true, start + agent::load_interval).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
