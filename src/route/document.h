#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbena::route {

// Whether a request may be repeated. `safe` requests are idempotent, `unsafe` ones are not. A `stream` is
// answered with events and is idempotent only if its route is resumable.
enum class request_kind : std::uint8_t { safe, unsafe, stream };

// One service of a route and its weight in the distribution of the route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 0;
};

// Applies to requests for one host whose path begins with a prefix.
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix; // begins and ends with a slash
    request_kind kind = request_kind::unsafe;
    milliseconds timeout{};     // longest time that a caller is kept waiting
    milliseconds objective{};   // target time to the answer, or to the first event; 0 = none
    milliseconds max_pause{};   // target for the longest pause between events; 0 = none
    std::uint32_t priority = 0; // 0 is the highest
    std::vector<service_share> shares;
    std::uint32_t max_attempts = 1; // attempts that may have run, for one request
    bool allows_anonymous = false;  // no API key required
    bool resumable = false;
};

// Cost model of a model endpoint. See docs/platform.md for the terms.
struct engine_rule {
    std::uint32_t slots = 0;          // requests that run concurrently
    std::uint64_t memory_tokens = 0;  // KV memory
    std::uint32_t event_tokens = 1;   // tokens in one event, and steps in a pass with decoding requests
    double step_ms = 0;               // time of one token step
    double decode_sequence_ms = 0;    // added to a step by each decoding request
    double context_ms_per_k = 0;      // added to a step by each 1,000 context tokens of a decoding request
    double prefill_tokens_per_ms = 0; // prefill rate
    double attention_ms_per_m_pairs =
        0; // attention cost: added by each million pairs of a token and an earlier one
    std::uint32_t chunk_tokens = 1; // prompt tokens prefilled in one step
    double hop_ms = 0; // added to the steps of an answer whose prompt is held by several endpoints
    // Mean token counts of the prompts and answers that the service expects; 0 = not stated.
    std::uint32_t usual_prompt_tokens = 0;
    std::uint32_t usual_answer_tokens = 0;
    std::chrono::microseconds domain_delay{}; // longest one between two failure domains; 0 = not stated
};

// Number of endpoints that may be ordered for a service. `min` and `max` apply to each failure domain.
struct scaling_rule {
    std::uint32_t min = 0;
    std::uint32_t max = 0;
    milliseconds boot_time{}; // from the order of an endpoint until it takes requests
};

struct service_rule {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    milliseconds cold_time{};
    double cold_rate = 0; // requests per second that a cold endpoint can take; 0 = no limit
    std::optional<engine_rule> engine;
    std::optional<scaling_rule> scaling; // absent: no endpoints are ordered
};

struct team_rule {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // overrides the priority of the route
};

// Limits on the size and duration of one caller's request.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{60'000};
};

// A published configuration, decoded from the format of the platform. `route::table` validates it and
// provides the look-ups.
struct document {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    // Absent: no request needs an API key. Empty: no key is valid, so that only routes that allow anonymous
    // requests serve any.
    std::optional<std::vector<team_rule>> teams;
    caller_limits limits;
};

} // namespace verbena::route
