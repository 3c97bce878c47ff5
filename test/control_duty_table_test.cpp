#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

log_entry::duty_replyT apply(control::state_machine& machine, std::vector<std::uint8_t> command)
{
    const auto bytes = machine.apply(machine.applied_index() + 1, command);
    return control::parse_duty_reply(bytes).value();
}

std::uint64_t to_ms(control::wall_time value)
{
    return static_cast<std::uint64_t>(value.time_since_epoch().count());
}

log_entry::duty_replyT take(control::state_machine& machine, const std::string& duty,
                            const std::string& holder, std::uint64_t expected,
                            control::wall_time now = start_time)
{
    log_entry::take_dutyT command;
    command.now_ms = to_ms(now);
    command.duty = duty;
    command.holder = holder;
    command.incarnation = 7;
    command.expected_token = expected;
    return apply(machine, control::make_duty_command(std::move(command)));
}

log_entry::duty_replyT bar(control::state_machine& machine, const std::string& machine_name,
                           control::wall_time until, control::wall_time now = start_time)
{
    log_entry::bar_dutyT command;
    command.now_ms = to_ms(now);
    command.duty = "metering";
    command.machine = machine_name;
    command.until_ms = to_ms(until);
    return apply(machine, control::make_duty_command(std::move(command)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_duty_table)

// Guards against a token that is given out twice, by two duties or after a restart from a snapshot.
BOOST_AUTO_TEST_CASE(tokens_only_grow)
{
    control::state_machine machine;
    const auto first = take(machine, "metering", "a", 0);
    BOOST_TEST(first.accepted);
    const auto other = take(machine, "autoscale", "a", 0);
    BOOST_TEST(other.token > first.token);
    const auto second = take(machine, "metering", "b", first.token);
    BOOST_TEST(second.accepted);
    BOOST_TEST(second.token > other.token);

    control::state_machine copy;
    BOOST_TEST_REQUIRE(copy.restore(machine.snapshot()).has_value());
    BOOST_TEST(copy.snapshot() == machine.snapshot());
    BOOST_TEST(copy.duties().last_token() == second.token);
    BOOST_TEST(copy.duties().find("metering")->holder == "b");
    BOOST_TEST(copy.duties().find("metering")->incarnation == 7);
    const auto third = take(copy, "autoscale", "c", other.token);
    BOOST_TEST(third.token > second.token);
}

// Guards against tokens that go back when a clock does, or when a group without any disk starts anew.
BOOST_AUTO_TEST_CASE(tokens_grow_when_clocks_go_back_and_when_the_log_is_lost)
{
    control::state_machine machine;
    const auto first = take(machine, "metering", "a", 0, start_time + 1h);
    const auto second = take(machine, "metering", "b", first.token, start_time);
    BOOST_TEST(second.token > first.token);

    control::state_machine anew;
    BOOST_TEST(take(anew, "metering", "a", 0, start_time + 2h).token > second.token);
}

// Guards against two members that both take the duty from the same holder.
BOOST_AUTO_TEST_CASE(only_the_first_of_two_claims_is_accepted)
{
    control::state_machine machine;
    const auto first = take(machine, "metering", "a", 0);
    const auto late = take(machine, "metering", "b", 0);
    BOOST_TEST(!late.accepted);
    BOOST_TEST(late.holder == "a");
    BOOST_TEST(late.token == first.token);
}

// Guards against a machine that takes back a duty that an operator has moved away from it.
BOOST_AUTO_TEST_CASE(a_barred_machine_cannot_take_the_duty_until_the_time_is_over)
{
    control::state_machine machine;
    const auto first = take(machine, "metering", "a", 0);
    BOOST_TEST(bar(machine, "b", start_time + 1min).accepted);
    BOOST_TEST(!take(machine, "metering", "b", first.token, start_time + 59s).accepted);

    control::state_machine copy;
    BOOST_TEST_REQUIRE(copy.restore(machine.snapshot()).has_value());
    BOOST_TEST(copy.duties().is_barred("metering", "b", start_time + 59s));
    BOOST_TEST(!copy.duties().is_barred("autoscale", "b", start_time + 59s));
    BOOST_TEST(take(copy, "metering", "b", first.token, start_time + 60s).accepted);

    BOOST_TEST(bar(machine, "b", control::wall_time{}).accepted);
    BOOST_TEST(!machine.duties().is_barred("metering", "b", start_time));
}

BOOST_AUTO_TEST_SUITE_END()
