#include "policy/engine_cost.h"

#include <algorithm>

namespace verbena::policy {

double engine_cost::prefill_ms(std::uint32_t prompt_tokens, std::size_t parts) const
{
    const double tokens = prompt_tokens;
    const double linear = m_rule.prefill_tokens_per_ms > 0 ? tokens / m_rule.prefill_tokens_per_ms : 0;
    const double million_token_pairs = tokens * tokens / 2 / 1e6;
    const double step_overhead = tokens / std::max<double>(m_rule.chunk_tokens, 1) * m_rule.step_ms;
    return (linear + million_token_pairs * m_rule.attention_ms_per_m_pairs + step_overhead) /
           static_cast<double>(std::max<std::size_t>(parts, 1));
}

double engine_cost::step_ms(std::size_t decoding_requests, std::uint64_t context_tokens) const
{
    return m_rule.step_ms + static_cast<double>(decoding_requests) * m_rule.decode_sequence_ms +
           static_cast<double>(context_tokens) / 1000 * m_rule.context_ms_per_k;
}

double engine_cost::event_interval_ms(std::size_t decoding_requests, std::uint64_t context_tokens) const
{
    return step_ms(decoding_requests, context_tokens) * std::max<std::uint32_t>(m_rule.event_tokens, 1);
}

double engine_cost::max_prefill_in_pass_ms() const
{
    const double tokens = static_cast<double>(m_rule.chunk_tokens) * m_rule.event_tokens;
    return m_rule.prefill_tokens_per_ms > 0 ? tokens / m_rule.prefill_tokens_per_ms : 0;
}

double engine_cost::decode_ms(std::uint32_t output_tokens, std::size_t decoding_requests,
                              std::uint64_t context_tokens) const
{
    return step_ms(decoding_requests, context_tokens) * output_tokens;
}

bool slots_are_scarce(const route::engine_rule& rule)
{
    // Lengths vary around their mean. With less spare memory, a few long prompts use it up before the slots.
    constexpr double spare_memory = 1.5;
    const double tokens = static_cast<double>(rule.usual_prompt_tokens) + rule.usual_answer_tokens;
    const double needed = tokens * rule.slots;
    return needed > 0 && static_cast<double>(rule.memory_tokens) >= spare_memory * needed;
}

} // namespace verbena::policy
