#pragma once

#include "route/document.h"

namespace verbena::policy {

// Predicts prefill and decode times at a model endpoint from the cost constants of its service
// (route::engine_rule). All results are in milliseconds, for an endpoint at its nominal speed.
class engine_cost {
public:
    explicit engine_cost(const route::engine_rule& rule) : m_rule(rule) {}

    // Time to prefill a prompt that is split evenly over `parts` endpoints. The attention cost, per pair of
    // tokens, grows with the square of the whole prompt's length and is split as well.
    double prefill_ms(std::uint32_t prompt_tokens, std::size_t parts = 1) const;

    // One decode step of a batch of `decoding_requests` requests with `context_tokens` of context in total.
    double step_ms(std::size_t decoding_requests, std::uint64_t context_tokens) const;

    // Time between two events of each decoding request, without the prefill done in between.
    double event_interval_ms(std::size_t decoding_requests, std::uint64_t context_tokens) const;

    // Maximum prefill time that fits between two events, without the attention cost of earlier prompt tokens.
    double max_prefill_in_pass_ms() const;

    // Time to decode an answer while `decoding_requests` other requests are decoding.
    double decode_ms(std::uint32_t output_tokens, std::size_t decoding_requests,
                     std::uint64_t context_tokens) const;

    const route::engine_rule& rule() const { return m_rule; }

private:
    route::engine_rule m_rule;
};

// Whether an endpoint of the service usually runs out of slots before it runs out of memory: its memory holds
// at least half as much again as the usual requests in all of its slots. Then a request that waits for a slot
// is the common case under load. False if the service does not state its usual requests.
bool slots_are_scarce(const route::engine_rule& rule);

} // namespace verbena::policy
