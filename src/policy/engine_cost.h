#pragma once

#include "route/document.h"

namespace verbena::policy {

// Predicts what work costs at a model endpoint, from the constants that its service publishes. All results
// are in milliseconds of an endpoint at its nominal speed.
class engine_cost {
public:
    explicit engine_cost(const route::engine_rule& rule) : m_rule(rule) {}

    // Time to read a prompt, shared evenly by `parts` endpoints. The cost in pairs of tokens grows with the
    // square of the whole prompt and is shared as well.
    double read_ms(std::uint32_t prompt_tokens, std::size_t parts = 1) const;

    // One token step while `writers` answers with `context_tokens` of context in all are written.
    double step_ms(std::size_t writers, std::uint64_t context_tokens) const;

    // One event of every writer, without what is read in between.
    double pass_ms(std::size_t writers, std::uint64_t context_tokens) const;

    // Most prompt reading that fits between two events, for a prompt without a long past.
    double most_read_in_pass_ms() const;

    // Time to write an answer beside `writers` others.
    double write_ms(std::uint32_t output_tokens, std::size_t writers, std::uint64_t context_tokens) const;

    const route::engine_rule& rule() const { return m_rule; }

private:
    route::engine_rule m_rule;
};

} // namespace verbena::policy
