#include "policy/admission_queue.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace verbena;
using namespace verbena::test;
using std::chrono::seconds;

namespace {

policy::cold_limit warm_limit(std::uint32_t limit)
{
    return policy::cold_limit({.cold = limit, .warm = limit});
}

policy::admission_queue make_queue(std::size_t limit = 256)
{
    return policy::admission_queue(limit, policy::make_class_shares());
}

bool push(policy::admission_queue& queue, const policy::queued_request& request,
          const policy::memory_account& memory)
{
    return queue.push(request, memory, request.arrival) == policy::push_verdict::queued;
}

// Dispatches and finishes one request. Returns its number, or 0 if none can be dispatched.
std::uint64_t serve_one(policy::admission_queue& queue, policy::memory_account& memory, time_point now)
{
    const auto request = queue.pop(memory, warm_limit(64), now);
    if (!request) {
        return 0;
    }
    memory.release(request->attempt);
    return request->attempt.request.low;
}

std::vector<std::unique_ptr<policy::scheduling_policy>> all_policies()
{
    std::vector<std::unique_ptr<policy::scheduling_policy>> policies;
    policies.push_back(policy::make_first_come_first_served());
    policies.push_back(policy::make_class_shares());
    policies.push_back(policy::make_shortest_work());
    return policies;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_queue)

// Guards against short requests that wait behind long ones.
BOOST_AUTO_TEST_CASE(short_goes_before_medium_before_long)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    BOOST_TEST(push(queue, make_request(1, "a", 300'000), memory));
    BOOST_TEST(push(queue, make_request(2, "a", 50'000), memory));
    BOOST_TEST(push(queue, make_request(3, "a", 1'000), memory));
    for (const std::uint64_t expected : {3U, 2U, 1U, 0U}) {
        BOOST_TEST(serve_one(queue, memory, at(seconds(1))) == expected);
    }
}

// Guards against batch requests dispatched before interactive ones of the same length class.
BOOST_AUTO_TEST_CASE(interactive_goes_before_standard_before_batch)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    for (const std::uint64_t number : {1U, 2U, 3U}) {
        auto request = make_request(number, "a", 1'000);
        request.priority_class = static_cast<request_class>(3 - number);
        BOOST_TEST(push(queue, request, memory));
    }
    for (const std::uint64_t expected : {3U, 2U, 1U}) {
        BOOST_TEST(serve_one(queue, memory, at(seconds(1))) == expected);
    }
}

// Guards against a team that gets more than its weighted share by sending more. The backlog of a busy team
// may delay another team by at most one request of each other team.
BOOST_AUTO_TEST_CASE(waiting_teams_share_by_weight)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    queue.set_weight("b", 2);
    std::map<std::uint64_t, std::string> team;
    for (std::uint64_t i = 1; i <= 120; ++i) {
        team[i] = i <= 60 ? "a" : i <= 100 ? "b" : "c";
        BOOST_TEST(push(queue, make_request(i, team[i], 1'000), memory));
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 80; ++i) {
        const auto number = serve_one(queue, memory, at(seconds(1)));
        BOOST_TEST_REQUIRE(number != 0U);
        served[team[number]] += team[number] == "b" ? 0.5 : 1;
        BOOST_TEST_REQUIRE(std::abs(served["a"] - served["b"]) <= 2);
        BOOST_TEST_REQUIRE(std::abs(served["a"] - served["c"]) <= 2);
    }
}

// Guards against one team that fills the queue so that others are refused.
BOOST_AUTO_TEST_CASE(a_team_cannot_fill_the_queue)
{
    auto queue = make_queue(40);
    policy::memory_account memory(1'000'000);
    std::size_t admitted = 0;
    for (std::uint64_t i = 1; i <= 10; ++i) {
        BOOST_TEST(push(queue, make_request(1'000 + i, "b", 1'000), memory));
    }
    for (std::uint64_t i = 1; i <= 100; ++i) {
        admitted += push(queue, make_request(i, "a", 1'000), memory) ? 1 : 0;
    }
    BOOST_TEST(admitted <= 20U);
    BOOST_TEST(push(queue, make_request(2'000, "c", 1'000), memory));
    BOOST_TEST(queue.size() <= 40U);
}

// Guards against starvation of long requests under a continuous load of short ones.
BOOST_AUTO_TEST_CASE(long_work_is_dispatched_within_its_deadline_under_continuous_short_work)
{
    for (auto& chosen : all_policies()) {
        const std::string name(chosen->name());
        policy::admission_queue queue(256, std::move(chosen));
        policy::memory_account memory(400'000);
        const auto limit = warm_limit(64);
        std::multimap<std::int64_t, attempt_id> running; // end of service
        std::int64_t dispatched_at = -1;
        BOOST_TEST(push(queue, make_request(1, "long", 250'000), memory));
        for (std::int64_t ms = 0; ms < 60'000 && dispatched_at < 0; ms += 10) {
            push(queue, make_request(10 + static_cast<std::uint64_t>(ms), "short", 7'800, milliseconds(ms)),
                 memory);
            while (!running.empty() && running.begin()->first <= ms) {
                memory.release(running.begin()->second);
                running.erase(running.begin());
            }
            while (const auto request = queue.pop(memory, limit, at(milliseconds(ms)))) {
                running.emplace(ms + 1'000, request->attempt);
                dispatched_at = request->attempt == attempt(1) ? ms : dispatched_at;
            }
        }
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(dispatched_at >= 0);
            BOOST_TEST(dispatched_at <= 50'000);
        }
    }
}

// Guards against short requests being blocked entirely while free memory is kept for a long one.
BOOST_AUTO_TEST_CASE(short_work_keeps_the_protected_share_while_long_work_waits)
{
    auto queue = make_queue();
    policy::memory_account memory(400'000);
    BOOST_TEST(push(queue, make_request(1, "a", 250'000), memory));
    BOOST_TEST(serve_one(queue, memory, at(seconds(0))) == 1U);
    BOOST_TEST(memory.reserve(attempt(900), 260'000, length_class::long_prompt, 7));
    BOOST_TEST(push(queue, make_request(2, "a", 250'000), memory));
    BOOST_TEST(push(queue, make_request(3, "a", 5'000), memory));
    BOOST_TEST(serve_one(queue, memory, at(seconds(40))) == 3U);
}

// Guards against smaller long prompts that keep overtaking a larger one.
BOOST_AUTO_TEST_CASE(no_long_work_overtakes_aged_long_work)
{
    auto queue = make_queue();
    policy::memory_account memory(400'000);
    BOOST_TEST(memory.reserve(attempt(900), 110'000, length_class::long_prompt, 7));
    BOOST_TEST(push(queue, make_request(1, "a", 250'000), memory));
    BOOST_TEST(push(queue, make_request(2, "a", 110'000, milliseconds(1)), memory));
    BOOST_TEST(serve_one(queue, memory, at(seconds(30))) == 0U);
    memory.release(attempt(900));
    BOOST_TEST(serve_one(queue, memory, at(seconds(30))) == 1U);
}

// Guards against dispatch above the cold limit.
BOOST_AUTO_TEST_CASE(the_cold_limit_bounds_dispatch)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    BOOST_TEST(push(queue, make_request(1, "a", 1'000), memory));
    BOOST_TEST(push(queue, make_request(2, "a", 1'000), memory));
    const auto limit = warm_limit(1);
    BOOST_TEST(queue.pop(memory, limit, at(seconds(1))).has_value());
    BOOST_TEST(!queue.pop(memory, limit, at(seconds(1))).has_value());
}

// Guards against queueing a prompt that needs more memory than the endpoint has.
BOOST_AUTO_TEST_CASE(a_prompt_that_can_never_fit_is_refused)
{
    auto queue = make_queue();
    const policy::memory_account memory(400'000);
    const auto request = make_request(1, "a", 300'000);
    BOOST_TEST((queue.push(request, memory, request.arrival) == policy::push_verdict::too_large));
}

// Guards against an estimate that includes requests scheduled after the new one.
BOOST_AUTO_TEST_CASE(work_ahead_counts_only_what_goes_before)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        BOOST_TEST(push(queue, make_request(i, "a", 1'000), memory));
    }
    BOOST_TEST(push(queue, make_request(50, "a", 300'000), memory));
    BOOST_TEST(queue.ahead_of(make_request(60, "a", 1'000), at(seconds(1))).waiting == 20U);
    BOOST_TEST(queue.ahead_of(make_request(60, "b", 1'000), at(seconds(1))).waiting <= 1U);
    BOOST_TEST(queue.ahead_of(make_request(60, "a", 400'000), at(seconds(1))).waiting == 21U);
}

// Guards against a backlog in the engine, where neither the order of teams nor aging applies.
BOOST_AUTO_TEST_CASE(the_window_bounds_unprocessed_prompts_of_a_class)
{
    auto queue = make_queue();
    queue.set_window(policy::dispatch_window{});
    policy::memory_account memory(1'000'000);
    for (std::uint64_t i = 1; i <= 6; ++i) {
        BOOST_TEST(push(queue, make_request(i, "a", 4'000), memory));
    }
    const auto limit = warm_limit(64);
    const auto first = queue.pop(memory, limit, at(seconds(1)));
    BOOST_TEST_REQUIRE(first.has_value());
    BOOST_TEST(queue.pop(memory, limit, at(seconds(1))).has_value());
    BOOST_TEST(!queue.pop(memory, limit, at(seconds(1))).has_value());
    BOOST_TEST((queue.record_first_token(first->attempt, at(seconds(2))) == seconds(1)));
    BOOST_TEST(!queue.record_first_token(first->attempt, at(seconds(2))).has_value());
    BOOST_TEST(queue.pop(memory, limit, at(seconds(2))).has_value());
    BOOST_TEST(!queue.pop(memory, limit, at(seconds(2))).has_value());
}

// Guards against a prefill time that includes the wait behind an earlier prompt of the same class.
BOOST_AUTO_TEST_CASE(prefill_time_starts_at_the_previous_first_token)
{
    auto queue = make_queue();
    policy::memory_account memory(1'000'000);
    BOOST_TEST(push(queue, make_request(1, "a", 4'000), memory));
    BOOST_TEST(push(queue, make_request(2, "b", 4'000), memory));
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(1))).has_value());
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(1))).has_value());
    BOOST_TEST((queue.record_first_token(attempt(1), at(seconds(3))) == seconds(2)));
    BOOST_TEST((queue.record_first_token(attempt(2), at(seconds(4))) == seconds(1)));
}

// Guards against batch requests that fill the dispatch window and delay short requests of a higher request
// class.
BOOST_AUTO_TEST_CASE(batch_work_does_not_fill_the_window_of_short_work)
{
    auto queue = make_queue();
    queue.set_window(policy::dispatch_window{});
    policy::memory_account memory(1'000'000);
    auto batch = make_request(1, "a", 8'000);
    batch.priority_class = request_class::batch;
    BOOST_TEST(push(queue, batch, memory));
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(1))).has_value());
    BOOST_TEST(push(queue, make_request(2, "b", 8'000), memory));
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(1))).has_value());
}

// Guards against dispatched long requests that starve in the engine behind requests of higher priority.
BOOST_AUTO_TEST_CASE(new_work_yields_to_dispatched_long_work_that_has_aged)
{
    auto queue = make_queue();
    queue.set_window(policy::dispatch_window{});
    policy::memory_account memory(1'000'000);
    BOOST_TEST(push(queue, make_request(1, "a", 300'000, milliseconds(0), seconds(400)), memory));
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(1))).has_value());
    BOOST_TEST(push(queue, make_request(2, "a", 50'000, seconds(90), seconds(400)), memory));
    BOOST_TEST(!queue.pop(memory, warm_limit(64), at(seconds(101))).has_value());
    int held = 0;
    for (int second = 200; second < 240; ++second) {
        const auto number = static_cast<std::uint64_t>(second);
        BOOST_TEST(push(queue, make_request(number, "b", 1'000, seconds(second)), memory));
        const auto next = queue.pop(memory, warm_limit(64), at(seconds(second)));
        held += next.has_value() ? 0 : 1;
        while (const auto other = queue.remove(attempt(number))) {
        }
        memory.release(attempt(number));
    }
    BOOST_TEST(held == 10);
    BOOST_TEST(queue.record_first_token(attempt(1), at(seconds(240))).has_value());
    BOOST_TEST(queue.pop(memory, warm_limit(64), at(seconds(240))).has_value());
}

// Guards against requests that are lost, dispatched twice, dispatched after cancellation or their deadline,
// or dispatched beyond the memory or the limit, for each policy.
BOOST_AUTO_TEST_CASE(random_steps_keep_each_request_exactly_once)
{
    for (auto& chosen : all_policies()) {
        random_engine random(17);
        policy::admission_queue queue(64, std::move(chosen));
        policy::memory_account memory(400'000);
        std::set<std::uint64_t> waiting_numbers;
        std::vector<attempt_id> running;
        for (std::uint64_t i = 1; i < 20'000; ++i) {
            const auto ms = static_cast<std::int64_t>(i * 50);
            const auto now = at(milliseconds(ms));
            for (const auto& expired : queue.expire(now)) {
                BOOST_TEST_REQUIRE((expired.deadline <= now));
                BOOST_TEST_REQUIRE(waiting_numbers.erase(expired.attempt.request.low) == 1U);
            }
            const auto prompt = below(random, 10) == 0 ? below(random, 290'000) : below(random, 9'000);
            const auto team = "t" + std::to_string(below(random, 5));
            const auto request =
                make_request(i, team, static_cast<std::uint32_t>(prompt), milliseconds(ms), seconds(20));
            if (push(queue, request, memory)) {
                waiting_numbers.insert(i);
            }
            if (below(random, 8) == 0 && !waiting_numbers.empty()) {
                const auto number = *waiting_numbers.begin();
                BOOST_TEST_REQUIRE(queue.remove(attempt(number)).has_value());
                waiting_numbers.erase(number);
            }
            if (below(random, 2) == 0 && !running.empty()) {
                const auto index = static_cast<std::ptrdiff_t>(below(random, running.size()));
                BOOST_TEST_REQUIRE(memory.release(running[static_cast<std::size_t>(index)]));
                running.erase(running.begin() + index);
            }
            while (const auto next = queue.pop(memory, warm_limit(16), now)) {
                BOOST_TEST_REQUIRE(waiting_numbers.erase(next->attempt.request.low) == 1U);
                BOOST_TEST_REQUIRE((next->deadline > now));
                running.push_back(next->attempt);
            }
            BOOST_TEST_REQUIRE(memory.used() <= memory.capacity());
            BOOST_TEST_REQUIRE(memory.used_by_long() <= memory.long_capacity());
            BOOST_TEST_REQUIRE(memory.size() == running.size());
            BOOST_TEST_REQUIRE(running.size() <= 16U);
            BOOST_TEST_REQUIRE(queue.size() == waiting_numbers.size());
            BOOST_TEST_REQUIRE(queue.size() <= 64U);
        }
        for (const auto& request : queue.clear()) {
            BOOST_TEST(waiting_numbers.erase(request.attempt.request.low) == 1U);
        }
        BOOST_TEST(waiting_numbers.empty());
        BOOST_TEST(!queue.next_deadline().has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
