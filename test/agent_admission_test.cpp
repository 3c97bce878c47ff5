#include "agent/admission.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using agent::admission;
using agent::attempt;
using agent::attempt_phase;

namespace {

const time_point start{std::chrono::hours(1)};

agent::serving_state serving()
{
    agent::serving_state state;
    state.fresh = true;
    return state;
}

wire::submitT make_submit(std::uint32_t prompt, std::uint32_t output, bool repeatable = true)
{
    wire::submitT submit;
    submit.team = "clerks";
    submit.prompt_tokens = prompt;
    submit.max_tokens = output;
    submit.time_left_ms = 60'000;
    submit.repeatable = repeatable;
    submit.entry_incarnation = 7;
    return submit;
}

// Admission of one endpoint, driven without an engine.
struct fixture {
    net::asio::io_context io;
    admission table{[] {
        agent::admission_options options;
        options.memory_tokens = 100'000;
        options.prefill_tokens_per_s = 100'000;
        options.cold_limit = 1;
        options.warm_limit = 4;
        options.queue_limit = 8;
        return options;
    }()};
    std::uint64_t next = 1;

    std::shared_ptr<attempt> make(std::uint32_t prompt, std::uint32_t output, bool repeatable = true,
                                  time_point now = start)
    {
        const attempt_id id{request_id{1, next++}, 1};
        return std::make_shared<attempt>(id, make_submit(prompt, output, repeatable), "body", now,
                                         io.get_executor());
    }

    std::vector<std::shared_ptr<attempt>> take(time_point now = start)
    {
        return table.take_work(serving(), now).dispatch;
    }

    void report(incarnation engine, bool cold = false)
    {
        agent::engine_status status;
        status.engine = engine;
        status.cold = cold;
        (void)table.observe(status);
    }
};

agent::held_request held(const std::shared_ptr<attempt>& value, std::uint64_t tokens)
{
    return {value->engine_id(), tokens};
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_admission)

// Guards against new work at an endpoint whose configuration may be outdated, that is leaving, or whose
// failure domain is out of service.
BOOST_AUTO_TEST_CASE(work_is_refused_when_stale_out_or_leaving)
{
    fixture f;
    const wire::submitT submit = make_submit(100, 10);
    BOOST_TEST(!f.table.check(submit, serving(), start).has_value());
    agent::serving_state stale = serving();
    stale.fresh = false;
    BOOST_TEST((f.table.check(submit, stale, start)->reason == wire::refusal::stale));
    agent::serving_state out = serving();
    out.domain = op::admin_state::out;
    BOOST_TEST((f.table.check(submit, out, start)->reason == wire::refusal::domain_out));
    agent::serving_state leaving = serving();
    leaving.endpoint = op::admin_state::leaving;
    BOOST_TEST((f.table.check(submit, leaving, start)->reason == wire::refusal::leaving));
}

// Guards against dispatching queued work after its failure domain was taken out of service.
BOOST_AUTO_TEST_CASE(queued_work_is_refused_when_the_domain_goes_out)
{
    fixture f;
    f.report(1);
    const auto first = f.make(100, 10);
    const auto second = f.make(100, 10);
    BOOST_TEST(f.table.enqueue(first, serving(), start).added);
    BOOST_TEST(f.table.enqueue(second, serving(), start).added);
    BOOST_TEST(f.take().size() == 1U);
    agent::serving_state out = serving();
    out.domain = op::admin_state::out;
    const auto work = f.table.take_work(out, start);
    BOOST_TEST(work.dispatch.empty());
    BOOST_TEST_REQUIRE(work.refused.size() == 1U);
    BOOST_TEST((f.table.phase_of(work.refused.front().first) == attempt_phase::ended));
    BOOST_TEST(f.take().empty());
}

// Guards against overload of an engine that becomes cold while work is queued.
BOOST_AUTO_TEST_CASE(cold_limit_falls_for_queued_work_at_once)
{
    fixture f;
    f.report(1);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(f.table.enqueue(f.make(100, 10), serving(), start).added);
    }
    auto running = f.take();
    BOOST_TEST_REQUIRE(running.size() == 1U);
    f.table.released(running.front());
    f.table.ended(running.front(), policy::service_sample{100, 10, milliseconds(1), milliseconds(10)}, start);
    running = f.take();
    BOOST_TEST(running.size() == 2U);
    f.report(2);
    for (const auto& value : running) {
        f.table.released(value);
    }
    BOOST_TEST(f.take().size() == 1U);
}

// Guards against exceeding the engine's memory when an attempt has ended here but not yet in the engine.
BOOST_AUTO_TEST_CASE(memory_is_reserved_until_the_engine_has_ended_the_request)
{
    fixture f;
    f.report(1);
    // Raise the limit to 2.
    const auto warm = f.make(100, 10);
    (void)f.table.enqueue(warm, serving(), start);
    (void)f.take();
    f.table.released(warm);
    f.table.ended(warm, policy::service_sample{100, 10, milliseconds(1), milliseconds(10)}, start);
    const auto first = f.make(7'000, 60'000);
    const auto second = f.make(7'000, 60'000);
    (void)f.table.enqueue(first, serving(), start);
    (void)f.table.enqueue(second, serving(), start);
    BOOST_TEST(f.take().size() == 1U);
    f.table.ended(first, std::nullopt, start);
    BOOST_TEST(f.take().empty(), "the engine still holds the first request");
    BOOST_TEST(f.table.reconcile({held(first, 67'000)}).vanished.empty());
    BOOST_TEST(f.take().empty());
    BOOST_TEST(f.table.reconcile({}).vanished.size() == 1U);
    BOOST_TEST(f.take().size() == 1U);
}

// Guards against leaked engine memory after an agent restart or a lost cancel.
BOOST_AUTO_TEST_CASE(unknown_engine_requests_are_cancelled_and_counted)
{
    fixture f;
    f.report(1);
    const auto found = f.table.reconcile({{"00000000000000010000000000000009-1", 500}, {"foreign", 10}});
    BOOST_TEST(found.unknown.size() == 2U);
    BOOST_TEST(f.table.load().free_tokens == 99'490U);
}

// Guards against a second run of an attempt that arrives twice, and against a run of one that was closed
// before it arrived.
BOOST_AUTO_TEST_CASE(an_attempt_runs_at_most_once)
{
    fixture f;
    f.report(1);
    const auto value = f.make(100, 10, false);
    BOOST_TEST(f.table.enqueue(value, serving(), start).added);
    const auto copy = std::make_shared<attempt>(value->id, value->submit, "body", start, f.io.get_executor());
    const auto duplicate = f.table.enqueue(copy, serving(), start);
    BOOST_TEST(!duplicate.added);
    BOOST_TEST(duplicate.value == value);
    const time_point later = start + std::chrono::minutes(70);
    const auto late = f.make(100, 10, false, later);
    BOOST_TEST(f.table.close_unseen(late->id, start));
    const auto refused = f.table.enqueue(late, serving(), later);
    BOOST_TEST_REQUIRE(refused.refused.has_value());
    BOOST_TEST((refused.refused->reason == wire::refusal::closed));
}

// Guards against the reply "never seen" to a resend with a valid key for work that has run.
BOOST_AUTO_TEST_CASE(unrepeatable_attempts_are_remembered_longer_than_their_keys)
{
    fixture f;
    f.report(1);
    const auto value = f.make(1, 1, false);
    (void)f.table.enqueue(value, serving(), start);
    (void)f.take();
    f.table.ended(value, std::nullopt, start);
    f.table.acknowledged(value);
    (void)f.table.take_orphans(start + control::key_record_lifetime);
    BOOST_TEST(!f.table.close_unseen(value->id, start + control::key_record_lifetime));
}

// Guards against reservations that stay after their entry has disconnected.
BOOST_AUTO_TEST_CASE(orphans_are_taken_after_the_owner_lease)
{
    fixture f;
    f.report(1);
    const auto value = f.make(100, 10);
    (void)f.table.enqueue(value, serving(), start);
    (void)f.take();
    const std::uint64_t delivery = f.table.begin_delivery(value);
    f.table.delivery_broken(value, delivery, start);
    BOOST_TEST(f.table.take_orphans(start + milliseconds(4'900)).empty());
    const std::uint64_t resumed = f.table.begin_delivery(value);
    BOOST_TEST(f.table.take_orphans(start + milliseconds(5'100)).empty(), "the entry has resumed");
    f.table.delivery_broken(value, resumed, start);
    BOOST_TEST(f.table.take_orphans(start + milliseconds(5'100)).size() == 1U);
}

// Guards against repeatable requests that run on after their deadline.
BOOST_AUTO_TEST_CASE(only_repeatable_running_work_is_taken_at_its_deadline)
{
    fixture f;
    f.report(1);
    const auto value = f.make(100, 10);
    (void)f.table.enqueue(value, serving(), start);
    (void)f.take();
    BOOST_TEST(f.table.take_orphans(start + milliseconds(59'000)).empty());
    BOOST_TEST(f.table.take_orphans(start + milliseconds(60'000)).size() == 1U);
    fixture g;
    g.report(1);
    const auto unrepeatable = g.make(1, 1, false);
    (void)g.table.enqueue(unrepeatable, serving(), start);
    (void)g.take();
    BOOST_TEST(g.table.take_orphans(start + milliseconds(60'000)).empty());
}

// Guards against a queued request that gets no reply when its deadline passes.
BOOST_AUTO_TEST_CASE(queued_work_is_refused_at_its_deadline)
{
    fixture f;
    f.report(1);
    (void)f.table.enqueue(f.make(100, 10), serving(), start);
    (void)f.table.enqueue(f.make(100, 10), serving(), start);
    (void)f.take();
    const auto work = f.table.take_work(serving(), start + milliseconds(60'001));
    BOOST_TEST(work.refused.size() == 1U);
    BOOST_TEST((work.refused.front().second.reason == wire::refusal::deadline));
}

// Guards against attempts that count as running after the engine has restarted and lost them.
BOOST_AUTO_TEST_CASE(a_restarted_engine_loses_its_attempts)
{
    fixture f;
    f.report(1);
    const auto value = f.make(100, 10);
    (void)f.table.enqueue(value, serving(), start);
    (void)f.take();
    agent::engine_status status;
    status.engine = 2;
    const auto lost = f.table.observe(status);
    BOOST_TEST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front() == value);
    BOOST_TEST(f.table.load().free_tokens == 100'000U);
}

// Guards against unbounded agent memory for queued request bodies and unread responses.
BOOST_AUTO_TEST_CASE(held_bytes_are_bounded_and_freed)
{
    net::asio::io_context io;
    agent::admission_options options;
    options.answer_memory = 10'000;
    admission table(options);
    const auto make = [&](std::uint64_t number, std::size_t size) {
        return std::make_shared<attempt>(attempt_id{request_id{2, number}, 1}, make_submit(100, 10),
                                         std::string(size, 'x'), start, io.get_executor(),
                                         table.answer_counter());
    };
    const auto first = make(1, 6'000);
    BOOST_TEST(table.enqueue(first, serving(), start).added);
    const auto refused = table.enqueue(make(2, 6'000), serving(), start);
    BOOST_TEST_REQUIRE(refused.refused.has_value());
    BOOST_TEST((refused.refused->reason == wire::refusal::memory));
    BOOST_TEST(table.cancel_queued(first, start));
    BOOST_TEST(table.held_answer_bytes() == 0U);
    const auto answered = make(3, 100);
    BOOST_TEST(table.enqueue(answered, serving(), start).added);
    answered->log.append(std::string(9'950, 'y'));
    BOOST_TEST(!table.enqueue(make(4, 100), serving(), start).added);
}

// Guards against queuing a request that can never fit into the endpoint's memory.
BOOST_AUTO_TEST_CASE(oversized_prompt_is_refused_with_the_largest_that_fits)
{
    fixture f;
    const auto refused = f.table.check(make_submit(200'000, 10), serving(), start);
    BOOST_TEST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->reason == wire::refusal::too_large));
    BOOST_TEST(refused->message.find("largest that fits") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
