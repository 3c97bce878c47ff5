#include "policy/placement.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

// The constants that the users' engines publish.
route::engine_rule users_engine()
{
    route::engine_rule rule;
    rule.slots = 16;
    rule.memory_tokens = 232'000;
    rule.event_tokens = 43;
    rule.step_ms = 1.02;
    rule.writer_ms = 0.00226;
    rule.context_ms_per_k = 0.00431;
    rule.read_tokens_per_ms = 206;
    rule.pairs_ms_per_m = 0.138;
    rule.chunk_tokens = 2048;
    rule.hop_ms = 0.075;
    return rule;
}

policy::model_request quote(std::uint32_t prompt = 5'000)
{
    policy::model_request request;
    request.prompt_tokens = prompt;
    request.output_tokens = 1'300;
    request.objective = 300ms;
    request.pause = 250ms;
    request.patience = 2s;
    request.value = 18;
    return request;
}

policy::model_request history(std::uint32_t prompt)
{
    policy::model_request request;
    request.prompt_tokens = prompt;
    request.output_tokens = 700;
    request.objective = 2'500ms;
    request.pause = 1s;
    request.patience = 10s;
    request.value = prompt / 1000.0 + 7;
    return request;
}

policy::endpoint_work writing(const policy::model_request& request)
{
    policy::endpoint_work work;
    work.context_tokens = request.prompt_tokens;
    work.held_tokens = request.prompt_tokens + request.output_tokens;
    work.objective = request.objective;
    work.pause = request.pause;
    work.value = request.value;
    work.due = at(0ms) + request.objective;
    return work;
}

// A fleet of equal endpoints at virtual time 0.
struct endpoints {
    explicit endpoints(std::size_t count) : loads(count) {}

    // Puts an answer that is being written on an endpoint.
    void write(std::size_t index, const policy::model_request& request)
    {
        const policy::work_key key{1, next++};
        loads[index].start(key, writing(request), 1, at(0ms));
        loads[index].first_event(key, 1, at(0ms));
    }

    // Puts a prompt that is still read on an endpoint.
    void read(std::size_t index, const policy::model_request& request)
    {
        policy::endpoint_work work = writing(request);
        work.read_ms = cost.read_ms(request.prompt_tokens);
        loads[index].start({1, next++}, work, 1, at(0ms));
    }

    std::optional<policy::placement> place(const policy::model_request& request)
    {
        std::vector<policy::placement_candidate> candidates;
        for (const policy::endpoint_load& load : loads) {
            policy::placement_candidate candidate;
            candidate.load = &load;
            candidate.slots = 16;
            candidates.push_back(candidate);
        }
        return policy::place(request, cost, candidates, at(0ms));
    }

    policy::engine_cost cost{users_engine()};
    std::vector<policy::endpoint_load> loads;
    std::uint64_t next = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_placement)

// Guards the cost model against the figures that the users' constants give.
BOOST_AUTO_TEST_CASE(predicts_the_published_costs)
{
    const policy::engine_cost cost(users_engine());
    BOOST_TEST(cost.read_ms(133'000) == 1'933.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(cost.read_ms(133'000, 4) == cost.read_ms(133'000) / 4, boost::test_tools::tolerance(0.001));
    BOOST_TEST(cost.pass_ms(0, 0) == 43.86, boost::test_tools::tolerance(0.001));
    BOOST_TEST(cost.pass_ms(16, 80'000) == 60.2, boost::test_tools::tolerance(0.02));
}

// A quote needs no helpers and is in time on a free fleet.
BOOST_AUTO_TEST_CASE(places_a_short_prompt_alone)
{
    endpoints fleet(18);
    const auto found = fleet.place(quote());
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() == 1U);
    BOOST_TEST(found->wait_ms == 0.0);
    BOOST_TEST(found->first_event_ms < 100.0);
}

// One endpoint would read a history for longer than its callers accept beside others; several do it in time.
BOOST_AUTO_TEST_CASE(splits_a_long_prompt)
{
    endpoints fleet(18);
    const auto found = fleet.place(history(133'000));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() > 3U);
    BOOST_TEST(found->first_event_ms < 700.0);
    const std::set<std::size_t> distinct(found->parts.begin(), found->parts.end());
    BOOST_TEST(distinct.size() == found->parts.size());
}

// Serves prompts above the memory of one engine, which an earlier version refused.
BOOST_AUTO_TEST_CASE(spreads_a_prompt_above_one_memory)
{
    endpoints fleet(18);
    const auto found = fleet.place(history(600'000));
    BOOST_TEST_REQUIRE(found.has_value());
    std::uint64_t reserved = 0;
    for (std::size_t i = 0; i < found->parts.size(); ++i) {
        BOOST_TEST(found->reserved_tokens[i] <= 232'000U);
        reserved += found->reserved_tokens[i];
    }
    BOOST_TEST(found->reserved_tokens[0] == 0U);
    BOOST_TEST(reserved + 232'000 >= 600'000U);
    endpoints small(2);
    BOOST_TEST(!small.place(history(600'000)).has_value());
}

// Short work stays fast beside long: quotes keep away from endpoints that read long prompts.
BOOST_AUTO_TEST_CASE(keeps_short_prompts_away_from_long_reads)
{
    endpoints fleet(4);
    fleet.read(0, history(133'000));
    fleet.read(1, history(133'000));
    for (int i = 0; i < 6; ++i) {
        const auto found = fleet.place(quote());
        BOOST_TEST_REQUIRE(found.has_value());
        BOOST_TEST(found->parts.front() >= 2U);
        BOOST_TEST(found->first_event_ms < 300.0);
        fleet.write(found->parts.front(), quote());
    }
}

// A long prompt does not break the pauses of quotes that are being written when other endpoints are free.
BOOST_AUTO_TEST_CASE(keeps_long_reads_away_from_short_pauses)
{
    endpoints fleet(18);
    for (std::size_t endpoint = 0; endpoint < 4; ++endpoint) {
        for (int i = 0; i < 6; ++i) {
            fleet.write(endpoint, quote());
        }
    }
    const auto found = fleet.place(history(230'000));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->harm < 18.0);
    const double part_ms = fleet.cost.read_ms(230'000, found->parts.size());
    for (const std::size_t part : found->parts) {
        BOOST_TEST((part >= 4 || part_ms < 225));
    }
}

// A part that comes while an endpoint reads another one would hold it up, so the request is told to wait.
BOOST_AUTO_TEST_CASE(waits_for_endpoints_that_still_read)
{
    endpoints fleet(6);
    for (std::size_t endpoint = 0; endpoint < 6; ++endpoint) {
        fleet.read(endpoint, history(40'000));
    }
    const auto found = fleet.place(history(133'000));
    BOOST_TEST_REQUIRE(found.has_value());
    if (found->parts.size() > 1) {
        BOOST_TEST(found->wait_ms > 0.0);
    }
}

// Answers with short pauses gather, so that endpoints stay free to read long prompts.
BOOST_AUTO_TEST_CASE(gathers_answers_with_short_pauses)
{
    endpoints fleet(18);
    std::set<std::size_t> used;
    for (int i = 0; i < 12; ++i) {
        const auto found = fleet.place(quote());
        BOOST_TEST_REQUIRE(found.has_value());
        used.insert(found->parts.front());
        fleet.write(found->parts.front(), quote());
    }
    BOOST_TEST(used.size() <= 6U);
}

// A caller whose answer is late already can lose less, so others are harmed less for it, but it is still
// placed by the time that the answer takes.
BOOST_AUTO_TEST_CASE(weighs_late_callers_by_what_they_can_still_lose)
{
    policy::model_request late = history(133'000);
    BOOST_TEST(policy::value_left(late) == late.value);
    late.used = late.objective;
    BOOST_TEST(policy::value_left(late) == late.value / 4, boost::test_tools::tolerance(0.001));
    endpoints fleet(18);
    const auto found = fleet.place(late);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() > 3U);
    BOOST_TEST(found->first_event_ms < 700.0);
    BOOST_TEST(found->harm == 0.0);
}

// Guards against one late prompt keeping all other work away from an endpoint.
BOOST_AUTO_TEST_CASE(a_late_prompt_counts_little_against_others)
{
    endpoints fleet(2);
    policy::endpoint_work late = writing(history(30'000));
    late.read_ms = 40;
    late.due = at(-1s);
    late.value = 9;
    fleet.loads[0].start({1, fleet.next++}, late, 1, at(0ms));
    fleet.read(1, quote(23'000));
    const auto found = fleet.place(quote());
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.front() == 0U);
}

// Guards against endpoints that fail or are slow being chosen like sound ones.
BOOST_AUTO_TEST_CASE(prefers_sound_endpoints)
{
    endpoints fleet(3);
    std::vector<policy::placement_candidate> candidates(3);
    for (std::size_t i = 0; i < 3; ++i) {
        candidates[i].load = &fleet.loads[i];
        candidates[i].slots = 16;
    }
    candidates[0].failure_share = 0.5;
    candidates[1].pace = 5;
    const auto found = policy::place(quote(), fleet.cost, candidates, at(0ms));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.front() == 2U);
}

// The first event corrects what is thought to be unread, and the end frees memory.
BOOST_AUTO_TEST_CASE(follows_the_work_of_an_endpoint)
{
    policy::endpoint_load load;
    policy::endpoint_work work = writing(quote());
    work.read_ms = 100;
    load.start({1, 1}, work, 1, at(0ms));
    load.start({2, 1}, work, 1, at(0ms));
    BOOST_TEST(load.backlog_ms(at(0ms)) == 200.0, boost::test_tools::tolerance(0.001));
    load.first_event({1, 1}, 1, at(40ms));
    BOOST_TEST(load.backlog_ms(at(40ms)) == 100.0, boost::test_tools::tolerance(0.001));
    BOOST_TEST(load.writers() == 1U);
    load.end({1, 1}, 1, at(50ms));
    BOOST_TEST(load.held_tokens() == 6'300U);
    load.forget(2, 1, at(60ms));
    BOOST_TEST(load.held_tokens() == 0U);
    BOOST_TEST(load.backlog_ms(at(60ms)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
