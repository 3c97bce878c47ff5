#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace verbena {

// The vocabulary every other header uses. A reader new to the project starts here, then reads
// docs/design.md.

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;

// Identifies one caller request for its whole life, across retries and reconnects.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_id&) const = default;
};

// One try of a request at one endpoint. Answers that name another attempt are dropped.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// Random number drawn by a process at each start; distinguishes a restarted process from its former self.
using incarnation = std::uint64_t;

// Number of an accepted configuration. It only grows.
using revision = std::uint64_t;

// Prompt length classes. Short work has to stay fast beside long work.
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

// What a caller asks for besides length. Batch work gives way to the other two.
enum class request_class : std::uint8_t { interactive, standard, batch };

// The three ways an attempt can end. "not_run" always carries proof from the agent.
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
