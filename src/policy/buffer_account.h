#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <string_view>
#include <unordered_map>

namespace verbena::policy {

struct buffer_caps {
    std::uint64_t stream = 256ULL * 1024;
    std::uint64_t team = 64ULL * 1024 * 1024;
    std::uint64_t total = 256ULL * 1024 * 1024;
};

// Callers get status 429 for team_full and 503 for total_full.
enum class buffer_verdict : std::uint8_t { reserved, team_full, total_full, duplicate };

const char* to_string(buffer_verdict verdict);

// Accounts for the buffer memory of responses that callers have not read yet. Memory is reserved at
// admission. All sizes are in bytes.
class buffer_account {
public:
    // Response bytes reserved per output token.
    static constexpr std::uint64_t bytes_per_token = 8;

    explicit buffer_account(const buffer_caps& caps = {});

    // Bytes that a stream with this many output tokens reserves.
    std::uint64_t size_for(std::uint32_t max_tokens) const;

    buffer_verdict reserve(const request_id& stream, std::string_view team, std::uint32_t max_tokens);

    // Releases the stream's reservation and all its buffered bytes. Returns false for an unknown stream.
    bool release(const request_id& stream);

    // Adds received bytes to the stream's buffer. Returns false and adds nothing if they exceed its
    // reservation.
    bool buffer(const request_id& stream, std::uint64_t bytes);

    // Removes bytes that have been written to the caller.
    void drain(const request_id& stream, std::uint64_t bytes);

    // Bytes that the stream may still receive, used as the receive window of its endpoint connection.
    std::uint64_t room(const request_id& stream) const;

    std::uint64_t reserved() const { return m_reserved; }
    std::uint64_t buffered() const { return m_buffered; }
    std::uint64_t reserved_by(std::string_view team) const;
    std::size_t streams() const { return m_streams.size(); }

private:
    struct stream_state {
        std::string team;
        std::uint64_t reserved = 0;
        std::uint64_t buffered = 0;
    };

    buffer_caps m_caps;
    std::uint64_t m_reserved = 0;
    std::uint64_t m_buffered = 0;
    std::unordered_map<request_id, stream_state> m_streams;
    name_map<std::uint64_t> m_teams;
};

} // namespace verbena::policy
