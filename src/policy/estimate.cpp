#include "policy/estimate.h"

#include <algorithm>

namespace verbena::policy {

namespace {

// Cost of a prompt token relative to an output token: prefill at 8,000 tokens/s against 25 ms per decode
// step.
constexpr double prefill_token_cost = 0.005;

// Samples are clamped to within this factor of the learned value.
constexpr double max_sample_factor = 4.0;

double to_seconds(clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

clock::duration from_seconds(double value)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(value));
}

} // namespace

double work_units(std::uint32_t prompt_tokens, std::uint32_t output_tokens)
{
    return 1.0 + prefill_token_cost * prompt_tokens + output_tokens;
}

service_estimator::service_estimator(const estimator_options& options) : m_weight(options.weight)
{
    for (auto& value : m_values) {
        value.prefill_seconds_per_token = 1.0 / options.prefill_tokens_per_second;
        value.decode_seconds_per_token = to_seconds(options.decode_time_per_token);
    }
}

void service_estimator::update_average(double& value, double sample) const
{
    if (sample <= 0) {
        return;
    }
    const double clamped = std::clamp(sample, value / max_sample_factor, value * max_sample_factor);
    value += m_weight * (clamped - value);
}

void service_estimator::record(const service_sample& sample)
{
    const auto length = classify(sample.prompt_tokens);
    auto& value = values(length);
    if (sample.prompt_tokens > 0) {
        update_average(value.prefill_seconds_per_token, to_seconds(sample.prefill) / sample.prompt_tokens);
    }
    if (sample.output_tokens > 0) {
        update_average(value.decode_seconds_per_token, to_seconds(sample.decode) / sample.output_tokens);
    }
    const double service = to_seconds(sample.prefill + sample.decode);
    if (value.service_seconds <= 0) {
        value.service_seconds = service;
    } else {
        update_average(value.service_seconds, service);
    }
    for (auto& count : m_counts) {
        count *= 1.0 - m_weight;
    }
    m_counts[static_cast<std::size_t>(length)] += m_weight;
}

clock::duration service_estimator::prefill_time(std::uint32_t prompt_tokens) const
{
    return from_seconds(prompt_tokens * values(classify(prompt_tokens)).prefill_seconds_per_token);
}

clock::duration service_estimator::decode_time(length_class length, std::uint32_t output_tokens) const
{
    return from_seconds(output_tokens * values(length).decode_seconds_per_token);
}

double service_estimator::mean_service_seconds() const
{
    double sum = 0;
    double weight = 0;
    for (std::size_t i = 0; i < length_class_count; ++i) {
        sum += m_counts[i] * m_values[i].service_seconds;
        weight += m_counts[i];
    }
    return weight > 0 ? sum / weight : 0;
}

service_estimate service_estimator::estimate(std::uint32_t prompt_tokens, std::uint32_t output_tokens,
                                             const backlog& ahead) const
{
    const auto length = classify(prompt_tokens);
    const double prefill_wait =
        static_cast<double>(ahead.prefill_tokens) * values(length).prefill_seconds_per_token;
    const double slot_wait = mean_service_seconds() * ahead.waiting / std::max(1U, ahead.limit);
    service_estimate estimate;
    estimate.queue = from_seconds(std::max(prefill_wait, slot_wait));
    estimate.prefill = prefill_time(prompt_tokens);
    estimate.decode = decode_time(length, output_tokens);
    return estimate;
}

bool service_estimator::meets(const service_estimate& estimate, time_point now, time_point deadline) const
{
    return now + estimate.total() <= deadline;
}

double service_estimator::prefill_tokens_per_second(length_class length) const
{
    return 1.0 / values(length).prefill_seconds_per_token;
}

} // namespace verbena::policy
