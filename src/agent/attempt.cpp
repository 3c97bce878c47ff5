#include "agent/attempt.h"

#include <cinttypes>
#include <cstdio>

namespace verbena::agent {

std::string attempt::engine_id() const
{
    char text[64];
    std::snprintf(text, sizeof text, "%016" PRIx64 "%016" PRIx64 "-%u", id.request.high, id.request.low,
                  id.number);
    return text;
}

std::optional<attempt_id> parse_engine_id(const std::string& text)
{
    constexpr std::size_t id_digits = 32;
    if (text.size() < id_digits + 2 || text[id_digits] != '-') {
        return std::nullopt;
    }
    try {
        attempt_id id;
        id.request.high = std::stoull(text.substr(0, 16), nullptr, 16);
        id.request.low = std::stoull(text.substr(16, 16), nullptr, 16);
        id.number = static_cast<std::uint32_t>(std::stoul(text.substr(id_digits + 1)));
        return id;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace verbena::agent
