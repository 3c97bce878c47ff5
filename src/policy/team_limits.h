#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <string_view>

namespace verbena::policy {

// Limits of one team at one entry; 0 means no limit.
struct team_limit {
    std::uint32_t outstanding = 0;
    double tokens_per_second = 0; // prompt + max tokens
};

enum class team_verdict : std::uint8_t { admitted, too_many_outstanding, too_many_tokens };

const char* to_string(team_verdict verdict);

struct team_decision {
    team_verdict verdict = team_verdict::admitted;
    milliseconds retry_after{0};

    bool admitted() const { return verdict == team_verdict::admitted; }
};

// Limits the outstanding requests and the tokens per second (a token bucket) of each team. A request larger
// than one second of tokens drives the bucket negative instead of being refused, so that large prompts are
// possible under a low rate.
class team_limits {
public:
    // Sets the limit for teams without a limit of their own.
    void set_default(const team_limit& limit) { m_default = limit; }
    void set(std::string_view team, const team_limit& limit);
    void remove(std::string_view team);

    // Admits and counts the request, or returns the time after which to retry.
    team_decision admit(std::string_view team, std::uint64_t tokens, time_point now);

    // Ends one admitted request and returns its unused tokens to the team.
    void release(std::string_view team, std::uint64_t unused_tokens, time_point now);

    std::uint32_t outstanding(std::string_view team) const;
    std::size_t tracked() const { return m_states.size(); }

private:
    struct team_state {
        std::uint32_t outstanding = 0;
        double tokens = 0; // available; negative after a request larger than the available tokens
        time_point updated{};
        time_point released{};          // last release
        double seconds_per_release = 1; // mean interval between releases, bounded
    };

    team_limit limit_of(std::string_view team) const;
    team_state& state_of(std::string_view team, const team_limit& limit, time_point now);
    void prune(time_point now);

    team_limit m_default;
    name_map<team_limit> m_limits;
    name_map<team_state> m_states;
    time_point m_last_prune{};
};

} // namespace verbena::policy
