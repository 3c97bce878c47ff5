#pragma once

#include "base/random.h"
#include "policy/scheduling.h"

#include <string>

namespace verbena::test {

// Virtual time of the policy tests, counted from one hour after the clock's epoch.
inline time_point at(milliseconds offset)
{
    return time_point{} + std::chrono::hours(1) + offset;
}

inline attempt_id attempt(std::uint64_t number)
{
    return attempt_id{request_id{1, number}, 1};
}

inline policy::queued_request make_request(std::uint64_t number, const std::string& team,
                                           std::uint32_t prompt, milliseconds arrival = milliseconds(0),
                                           milliseconds deadline = milliseconds(60'000))
{
    policy::queued_request request;
    request.attempt = attempt(number);
    request.team = team;
    request.prompt_tokens = prompt;
    request.max_tokens = 200;
    request.owner = 7;
    request.arrival = at(arrival);
    request.deadline = at(arrival + deadline);
    return request;
}

inline std::uint64_t below(random_engine& random, std::uint64_t bound)
{
    return random() % bound;
}

} // namespace verbena::test
