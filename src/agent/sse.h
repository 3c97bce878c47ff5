#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbena::agent {

// Cuts a server-sent event stream into whole events. Only whole events go into the answer, so that a resume
// at a token index continues at the exact byte, and the final [DONE] is left out: the entry writes it after
// it has checked the answer.
class sse_splitter {
public:
    // Takes bytes as they arrive and returns the whole events among them.
    std::string feed(std::string_view bytes);

    // True once the stream has announced its end.
    bool done() const { return m_done; }

    // True once an event has given the reason why the answer ended; nothing of the text is missing then.
    bool finished() const { return m_finished; }

    // Events returned so far; one a token.
    std::uint32_t events() const { return m_events; }

    // Forgets a part of an event after the stream broke.
    void discard_partial() { m_partial.clear(); }

private:
    std::string m_partial;
    std::uint32_t m_events = 0;
    bool m_done = false;
    bool m_finished = false;
};

} // namespace verbena::agent
