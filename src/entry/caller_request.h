#pragma once

#include "base/error.h"
#include "base/types.h"
#include "net/http_server.h"
#include "node/config_view.h"

#include <memory>
#include <string>

namespace verbena::entry {

// Error response to a caller. `type` and `outcome` are machine-readable; `remedy` tells what to do.
struct caller_error {
    unsigned status = 500;
    std::string type;
    std::string message;
    std::string remedy;
    attempt_outcome outcome = attempt_outcome::not_run;
    milliseconds retry_after{0};
};

net::http_response to_response(const caller_error& failure);

// The error as a server-sent event, for a response that has already started.
std::string to_event(const caller_error& failure);

// Validated request of a caller.
struct caller_request {
    request_id id;
    std::string team;
    std::uint32_t weight = 100;
    std::string service;
    std::string model;
    std::string adapter;
    bool plain = false;
    std::string method = "POST";
    std::string path;
    std::string body;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    bool streamed = false;
    request_class urgency = request_class::standard;
    bool repeatable = true;
    std::string key;
    std::uint64_t prefix_hash = 0;
    time_point arrived;
    time_point deadline;

    length_class length() const { return classify(prompt_tokens); }
};

struct parse_options {
    milliseconds default_deadline{60'000};
};

// Longest deadline that a caller may set.
inline constexpr milliseconds max_deadline{3'600'000};

// Longest deadline of an unrepeatable request; the retention of its idempotency key depends on it.
inline constexpr std::chrono::minutes max_unrepeatable_deadline{10};

// Estimate of the bytes of prompt text per token; the model's tokenizer is not known here.
inline constexpr std::size_t bytes_per_token = 4;

using parse_result =
    boost::outcome_v2::basic_result<caller_request, caller_error, boost::outcome_v2::policy::all_narrow>;

// Parses and validates the API key, path, headers and body of a request.
parse_result parse_caller_request(net::http_request& request, const node::config_snapshot& config,
                                  const parse_options& options, request_id id, time_point now);

} // namespace verbena::entry
