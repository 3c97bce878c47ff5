#include "standin/engine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const time_point origin{};

standin::engine_options warm_options()
{
    standin::engine_options options;
    options.prefill_rate = 1'000;
    options.chunk_tokens = 100;
    options.decode_step = 10ms;
    options.capacity_tokens = 10'000;
    options.cold_requests = 0;
    options.cold_time = 0ms;
    return options;
}

standin::engine_request work(const std::string& id, std::uint32_t prompt, std::uint32_t answer)
{
    standin::engine_request request;
    request.id = id;
    request.prompt_tokens = prompt;
    request.max_tokens = answer;
    return request;
}

std::size_t count(const std::vector<standin::engine_event>& events, standin::engine_fact fact)
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const auto& event) { return event.fact == fact; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(standin_engine)

// Guards against a first token that comes before the whole prompt has been computed.
BOOST_AUTO_TEST_CASE(first_token_follows_the_prefill)
{
    standin::engine engine(warm_options(), 1, origin);
    BOOST_TEST_REQUIRE(engine.submit(work("a", 500, 3), origin).has_value());
    engine.advance(origin + 499ms);
    BOOST_TEST(engine.find("a")->generated == 0U);
    engine.advance(origin + 500ms);
    BOOST_TEST(engine.find("a")->generated == 1U);
    engine.advance(origin + 520ms);
    BOOST_TEST((engine.find("a")->state == standin::request_state::finished));
    BOOST_TEST(engine.used_tokens() == 0U);
}

// Guards against an engine that silently bears more memory than it has.
BOOST_AUTO_TEST_CASE(memory_above_the_capacity_drops_everything_and_restarts_cold)
{
    standin::engine_options options = warm_options();
    options.cold_requests = 1;
    options.cold_limit = 8;
    options.capacity_tokens = 1'000;
    standin::engine engine(options, 1, origin);
    const std::uint64_t before = engine.incarnation_number();
    BOOST_TEST(engine.submit(work("a", 600, 3), origin).has_value());
    BOOST_TEST(engine.submit(work("b", 600, 3), origin).has_value());
    engine.advance(origin + 200ms);
    const auto events = engine.take_events();
    BOOST_TEST(count(events, standin::engine_fact::overload) == 1U);
    BOOST_TEST(engine.requests().empty());
    BOOST_TEST(engine.used_tokens() == 0U);
    BOOST_TEST(engine.incarnation_number() != before);
    BOOST_TEST(engine.cold());
}

// Guards against a cold engine that takes full load.
BOOST_AUTO_TEST_CASE(more_than_the_cold_limit_makes_a_cold_engine_fall_over)
{
    standin::engine_options options = warm_options();
    options.cold_requests = 1;
    options.cold_limit = 1;
    standin::engine engine(options, 1, origin);
    BOOST_TEST(engine.submit(work("a", 10, 3), origin).has_value());
    const auto second = engine.submit(work("b", 10, 3), origin);
    BOOST_TEST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().kind == error_kind::unavailable));
    BOOST_TEST(count(engine.take_events(), standin::engine_fact::overload) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
