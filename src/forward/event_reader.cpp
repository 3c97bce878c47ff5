#include "forward/event_reader.h"

#include <algorithm>
#include <charconv>

namespace verbena::forward {

namespace {

// Offset just after the empty line that ends the first event; npos when there is none.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    for (std::size_t line = text.find('\n', from); line != std::string_view::npos;
         line = text.find('\n', line + 1)) {
        std::size_t next = line + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> read_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
            return parsed.ec == std::errc() ? std::optional<std::uint64_t>(id) : std::nullopt;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace

std::optional<stream_event> event_reader::next()
{
    const std::size_t end = find_event_end(m_buffer, m_search_from);
    if (end == std::string_view::npos) {
        // The last two bytes may be the start of the empty line, so the next search begins there.
        m_search_from = m_buffer.size() < 2 ? 0 : m_buffer.size() - 2;
        return std::nullopt;
    }
    stream_event event;
    event.text = m_buffer.substr(0, end);
    event.id = read_id(event.text);
    event.has_data = event.text.starts_with("data") || event.text.find("\ndata") != std::string::npos;
    m_buffer.erase(0, end);
    m_search_from = 0;
    return event;
}

} // namespace verbena::forward
