#include "standin/engine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const time_point start{};

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

standin::engine_request make_request(const std::string& id, std::uint32_t prompt_tokens,
                                     std::uint32_t max_tokens)
{
    standin::engine_request request;
    request.id = id;
    request.prompt_tokens = prompt_tokens;
    request.max_tokens = max_tokens;
    return request;
}

std::size_t count(const std::vector<standin::engine_event>& events, standin::engine_event_kind kind)
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const auto& event) { return event.kind == kind; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(standin_engine)

// Guards against a first token that is generated before the whole prompt has been processed.
BOOST_AUTO_TEST_CASE(first_token_follows_the_whole_prefill)
{
    standin::engine engine(warm_options(), 1, start);
    BOOST_TEST_REQUIRE(engine.submit(make_request("a", 500, 3), start).has_value());
    engine.advance(start + 499ms);
    BOOST_TEST(engine.find("a")->generated == 0U);
    engine.advance(start + 500ms);
    BOOST_TEST(engine.find("a")->generated == 1U);
    engine.advance(start + 520ms);
    BOOST_TEST((engine.find("a")->state == standin::request_state::finished));
    BOOST_TEST(engine.used_tokens() == 0U);
}

// Guards against an engine that uses more KV memory than its capacity without an overload.
BOOST_AUTO_TEST_CASE(memory_above_the_capacity_drops_all_requests_and_restarts_cold)
{
    standin::engine_options options = warm_options();
    options.cold_requests = 1;
    options.cold_limit = 8;
    options.capacity_tokens = 1'000;
    standin::engine engine(options, 1, start);
    const std::uint64_t first_incarnation = engine.incarnation_number();
    BOOST_TEST(engine.submit(make_request("a", 600, 3), start).has_value());
    BOOST_TEST(engine.submit(make_request("b", 600, 3), start).has_value());
    engine.advance(start + 200ms);
    const auto events = engine.take_events();
    BOOST_TEST(count(events, standin::engine_event_kind::overload) == 1U);
    BOOST_TEST(engine.requests().empty());
    BOOST_TEST(engine.used_tokens() == 0U);
    BOOST_TEST(engine.incarnation_number() != first_incarnation);
    BOOST_TEST(engine.cold());
}

// Guards against a cold engine that accepts as many requests as a warm one.
BOOST_AUTO_TEST_CASE(load_above_the_cold_limit_restarts_a_cold_engine)
{
    standin::engine_options options = warm_options();
    options.cold_requests = 1;
    options.cold_limit = 1;
    standin::engine engine(options, 1, start);
    BOOST_TEST(engine.submit(make_request("a", 10, 3), start).has_value());
    const auto second = engine.submit(make_request("b", 10, 3), start);
    BOOST_TEST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().kind == error_kind::unavailable));
    BOOST_TEST(count(engine.take_events(), standin::engine_event_kind::overload) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
