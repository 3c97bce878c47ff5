#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbena::forward {

// One whole server-sent event with the empty line that ends it.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id;
};

// Cuts a stream of server-sent events into whole events, so that an answer that breaks off in the middle of
// one passes on nothing of it.
class event_reader {
public:
    void feed(std::string_view bytes) { m_buffer.append(bytes); }

    // The next whole event; nothing when more bytes are needed.
    std::optional<stream_event> next();

    // Bytes of an event that has not ended.
    std::size_t rest() const { return m_buffer.size(); }

private:
    std::string m_buffer;
    std::size_t m_searched = 0;
};

} // namespace verbena::forward
