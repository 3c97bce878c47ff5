#pragma once

#include "policy/endpoint_load.h"

#include <optional>
#include <vector>

namespace verbena::policy {

// Properties of a request to a model service that its placement depends on.
struct model_request {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    milliseconds objective{}; // allowed time to the first event
    milliseconds used{};      // elapsed part of the objective; the request is late if used >= objective
    milliseconds pause{};     // longest allowed pause between events; 0 = no limit
    milliseconds disconnect_after{}; // the caller disconnects after this time without an event; 0 = never
    double value = 1;                // loss if it is not served, in any unit common to all requests
    double queue_loss_per_ms = 0;    // expected loss of the prompts behind it per ms that it waits
};

// An endpoint that is eligible for the request.
struct placement_candidate {
    const endpoint_load* load = nullptr;
    double slowdown = 1;      // measured time / predicted time
    double failure_share = 0; // failed fraction of its recent answers
    bool other_domain = false;
    bool accepts_prefill_parts = true;
    std::uint32_t slots = 1;
    // Expected requests that other deciders have sent to the endpoints of its failure domain and that `load`
    // does not hold yet.
    double unheard = 0;
};

struct placement_options {
    // Minimum prefill time of a part. Each part delays one event of every answer decoded at its endpoint.
    double min_part_ms = 15;
    // Maximum number of endpoints that prefill one prompt, including the one that decodes. The platform
    // allows 16 helpers.
    std::size_t max_parts = 17;
    // Prompts with a longer prefill are not placed unsplit on an endpoint where other requests are decoding
    // or waiting, because those would be blocked for the whole prefill. 60 ms is about 11,000 tokens on
    // current engines.
    double max_unsplit_ms = 60;
    // An endpoint with no more prefill backlog than this, about one short prompt, counts as free for a part.
    double idle_backlog_ms = 30;
    // Fraction of a request's value that is lost if its answer is late, from the users' price of late
    // answers.
    double late_loss = 0.75;
    // The same if the caller disconnects or the answer has to be generated again.
    double abandoned_loss = 1.5;
    // Fraction of the value put at risk by each additional endpoint that the answer depends on.
    double extra_endpoint_loss = 0.0005;
    // Fraction of the value charged for decoding at an endpoint whose answers all allow longer pauses: with
    // the new answer the endpoint is no longer free to prefill long prompts.
    double shorter_pause_cost = 0.25;
    // The same at an endpoint that decodes answers with the same pause, per fraction of its slots that are
    // free: such answers fill few endpoints instead of spreading over all of them.
    double packing_cost = 0.1;
    // Fraction of the value charged for the traffic between failure domains.
    double cross_domain_cost = 0.05;
    // The same for each endpoint of another failure domain that prefills a part: schedulers of other domains
    // that decide at the same time may choose it as well.
    double other_domain_helper_cost = 0.01;
    // Predictions must stay below this fraction of a limit, because their median error is about a tenth.
    double prediction_margin = 0.9;
    // Fraction of an endpoint's memory that its requests may use together.
    double usable_memory_share = 0.95;
    // Uniform in [0, 1): chooses among the endpoints whose free slots together have room for what other
    // deciders may have sent meanwhile, so that deciders with the same picture do not all take the same one.
    // Unset: the least expected loss decides alone.
    std::optional<double> draw;
};

// Options of a decider that knows its own work only. It cannot tell which endpoints others have filled, and
// deciders that fill few endpoints each would overrun them together; so it prefers none but the least loaded.
placement_options options_alone();

// Value that the caller can still lose; reduced if the first event is already late.
double value_left(const model_request& request, const placement_options& options = {});

// Expected loss of a request per ms by which its first event is delayed.
double loss_per_ms(const model_request& request);

// Result of a placement. `parts` holds the indexes of the chosen candidates, the decoding endpoint first.
struct placement {
    std::vector<std::size_t> parts;
    // Memory to reserve at each part, in tokens; all 0 if the prompt fits into the first one.
    std::vector<std::uint64_t> reserved_tokens;
    // Time until the endpoints are free for their parts. An endpoint prefills the parts of split prompts
    // before all other prompts, newest first, so a part that arrives too early delays all work that is there.
    double wait_ms = 0;
    double first_event_ms = 0;
    double loss_to_others = 0; // expected loss of requests already at the endpoints
    double expected_loss = 0;
};

// Chooses the endpoints that prefill a prompt and the one that decodes its answer, minimizing the expected
// loss of this request and of the requests already at the endpoints. Endpoints serve prompts of very
// different lengths, and a long prompt prefilled by a single endpoint blocks all other work there for
// seconds, so prompts are split as far as that reduces the expected loss. Returns nullopt if no candidate has
// enough memory.
std::optional<placement> place(const model_request& request, const engine_cost& cost,
                               const std::vector<placement_candidate>& candidates, time_point now,
                               const placement_options& options = {});

} // namespace verbena::policy
