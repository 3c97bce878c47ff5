#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbena::agent {

// Splits a stream of server-sent events into complete events. Only complete events are added to the response,
// so that a resume at a token index continues at the right byte. The final [DONE] is left out: the entry
// writes it after verifying the response.
class sse_splitter {
public:
    // Appends received bytes and returns the events that are now complete.
    std::string feed(std::string_view bytes);

    // True once [DONE] was received.
    bool done() const { return m_done; }

    // True once an event had a finish_reason; the text is complete then.
    bool finished() const { return m_finished; }

    // Number of events returned so far; one per token.
    std::uint32_t events() const { return m_events; }

    // Discards an incomplete event after the stream has failed.
    void discard_partial() { m_partial.clear(); }

private:
    std::string m_partial;
    std::uint32_t m_events = 0;
    bool m_done = false;
    bool m_finished = false;
};

} // namespace verbena::agent
