#include "agent/sse.h"

#include <boost/test/unit_test.hpp>

using verbena::agent::sse_splitter;

BOOST_AUTO_TEST_SUITE(agent_sse)

// Guards against a resume at a token index that repeats or drops a part of an event.
BOOST_AUTO_TEST_CASE(only_whole_events_pass_whatever_the_cuts)
{
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    const std::string expected = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        sse_splitter splitter;
        std::string out = splitter.feed(stream.substr(0, cut));
        BOOST_TEST((out.empty() || out.ends_with("\n\n")));
        out += splitter.feed(stream.substr(cut));
        BOOST_TEST(out == expected);
        BOOST_TEST(splitter.done());
        BOOST_TEST(splitter.events() == 2U);
    }
}

// Guards against taking a stream that broke for a whole one.
BOOST_AUTO_TEST_CASE(a_stream_without_done_is_not_done)
{
    sse_splitter splitter;
    (void)splitter.feed("data: {\"a\":1}\n\ndata: [DO");
    BOOST_TEST(!splitter.done());
    splitter.discard_partial();
    BOOST_TEST(splitter.feed("data: {\"b\":2}\n\n") == "data: {\"b\":2}\n\n");
}

BOOST_AUTO_TEST_CASE(the_finish_reason_is_noticed)
{
    sse_splitter splitter;
    (void)splitter.feed("data: {\"finish_reason\":null}\n\n");
    BOOST_TEST(!splitter.finished());
    (void)splitter.feed("data: {\"finish_reason\":\"length\"}\n\n");
    BOOST_TEST(splitter.finished());
}

BOOST_AUTO_TEST_SUITE_END()
