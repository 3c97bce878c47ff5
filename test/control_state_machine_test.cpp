#include "base/random.h"
#include "control/packed.h"
#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

using command_log = std::vector<std::vector<std::uint8_t>>;

op::change_replyT change(control::state_machine& machine, const op::change_requestT& request)
{
    const auto bytes = machine.apply(machine.applied_index() + 1, control::make_command(request, start_time));
    return control::parse_change_reply(bytes).value();
}

wire::key_replyT bind_key(control::state_machine& machine, const wire::key_bindT& request,
                          control::wall_time now)
{
    const auto bytes = machine.apply(machine.applied_index() + 1, control::make_command(request, now));
    return control::parse_key_reply(bytes).value();
}

control::state_machine restore_copy(const control::state_machine& machine,
                                    const control::state_limits& limits = {})
{
    control::state_machine copy(limits);
    BOOST_TEST_REQUIRE(copy.restore(machine.snapshot()).has_value());
    return copy;
}

// A random valid command. Few keys, ids and teams are used, so that binds, rebinds and finishes collide.
std::vector<std::uint8_t> random_command(random_engine& engine, revision current, control::wall_time now)
{
    const std::string key = make_key(std::chrono::seconds((now - start_time) / 60s * 60));
    const std::uint64_t id = engine() % 4;
    switch (engine() % 4) {
    case 0:
        return control::make_command(put_team("r" + std::to_string(engine() % 200), current - engine() % 2,
                                              "team" + std::to_string(engine() % 9), 1 + engine() % 500),
                                     now);
    case 1:
        return control::make_command(make_bind(key, id, 1), now);
    case 2:
        return control::make_command(make_rebind(key, id, 1, engine() % 4, 1), now);
    default:
        return control::make_command(make_finish(key, id, 1), now);
    }
}

// Random commands over about two hours, so that records expire meanwhile. On average 1 in 20 is truncated.
command_log random_log(std::uint64_t seed, std::size_t length)
{
    random_engine engine(seed);
    command_log log;
    control::state_machine model;
    control::wall_time now = start_time;
    while (log.size() < length) {
        now += std::chrono::seconds(engine() % 20) - 2s;
        auto command = random_command(engine, model.config().current_revision(), now);
        if (engine() % 20 == 0) {
            command.resize(engine() % command.size());
        }
        model.apply(log.size() + 1, command);
        log.push_back(std::move(command));
    }
    BOOST_TEST(model.config().current_revision() > 40U);
    BOOST_TEST(model.keys().size() > 10U);
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_state_machine)

// Guards against replicas that diverge, also when one of them is restored from snapshots.
BOOST_AUTO_TEST_CASE(replicas_that_applied_the_same_log_have_identical_snapshots)
{
    control::state_limits limits;
    limits.configuration.answers = 40;
    limits.configuration.revisions = 20;
    limits.keys.records = 30;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const command_log log = random_log(seed, 1'000);
        control::state_machine first(limits);
        control::state_machine second(limits);
        for (std::size_t i = 0; i < log.size(); ++i) {
            BOOST_TEST((first.apply(i + 1, log[i]) == second.apply(i + 1, log[i])));
            if (i % 97 == seed) {
                second = restore_copy(second, limits);
            }
        }
        BOOST_TEST((first.snapshot() == second.snapshot()));
        BOOST_TEST(first.keys().bytes() == second.keys().bytes());
    }
}

// Guards against a stored answer that is lost: the operator resends the request 500 changes later, after a
// snapshot and a restart.
BOOST_AUTO_TEST_CASE(resend_after_500_changes_and_a_restart_gets_the_first_answer)
{
    control::state_machine machine;
    const auto lost = change(machine, put_team("lost", 0, "clerks", 7));
    for (revision number = 1; number <= 500; ++number) {
        const auto reply = change(machine, put_team("r" + std::to_string(number), number, "buyers"));
        BOOST_TEST((reply.result == op::change_result::accepted));
    }
    control::state_machine after = restore_copy(machine);
    BOOST_TEST((change(after, put_team("lost", 0, "clerks", 7)) == lost));
    BOOST_TEST(after.config().current_revision() == 501U);
    const auto other = change(after, put_team("lost", 0, "clerks", 8));
    BOOST_TEST((other.result == op::change_result::invalid));
    BOOST_TEST(after.config().diff(1, 501).value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(keys_and_time_survive_snapshot_and_restore)
{
    control::state_machine machine;
    const std::string key = make_key(0s);
    bind_key(machine, make_bind(key, 1, 1), start_time + 30min);
    control::state_machine after = restore_copy(machine);
    BOOST_TEST((after.keys().now() == start_time + 30min));
    const auto reply = bind_key(after, make_bind(key, 2, 1), start_time);
    BOOST_TEST((reply.state == wire::key_state::bound_elsewhere));
    BOOST_TEST(reply.id->low() == 1U);
    BOOST_TEST(after.keys().bytes() == machine.keys().bytes());
}

// Guards against applying an entry twice after a restore.
BOOST_AUTO_TEST_CASE(entries_at_or_below_the_applied_index_are_ignored)
{
    control::state_machine machine;
    const auto command = control::make_command(put_team("a", 0, "clerks"), start_time);
    BOOST_TEST(!machine.apply(5, command).empty());
    BOOST_TEST(machine.apply(5, command).empty());
    BOOST_TEST(machine.apply(4, command).empty());
    BOOST_TEST(machine.applied_index() == 5U);
    BOOST_TEST(machine.invalid_commands() == 0U);
}

// Guards against a truncated entry or snapshot crashing the process or changing the state.
BOOST_AUTO_TEST_CASE(truncated_bytes_change_nothing)
{
    control::state_machine machine;
    change(machine, put_team("a", 0, "clerks"));
    const auto before = machine.snapshot();
    auto truncated = before;
    truncated.resize(before.size() / 2);
    BOOST_TEST(!machine.restore(truncated).has_value());
    BOOST_TEST((machine.snapshot() == before));
    auto command = control::make_command(put_team("b", 1, "buyers"), start_time);
    command.resize(command.size() / 2);
    BOOST_TEST(machine.apply(2, command).empty());
    BOOST_TEST(machine.apply(3, {}).empty());
    BOOST_TEST(machine.invalid_commands() == 2U);
    BOOST_TEST(machine.config().current_revision() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
