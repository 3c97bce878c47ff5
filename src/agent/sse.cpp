#include "agent/sse.h"

namespace verbena::agent {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view done_event = "data: [DONE]";
constexpr std::string_view finish_reason_prefix = "\"finish_reason\":\"";

} // namespace

std::string sse_splitter::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::string complete_events;
    std::size_t begin = 0;
    while (!m_done) {
        const std::size_t end = m_partial.find(separator, begin);
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event(m_partial.data() + begin, end - begin);
        if (event == done_event) {
            m_done = true;
        } else {
            complete_events.append(event).append(separator);
            ++m_events;
            m_finished = m_finished || event.find(finish_reason_prefix) != std::string_view::npos;
        }
        begin = end + separator.size();
    }
    m_partial.erase(0, begin);
    return complete_events;
}

} // namespace verbena::agent
