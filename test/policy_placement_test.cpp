#include "policy/placement.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

// Cost constants of the users' engines.
route::engine_rule engine_constants()
{
    route::engine_rule rule;
    rule.slots = 16;
    rule.memory_tokens = 232'000;
    rule.event_tokens = 43;
    rule.step_ms = 1.02;
    rule.decode_sequence_ms = 0.00226;
    rule.context_ms_per_k = 0.00431;
    rule.prefill_tokens_per_ms = 206;
    rule.attention_ms_per_m_pairs = 0.138;
    rule.chunk_tokens = 2048;
    rule.hop_ms = 0.075;
    return rule;
}

policy::model_request short_request(std::uint32_t prompt = 5'000)
{
    policy::model_request request;
    request.prompt_tokens = prompt;
    request.output_tokens = 1'300;
    request.objective = 300ms;
    request.pause = 250ms;
    request.disconnect_after = 2s;
    request.value = 18;
    return request;
}

policy::model_request long_request(std::uint32_t prompt)
{
    policy::model_request request;
    request.prompt_tokens = prompt;
    request.output_tokens = 700;
    request.objective = 2'500ms;
    request.pause = 1s;
    request.disconnect_after = 10s;
    request.value = prompt / 1000.0 + 7;
    return request;
}

policy::endpoint_work work_for(const policy::model_request& request)
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

// A fleet of identical endpoints at virtual time 0.
struct endpoint_fleet {
    explicit endpoint_fleet(std::size_t count) : loads(count) {}

    // Adds a decoding request to an endpoint.
    void add_decoding(std::size_t index, const policy::model_request& request)
    {
        const policy::work_key key{1, next++};
        loads[index].start(key, work_for(request), 1, at(0ms));
        loads[index].first_event(key, 1, at(0ms));
    }

    // Adds a request that is still in prefill to an endpoint.
    void add_prefill(std::size_t index, const policy::model_request& request)
    {
        policy::endpoint_work work = work_for(request);
        work.prefill_ms = cost.prefill_ms(request.prompt_tokens);
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

    policy::engine_cost cost{engine_constants()};
    std::vector<policy::endpoint_load> loads;
    std::uint64_t next = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_placement)

// Guards against a cost model that deviates from the costs expected with the users' constants.
BOOST_AUTO_TEST_CASE(predicts_the_published_costs)
{
    const policy::engine_cost cost(engine_constants());
    BOOST_TEST(cost.prefill_ms(133'000) == 1'933.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(cost.prefill_ms(133'000, 4) == cost.prefill_ms(133'000) / 4,
               boost::test_tools::tolerance(0.001));
    BOOST_TEST(cost.event_interval_ms(0, 0) == 43.86, boost::test_tools::tolerance(0.001));
    BOOST_TEST(cost.event_interval_ms(16, 80'000) == 60.2, boost::test_tools::tolerance(0.02));
}

// Guards against queueing for slots in a service whose endpoints run out of memory first, or whose
// configuration does not state the usual requests.
BOOST_AUTO_TEST_CASE(slots_are_scarce_only_with_spare_memory)
{
    route::engine_rule rule = engine_constants();
    BOOST_TEST(!policy::slots_are_scarce(rule));
    rule.usual_prompt_tokens = 8'000;
    rule.usual_answer_tokens = 1'600;
    BOOST_TEST(policy::slots_are_scarce(rule)); // 232,000 tokens for 16 requests of 9,600
    rule.usual_answer_tokens = 1'700;
    BOOST_TEST(!policy::slots_are_scarce(rule));
    rule.slots = 12;
    BOOST_TEST(policy::slots_are_scarce(rule));
}

// Guards against splitting a short prompt that an idle fleet serves in time unsplit.
BOOST_AUTO_TEST_CASE(places_a_short_prompt_unsplit)
{
    endpoint_fleet fleet(18);
    const auto found = fleet.place(short_request());
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() == 1U);
    BOOST_TEST(found->wait_ms == 0.0);
    BOOST_TEST(found->first_event_ms < 100.0);
}

// Guards against a long prompt placed unsplit on one endpoint, where its prefill would block other requests
// for too long. Several endpoints prefill it in time.
BOOST_AUTO_TEST_CASE(splits_a_long_prompt)
{
    endpoint_fleet fleet(18);
    const auto found = fleet.place(long_request(133'000));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() > 3U);
    BOOST_TEST(found->first_event_ms < 700.0);
    const std::set<std::size_t> distinct(found->parts.begin(), found->parts.end());
    BOOST_TEST(distinct.size() == found->parts.size());
}

// Guards against refusing prompts that exceed the memory of one engine but fit into several, a fault of an
// earlier version.
BOOST_AUTO_TEST_CASE(spreads_a_prompt_above_the_memory_of_one_engine)
{
    endpoint_fleet fleet(18);
    const auto found = fleet.place(long_request(600'000));
    BOOST_TEST_REQUIRE(found.has_value());
    std::uint64_t reserved = 0;
    for (std::size_t i = 0; i < found->parts.size(); ++i) {
        BOOST_TEST(found->reserved_tokens[i] <= 232'000U);
        reserved += found->reserved_tokens[i];
    }
    BOOST_TEST(found->reserved_tokens[0] == 0U);
    BOOST_TEST(reserved + 232'000 >= 600'000U);
    endpoint_fleet small(2);
    BOOST_TEST(!small.place(long_request(600'000)).has_value());
}

// Guards against short prompts placed behind the prefill of long ones.
BOOST_AUTO_TEST_CASE(keeps_short_prompts_away_from_long_prefills)
{
    endpoint_fleet fleet(4);
    fleet.add_prefill(0, long_request(133'000));
    fleet.add_prefill(1, long_request(133'000));
    for (int i = 0; i < 6; ++i) {
        const auto found = fleet.place(short_request());
        BOOST_TEST_REQUIRE(found.has_value());
        BOOST_TEST(found->parts.front() >= 2U);
        BOOST_TEST(found->first_event_ms < 300.0);
        fleet.add_decoding(found->parts.front(), short_request());
    }
}

// Guards against a long prefill that exceeds the allowed pauses of decoding short requests although other
// endpoints are free.
BOOST_AUTO_TEST_CASE(keeps_long_prefills_away_from_short_pauses)
{
    endpoint_fleet fleet(18);
    for (std::size_t endpoint = 0; endpoint < 4; ++endpoint) {
        for (int i = 0; i < 6; ++i) {
            fleet.add_decoding(endpoint, short_request());
        }
    }
    const auto found = fleet.place(long_request(230'000));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->loss_to_others < 18.0);
    const double part_ms = fleet.cost.prefill_ms(230'000, found->parts.size());
    for (const std::size_t part : found->parts) {
        BOOST_TEST((part >= 4 || part_ms < 225));
    }
}

// Guards against sending a part while the endpoint is still in the prefill of another one, which it would
// delay. The placement must include a wait.
BOOST_AUTO_TEST_CASE(waits_for_endpoints_in_prefill)
{
    endpoint_fleet fleet(6);
    for (std::size_t endpoint = 0; endpoint < 6; ++endpoint) {
        fleet.add_prefill(endpoint, long_request(40'000));
    }
    const auto found = fleet.place(long_request(133'000));
    BOOST_TEST_REQUIRE(found.has_value());
    if (found->parts.size() > 1) {
        BOOST_TEST(found->wait_ms > 0.0);
    }
}

// Guards against spreading answers with short allowed pauses over all endpoints, which would leave none free
// to prefill long prompts.
BOOST_AUTO_TEST_CASE(concentrates_answers_with_short_pauses)
{
    endpoint_fleet fleet(18);
    std::set<std::size_t> used;
    for (int i = 0; i < 12; ++i) {
        const auto found = fleet.place(short_request());
        BOOST_TEST_REQUIRE(found.has_value());
        used.insert(found->parts.front());
        fleet.add_decoding(found->parts.front(), short_request());
    }
    BOOST_TEST(used.size() <= 6U);
}

// A caller whose answer is already late has less to lose, so less loss to other requests is accepted for it.
// Its placement must still minimize its time to the first event.
BOOST_AUTO_TEST_CASE(weighs_late_callers_by_what_they_can_still_lose)
{
    policy::model_request late = long_request(133'000);
    BOOST_TEST(policy::value_left(late) == late.value);
    late.used = late.objective;
    BOOST_TEST(policy::value_left(late) == late.value / 4, boost::test_tools::tolerance(0.001));
    endpoint_fleet fleet(18);
    const auto found = fleet.place(late);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.size() > 3U);
    BOOST_TEST(found->first_event_ms < 700.0);
    BOOST_TEST(found->loss_to_others == 0.0);
}

// Guards against one late prompt that keeps all other requests away from its endpoint.
BOOST_AUTO_TEST_CASE(a_late_prompt_counts_little_against_others)
{
    endpoint_fleet fleet(2);
    policy::endpoint_work late = work_for(long_request(30'000));
    late.prefill_ms = 40;
    late.due = at(-1s);
    late.value = 9;
    fleet.loads[0].start({1, fleet.next++}, late, 1, at(0ms));
    fleet.add_prefill(1, short_request(23'000));
    const auto found = fleet.place(short_request());
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.front() == 0U);
}

// Guards against failing or slow endpoints being chosen like healthy ones.
BOOST_AUTO_TEST_CASE(prefers_healthy_endpoints)
{
    endpoint_fleet fleet(3);
    std::vector<policy::placement_candidate> candidates(3);
    for (std::size_t i = 0; i < 3; ++i) {
        candidates[i].load = &fleet.loads[i];
        candidates[i].slots = 16;
    }
    candidates[0].failure_share = 0.5;
    candidates[1].slowdown = 5;
    const auto found = policy::place(short_request(), fleet.cost, candidates, at(0ms));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->parts.front() == 2U);
}

// The first event corrects the predicted prefill backlog, and the end of a request frees its memory.
BOOST_AUTO_TEST_CASE(tracks_the_work_of_an_endpoint)
{
    policy::endpoint_load load;
    policy::endpoint_work work = work_for(short_request());
    work.prefill_ms = 100;
    load.start({1, 1}, work, 1, at(0ms));
    load.start({2, 1}, work, 1, at(0ms));
    BOOST_TEST(load.backlog_ms(at(0ms)) == 200.0, boost::test_tools::tolerance(0.001));
    load.first_event({1, 1}, 1, at(40ms));
    BOOST_TEST(load.backlog_ms(at(40ms)) == 100.0, boost::test_tools::tolerance(0.001));
    BOOST_TEST(load.decoding_requests() == 1U);
    load.end({1, 1}, 1, at(50ms));
    BOOST_TEST(load.held_tokens() == 6'300U);
    load.remove_entry(2, 1, at(60ms));
    BOOST_TEST(load.held_tokens() == 0U);
    BOOST_TEST(load.backlog_ms(at(60ms)) == 0.0);
}

// Load: short prompts after a burst, when each endpoint still decodes an answer or two. New ones go where
// others are, so that the rest becomes free for long prompts.
BOOST_AUTO_TEST_CASE(packs_answers_with_equal_pauses)
{
    endpoint_fleet fleet(20);
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.add_decoding(i, short_request());
    }
    for (int i = 0; i < 4; ++i) {
        fleet.add_decoding(7, short_request());
    }
    for (int i = 0; i < 6; ++i) {
        const auto found = fleet.place(short_request());
        BOOST_TEST_REQUIRE(found.has_value());
        BOOST_TEST(found->parts.front() == 7U);
        fleet.add_decoding(7, short_request());
    }
}

// A prompt at the head of a queue that waits for free endpoints makes those behind it wait as well, so it
// takes endpoints that are free now.
BOOST_AUTO_TEST_CASE(waits_less_at_the_head_of_a_queue)
{
    endpoint_fleet fleet(24);
    for (std::size_t i = 0; i < 12; ++i) {
        policy::endpoint_work work = work_for(long_request(60'000));
        work.prefill_ms = 250;
        fleet.loads[i].start({1, fleet.next++}, work, 1, at(0ms));
    }
    for (std::size_t i = 12; i < 24; ++i) {
        fleet.add_decoding(i, short_request());
    }
    policy::model_request request = long_request(300'000);
    request.objective = 6s;
    const auto patient = fleet.place(request);
    request.queue_loss_per_ms = 100;
    const auto urgent = fleet.place(request);
    BOOST_TEST_REQUIRE((patient && urgent));
    BOOST_TEST(urgent->wait_ms <= patient->wait_ms);
    BOOST_TEST(urgent->wait_ms == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
