#include "forward/event_reader.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using verbena::forward::event_reader;
using verbena::forward::stream_event;

BOOST_AUTO_TEST_SUITE(forward_event_reader)

// The reader returns the same complete events for every chunk size of the input.
BOOST_AUTO_TEST_CASE(returns_complete_events_for_any_chunk_size)
{
    const std::string text = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        event_reader reader;
        std::vector<stream_event> events;
        std::string joined;
        for (std::size_t at = 0; at < text.size(); at += step) {
            reader.feed(text.substr(at, step));
            while (auto event = reader.next()) {
                joined += event->text;
                events.push_back(*event);
            }
        }
        BOOST_TEST_REQUIRE(events.size() == 3U);
        BOOST_TEST(events[0].id.value() == 1U);
        BOOST_TEST(events[1].id.value() == 2U);
        BOOST_TEST(!events[2].id.has_value());
        BOOST_TEST(joined == text);
        BOOST_TEST(reader.pending_bytes() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(buffers_incomplete_event)
{
    event_reader reader;
    reader.feed("id: 1\ndata: a\n");
    BOOST_TEST(!reader.next().has_value());
    BOOST_TEST(reader.pending_bytes() == 14U);
}

BOOST_AUTO_TEST_SUITE_END()
