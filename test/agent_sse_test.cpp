#include "agent/sse.h"

#include <boost/test/unit_test.hpp>

using verbena::agent::sse_splitter;

BOOST_AUTO_TEST_SUITE(agent_sse)

// Guards against a resume at a token index that repeats or drops part of an event, for every position at
// which the stream can be split.
BOOST_AUTO_TEST_CASE(only_complete_events_pass_at_any_split)
{
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    const std::string expected = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        sse_splitter splitter;
        std::string events = splitter.feed(stream.substr(0, split));
        BOOST_TEST((events.empty() || events.ends_with("\n\n")));
        events += splitter.feed(stream.substr(split));
        BOOST_TEST(events == expected);
        BOOST_TEST(splitter.done());
        BOOST_TEST(splitter.events() == 2U);
    }
}

// Guards against treating an interrupted stream as complete.
BOOST_AUTO_TEST_CASE(stream_without_done_event_is_not_done)
{
    sse_splitter splitter;
    (void)splitter.feed("data: {\"a\":1}\n\ndata: [DO");
    BOOST_TEST(!splitter.done());
    splitter.discard_partial();
    BOOST_TEST(splitter.feed("data: {\"b\":2}\n\n") == "data: {\"b\":2}\n\n");
}

BOOST_AUTO_TEST_CASE(finish_reason_sets_finished)
{
    sse_splitter splitter;
    (void)splitter.feed("data: {\"finish_reason\":null}\n\n");
    BOOST_TEST(!splitter.finished());
    (void)splitter.feed("data: {\"finish_reason\":\"length\"}\n\n");
    BOOST_TEST(splitter.finished());
}

BOOST_AUTO_TEST_SUITE_END()
