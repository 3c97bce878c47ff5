#pragma once

#include "policy/endpoint_load.h"

#include <optional>
#include <vector>

namespace verbena::policy {

// A request to a model service, as far as its placement depends on it.
struct model_request {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    milliseconds objective{}; // to the first event
    milliseconds used{};      // part of the objective that has passed; all of it or more = it is late already
    milliseconds pause{};     // between events
    milliseconds patience{};  // the caller leaves after this time without an event; 0 = never
    double value = 1;         // what callers lose if it is not served, in any unit that all requests share
};

// An endpoint that may take the request.
struct placement_candidate {
    const endpoint_load* load = nullptr;
    double pace = 1;          // measured time over predicted time
    double failure_share = 0; // of its recent answers
    bool other_domain = false;
    bool takes_parts = true;
    std::uint32_t slots = 1;
};

struct placement_options {
    // Parts are not made smaller than this; a part costs its endpoint a disturbed pass.
    double least_part_ms = 15;
    // Endpoints that may read one prompt, the one that writes included. The platform's bound is 16 helpers.
    std::size_t most_parts = 17;
    // A prompt that takes longer to read is not given to one endpoint alone while others write or wait there:
    // they would stand still for all of it. About 11,000 tokens on today's engines.
    double most_alone_ms = 60;
    // An endpoint with less than this left to read counts as free for a part; about a short prompt.
    double free_ms = 30;
    // Share of a value that is lost when an answer is late, from the users' price of late answers.
    double late_loss = 0.75;
    // The same when the caller leaves or the answer has to be made again.
    double gone_loss = 1.5;
    // Share of a value that one more endpoint puts at risk, as the answer then depends on it too.
    double exposure = 0.0005;
    // Share of a value by which an endpoint without writers of so short pauses is worse for writing: it is
    // then no longer free to read long prompts.
    double opening_cost = 0.25;
    // Share of a value that the bytes between failure domains cost.
    double other_domain_cost = 0.012;
    // Predictions are kept below a limit by this factor, because the median error is about a tenth.
    double margin = 0.9;
    // Share of memory that a prompt and its answer may take beside others.
    double memory_share = 0.95;
};

// What the caller can still lose: less when the first event is late already.
double value_left(const model_request& request, const placement_options& options = {});

// Where a request goes: candidates by index, the one that writes the answer first.
struct placement {
    std::vector<std::size_t> parts;
    // Memory to reserve at each part, in tokens; all 0 when the prompt fits the first one.
    std::vector<std::uint64_t> reserved_tokens;
    // Time until the endpoints are free for their parts. An endpoint reads the parts of shared prompts before
    // everything else and the newest first, so a part that comes too early holds up all that is there.
    double wait_ms = 0;
    double first_event_ms = 0;
    double harm = 0; // expected loss of those that are there already
    double expected_loss = 0;
};

// Chooses the endpoints that read a prompt and the one that writes its answer, so that this caller and those
// already there lose least. Prompts of very unlike lengths share the endpoints: a long prompt read by one
// endpoint holds up everything beside it for seconds, so it is split as far as that serves the callers.
// Nothing when no candidate can take it, for want of memory.
std::optional<placement> place(const model_request& request, const engine_cost& cost,
                               const std::vector<placement_candidate>& candidates, time_point now,
                               const placement_options& options = {});

} // namespace verbena::policy
