#include "control/duty_holder.h"
#include "control/suspension_watch.h"
#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;
using control::call_answer;
using control::duty_step;

namespace {

const control::duty_limits limits{3'000ms, 300ms};
constexpr char duty[] = "metering";

std::vector<std::uint8_t> make_claim(const std::string& holder, std::uint64_t expected)
{
    log_entry::take_dutyT take;
    take.now_ms = static_cast<std::uint64_t>(start_time.time_since_epoch().count());
    take.duty = duty;
    take.holder = holder;
    take.incarnation = 1;
    take.expected_token = expected;
    return control::make_duty_command(std::move(take));
}

// A member with its copy of the replicated state. Members share a log; only the leader appends to it.
struct member {
    explicit member(const std::string& machine, std::uint64_t seed = 1)
        : name(machine), holder(machine, 1, limits, random_engine(seed))
    {
    }

    // The member leads and has applied the whole log.
    void catch_up(const std::vector<std::vector<std::uint8_t>>& log)
    {
        while (state.applied_index() < log.size()) {
            state.apply(state.applied_index() + 1, log[state.applied_index()]);
        }
    }

    std::uint64_t expected_token() const
    {
        const control::duty_record* record = state.duties().find(duty);
        return record == nullptr ? 0 : record->token;
    }

    control::duty_view view(time_point now, std::optional<milliseconds> age = 50ms) const
    {
        return {now, true, age, state.duties().find(duty), state.duties().is_barred(duty, name, start_time)};
    }

    std::string name;
    control::state_machine state;
    control::duty_holder holder;
};

// A member that has taken the duty and may act since `now`.
struct acting_member : member {
    acting_member() : member("a")
    {
        BOOST_TEST_REQUIRE((holder.next(view(now)) == duty_step::claim));
        log.push_back(make_claim(name, 0));
        catch_up(log);
        BOOST_TEST((holder.next(view(now)) == duty_step::wait));
        BOOST_TEST(holder.holds());
        now += limits.lease;
        BOOST_TEST_REQUIRE((holder.next(view(now)) == duty_step::act));
    }

    time_point now{1h};
    std::vector<std::vector<std::uint8_t>> log;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_duty_holder)

// Guards against a new holder that calls while calls of the previous one may still arrive.
BOOST_AUTO_TEST_CASE(a_new_holder_waits_for_a_lease)
{
    acting_member a;
    member b("b");
    a.log.push_back(make_claim("b", a.expected_token()));
    b.catch_up(a.log);
    BOOST_TEST((b.holder.next(b.view(a.now)) == duty_step::wait));
    BOOST_TEST((b.holder.next(b.view(a.now + limits.lease - 1ms)) == duty_step::wait));
    BOOST_TEST(!b.holder.may_send(b.view(a.now + limits.lease - 1ms), b.holder.token()));
    BOOST_TEST((b.holder.next(b.view(a.now + limits.lease)) == duty_step::act));
}

// Guards against a frozen holder that wakes and calls on a confirmation from before.
BOOST_AUTO_TEST_CASE(a_holder_without_a_recent_confirmation_does_not_act)
{
    acting_member a;
    BOOST_TEST((a.holder.next(a.view(a.now, 1'000ms)) == duty_step::wait));
    BOOST_TEST((a.holder.next(a.view(a.now, std::nullopt)) == duty_step::wait));
    BOOST_TEST((a.holder.next(a.view(a.now, 999ms)) == duty_step::act));
    BOOST_TEST(!a.holder.may_send(a.view(a.now, 1'000ms), a.holder.token()));
}

// Guards against calls right after a suspension, which a confirmation of a round begun before it allows.
BOOST_AUTO_TEST_CASE(a_suspension_ends_calls_until_a_later_round_confirms)
{
    acting_member a;
    a.holder.on_suspension(a.now);
    BOOST_TEST((a.holder.next(a.view(a.now + 299ms, 10ms)) == duty_step::wait));
    BOOST_TEST(!a.holder.may_send(a.view(a.now + 299ms, 10ms), a.holder.token()));
    BOOST_TEST((a.holder.next(a.view(a.now + 300ms, 301ms)) == duty_step::wait));
    BOOST_TEST((a.holder.next(a.view(a.now + 300ms, 300ms)) == duty_step::act));
}

// Guards against a second call with a token that the infrastructure has refused.
BOOST_AUTO_TEST_CASE(a_fenced_token_is_not_used_again)
{
    acting_member a;
    const std::uint64_t fenced = a.holder.token();
    a.holder.on_answer(call_answer::fenced, fenced, a.now);
    BOOST_TEST(!a.holder.holds());
    BOOST_TEST(!a.holder.may_send(a.view(a.now), fenced));
    a.now += 2s;
    BOOST_TEST((a.holder.next(a.view(a.now)) == duty_step::claim));
    control::duty_view follower = a.view(a.now);
    follower.leads = false;
    BOOST_TEST((a.holder.next(follower) == duty_step::wait));
    a.log.push_back(make_claim("a", fenced));
    a.catch_up(a.log);
    BOOST_TEST((a.holder.next(a.view(a.now)) == duty_step::wait));
    BOOST_TEST(a.holder.token() > fenced);
    BOOST_TEST((a.holder.next(a.view(a.now + limits.lease)) == duty_step::act));
}

// Guards against a call that is decided before a change of the holder and sent after it.
BOOST_AUTO_TEST_CASE(a_call_is_not_sent_after_the_claim_has_ended)
{
    acting_member a;
    const std::uint64_t token = a.holder.token();
    BOOST_TEST(a.holder.may_send(a.view(a.now), token));
    control::duty_view follower = a.view(a.now);
    follower.leads = false;
    BOOST_TEST(!a.holder.may_send(follower, token));
    a.log.push_back(make_claim("b", token));
    a.catch_up(a.log);
    BOOST_TEST(!a.holder.may_send(a.view(a.now), token));
    BOOST_TEST((a.holder.next(a.view(a.now)) == duty_step::claim));
}

// Guards against calls while the leadership is handed over, and against a barred machine that goes on.
BOOST_AUTO_TEST_CASE(a_stopping_or_barred_holder_does_not_act)
{
    acting_member a;
    control::duty_view barred = a.view(a.now);
    barred.barred = true;
    BOOST_TEST((a.holder.next(barred) == duty_step::wait));
    BOOST_TEST(!a.holder.holds());
    BOOST_TEST((a.holder.next(a.view(a.now)) == duty_step::act));
    a.holder.stop();
    BOOST_TEST((a.holder.next(a.view(a.now)) == duty_step::wait));
    BOOST_TEST(!a.holder.may_send(a.view(a.now), a.holder.token()));
    BOOST_TEST(!a.holder.holds());
}

// Guards against a restarted process that goes on with the token of its previous run, whose calls may arrive
// late.
BOOST_AUTO_TEST_CASE(a_restarted_process_is_another_holder)
{
    acting_member a;
    control::duty_holder restarted("a", 2, limits, random_engine(2));
    BOOST_TEST((restarted.next(a.view(a.now)) == duty_step::claim));
    BOOST_TEST(!restarted.holds());
}

// Guards against a holder that calls at a constant rate when the infrastructure answers 429 or nothing.
BOOST_AUTO_TEST_CASE(failed_calls_back_off_with_jitter)
{
    for (const call_answer answer : {call_answer::busy, call_answer::unknown, call_answer::not_sent}) {
        acting_member a;
        std::vector<milliseconds> pauses;
        for (int i = 0; i < 8; ++i) {
            a.holder.on_answer(answer, a.holder.token(), a.now);
            milliseconds pause{};
            while (a.holder.next(a.view(a.now + pause)) != duty_step::act) {
                pause += 1ms;
            }
            pauses.push_back(pause);
            a.now += pause;
        }
        BOOST_TEST(pauses.front().count() >= 50);
        BOOST_TEST(pauses.front().count() <= 100);
        BOOST_TEST(pauses.back().count() >= 1'000);
        BOOST_TEST(pauses.back().count() <= 2'000);
        BOOST_TEST(pauses[6].count() != pauses[7].count());
        a.holder.on_answer(call_answer::accepted, a.holder.token(), a.now);
        a.holder.on_answer(answer, a.holder.token(), a.now);
        BOOST_TEST((a.holder.next(a.view(a.now + 100ms)) == duty_step::act));
    }
}

// Guards against two holders with one token and against A, B, A inside the lease, when leaders change, are
// cut off and freeze at random. A leader that is cut off is confirmed up to the moment of the next election.
BOOST_AUTO_TEST_CASE(random_changes_of_leader_keep_holders_apart)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_engine random(seed);
        std::array<member, 3> members{member("a", seed), member("b", seed + 1), member("c", seed + 2)};
        std::array<time_point, 3> last_led{};
        std::array<time_point, 3> frozen_until{};
        std::vector<std::vector<std::uint8_t>> log;
        std::map<std::uint64_t, std::size_t> holders;
        std::array<std::optional<time_point>, 3> last_call{};
        std::optional<std::size_t> caller;
        std::size_t leader = 0;
        std::size_t calls = 0;
        time_point now{1h};
        time_point next_election = now + 5s;
        for (int step = 0; step < 4'000; ++step, now += 50ms) {
            if (now >= next_election) {
                // A frozen member cannot be elected, nor confirmed as long as it is frozen.
                const std::size_t candidate = random() % members.size();
                leader = now < frozen_until[candidate] ? leader : candidate;
                next_election = now + milliseconds(random() % 8'000);
            }
            if (random() % 100 == 0) {
                frozen_until[random() % members.size()] = now + milliseconds(random() % 4'000);
            }
            last_led[leader] = now < frozen_until[leader] ? last_led[leader] : now;
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (now < frozen_until[i]) {
                    continue;
                }
                member& value = members[i];
                if (i == leader) {
                    value.catch_up(log);
                }
                const auto age = std::chrono::duration_cast<milliseconds>(now - last_led[i]) + 60ms;
                const duty_step next = value.holder.next(value.view(now, age));
                if (next == duty_step::claim && i == leader) {
                    log.push_back(make_claim(value.name, value.expected_token()));
                    value.catch_up(log);
                } else if (next == duty_step::act) {
                    ++calls;
                    const auto known = holders.emplace(value.holder.token(), i);
                    BOOST_TEST_REQUIRE(known.first->second == i);
                    if (caller != i && last_call[i]) {
                        BOOST_TEST_REQUIRE((now - *last_call[i] >= limits.lease));
                    }
                    caller = i;
                    last_call[i] = now;
                }
            }
        }
        BOOST_TEST(calls > 100);
    }
}

// Guards against a suspension, a frozen process or a clock that was set and is not noticed.
BOOST_AUTO_TEST_CASE(suspensions_and_clock_steps_are_noticed)
{
    control::suspension_watch watch(1'000ms);
    control::clock_readings clocks{time_point(1h), 1h, start_time};
    const auto advance = [&](milliseconds now, milliseconds running, milliseconds wall) {
        clocks.now += now;
        clocks.running += running;
        clocks.wall += wall;
        return watch.observe(clocks);
    };
    BOOST_TEST(!advance(50ms, 50ms, 50ms));
    BOOST_TEST(!advance(50ms, 50ms, 50ms));
    BOOST_TEST(!advance(150ms, 149ms, 152ms));
    BOOST_TEST(advance(600ms, 50ms, 600ms)); // suspended
    BOOST_TEST(!advance(50ms, 50ms, 50ms));
    BOOST_TEST(advance(50ms, 50ms, 2'000ms));       // clock set forward
    BOOST_TEST(advance(50ms, 50ms, -5'000ms));      // and back
    BOOST_TEST(advance(1'100ms, 1'100ms, 1'100ms)); // the process did not run
    BOOST_TEST(!advance(50ms, 50ms, 50ms));
}

BOOST_AUTO_TEST_SUITE_END()
