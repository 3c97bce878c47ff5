#include "policy/buffer_account.h"

#include <algorithm>

namespace verbena::policy {

const char* to_string(buffer_verdict verdict)
{
    switch (verdict) {
    case buffer_verdict::reserved:
        return "reserved";
    case buffer_verdict::team_full:
        return "team_full";
    case buffer_verdict::total_full:
        return "total_full";
    case buffer_verdict::duplicate:
        return "duplicate";
    }
    return "unknown";
}

buffer_account::buffer_account(const buffer_caps& caps) : m_caps(caps) {}

std::uint64_t buffer_account::size_for(std::uint32_t max_tokens) const
{
    return std::min(m_caps.stream, std::max<std::uint64_t>(1, max_tokens) * bytes_per_token);
}

buffer_verdict buffer_account::reserve(const request_id& stream, std::string_view team,
                                       std::uint32_t max_tokens)
{
    if (m_streams.contains(stream)) {
        return buffer_verdict::duplicate;
    }
    const std::uint64_t bytes = size_for(max_tokens);
    const std::uint64_t by_team = reserved_by(team);
    if (bytes > m_caps.team || by_team > m_caps.team - bytes) {
        return buffer_verdict::team_full;
    }
    if (bytes > m_caps.total || m_reserved > m_caps.total - bytes) {
        return buffer_verdict::total_full;
    }
    m_streams.emplace(stream, stream_state{std::string(team), bytes, 0});
    m_teams.insert_or_assign(std::string(team), by_team + bytes);
    m_reserved += bytes;
    return buffer_verdict::reserved;
}

bool buffer_account::release(const request_id& stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return false;
    }
    const auto team = m_teams.find(found->second.team);
    team->second -= found->second.reserved;
    if (team->second == 0) {
        m_teams.erase(team);
    }
    m_reserved -= found->second.reserved;
    m_buffered -= found->second.buffered;
    m_streams.erase(found);
    return true;
}

bool buffer_account::buffer(const request_id& stream, std::uint64_t bytes)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || bytes > found->second.reserved - found->second.buffered) {
        return false;
    }
    found->second.buffered += bytes;
    m_buffered += bytes;
    return true;
}

void buffer_account::drain(const request_id& stream, std::uint64_t bytes)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const std::uint64_t drained = std::min(bytes, found->second.buffered);
    found->second.buffered -= drained;
    m_buffered -= drained;
}

std::uint64_t buffer_account::room(const request_id& stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.reserved - found->second.buffered;
}

std::uint64_t buffer_account::reserved_by(std::string_view team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second;
}

} // namespace verbena::policy
