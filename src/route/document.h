#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbena::route {

// What may be done with a request a second time. `stream` answers with events and is idempotent only where
// its route says that it can be resumed.
enum class request_kind : std::uint8_t { safe, unsafe, stream };

// One service of a route and its share of the route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 0;
};

// Requests for one host whose path begins with a prefix.
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix; // begins and ends with a slash
    request_kind kind = request_kind::unsafe;
    milliseconds timeout{};     // longest time that a caller is kept waiting
    milliseconds objective{};   // time to the answer, or to the first event, that is in time; 0 = none
    milliseconds pause{};       // longest pause between events that is in time; 0 = none
    std::uint32_t priority = 0; // 0 is the most urgent
    std::vector<service_share> shares;
    std::uint32_t max_attempts = 1; // endpoints that one request may be sent to
    bool open = false;              // needs no key
    bool resumable = false;
};

// What the work of a model endpoint costs. See docs/platform.md for the terms.
struct engine_rule {
    std::uint32_t slots = 0;         // requests that run at once
    std::uint64_t memory_tokens = 0; // KV memory
    std::uint32_t event_tokens = 1;  // tokens in one event, and steps in a pass that has writers
    double step_ms = 0;              // a token step
    double writer_ms = 0;            // added to a step by each request that writes
    double context_ms_per_k = 0;     // added to a step by each 1,000 tokens of a writer's context
    double read_tokens_per_ms = 0;
    double pairs_ms_per_m = 0;      // added by each million pairs of a token and an earlier one
    std::uint32_t chunk_tokens = 1; // prompt tokens read in one step
    double hop_ms = 0;              // added to the steps of an answer whose prompt several endpoints hold
};

struct service_rule {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    milliseconds cold_time{};
    double cold_rate = 0; // requests per second that a cold endpoint bears; 0 = no limit
    std::optional<engine_rule> engine;
};

struct team_rule {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // goes before the priority of the route
};

// Bounds on what one caller may send and how long it may take.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{60'000};
};

// A published configuration in the terms of this project. `route::table` checks it and answers look-ups.
struct document {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<team_rule> teams; // empty: requests need no key
    caller_limits limits;
};

} // namespace verbena::route
