#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <functional>
#include <string>

namespace verbena {

// Basic types used by all other headers; docs/design.md describes the concepts.

// Monotonic clock that includes the time for which the machine is suspended, unlike
// std::chrono::steady_clock: a lease or a confirmation must not seem younger to a process that has been
// suspended meanwhile.
struct clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        std::timespec since_boot{};
        clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(std::chrono::seconds(since_boot.tv_sec) + duration(since_boot.tv_nsec));
    }
};

using time_point = clock::time_point;
using std::chrono::milliseconds;

// Identifies one client request for its whole lifetime, across retries and reconnects.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_id&) const = default;
};

// One attempt to run a request at one endpoint. Replies that name another attempt are dropped.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// Random number generated at each start of a process; distinguishes a restarted process from its previous
// run.
using incarnation = std::uint64_t;

// Number of an accepted configuration; increases monotonically.
using revision = std::uint64_t;

// Prompt length classes. Requests with short prompts must stay fast while long prompts are processed.
enum class length_class : std::uint8_t { short_prompt, medium_prompt, long_prompt };

inline constexpr std::size_t length_class_count = 3;

// Largest prompt of the short class, in tokens.
inline constexpr std::uint32_t short_prompt_limit = 8'000;

// Largest prompt of the medium class, in tokens.
inline constexpr std::uint32_t medium_prompt_limit = 100'000;

constexpr length_class classify(std::uint32_t prompt_tokens)
{
    if (prompt_tokens <= short_prompt_limit) {
        return length_class::short_prompt;
    }
    if (prompt_tokens <= medium_prompt_limit) {
        return length_class::medium_prompt;
    }
    return length_class::long_prompt;
}

constexpr const char* to_string(length_class value)
{
    switch (value) {
    case length_class::short_prompt:
        return "short";
    case length_class::medium_prompt:
        return "medium";
    case length_class::long_prompt:
        return "long";
    }
    return "unknown";
}

// Service class requested by the client, independent of prompt length. Batch has the lowest priority.
enum class request_class : std::uint8_t { interactive, standard, batch };

// Possible outcomes of an attempt. not_run is reported only with proof from the agent.
enum class attempt_outcome : std::uint8_t { done, not_run, unknown };

} // namespace verbena

template <>
struct std::hash<verbena::request_id> {
    std::size_t operator()(const verbena::request_id& id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};

template <>
struct std::hash<verbena::attempt_id> {
    std::size_t operator()(const verbena::attempt_id& id) const noexcept
    {
        return std::hash<verbena::request_id>{}(id.request) + id.number;
    }
};
