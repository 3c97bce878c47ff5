#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbena::forward {

// One complete server-sent event, including the empty line that ends it.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id;
    bool has_data = false; // comments have none
};

// Splits a stream of server-sent events into complete events, so that no part of an event is forwarded when
// an answer breaks off in the middle of it.
class event_reader {
public:
    void feed(std::string_view bytes) { m_buffer.append(bytes); }

    // The next complete event; empty when more bytes are needed.
    std::optional<stream_event> next();

    // Number of buffered bytes of an incomplete event.
    std::size_t pending_bytes() const { return m_buffer.size(); }

    // Number of bytes that are allocated for the buffer, whether in use or not.
    std::size_t allocated_bytes() const { return m_buffer.capacity(); }

private:
    std::string m_buffer;
    std::size_t m_search_from = 0;
};

} // namespace verbena::forward
