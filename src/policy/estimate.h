#pragma once

#include "base/types.h"

#include <array>

namespace verbena::policy {

// Cost of a request in decode steps: output tokens plus prompt tokens weighted by the relative cost of
// prefill. Makes service times comparable across prompts of very different lengths.
double work_units(std::uint32_t prompt_tokens, std::uint32_t output_tokens);

// Measured times of one finished request. The prefill time must not include the wait behind other prompts of
// the same class; admission_queue::record_first_token() returns it without that wait.
struct service_sample {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    clock::duration prefill{};
    clock::duration decode{};
};

// Work that an endpoint handles before a new request.
struct backlog {
    std::uint64_t prefill_tokens = 0; // of prompts that are queued, or dispatched and not yet prefilled
    std::uint32_t waiting = 0;        // requests queued before dispatch
    std::uint32_t limit = 1;          // requests that may be dispatched at once
};

// Estimated time of a request at an endpoint, by phase.
struct service_estimate {
    clock::duration queue{};
    clock::duration prefill{};
    clock::duration decode{};

    clock::duration first_token() const { return queue + prefill; }
    clock::duration total() const { return queue + prefill + decode; }
};

// Initial values, used until the first sample, and the weight of a sample.
struct estimator_options {
    double prefill_tokens_per_second = 8'000;
    clock::duration decode_time_per_token = milliseconds(25);
    // Weight of a new sample in the moving average. A sample is clamped to a factor of 4, so it changes a
    // value by at most this fraction of that factor.
    double weight = 0.1;
};

// Keeps moving averages of prefill and decode times per length class and estimates the time of a request.
class service_estimator {
public:
    explicit service_estimator(const estimator_options& options = {});

    void record(const service_sample& sample);

    clock::duration prefill_time(std::uint32_t prompt_tokens) const;
    clock::duration decode_time(length_class length, std::uint32_t output_tokens) const;

    // Estimates the time until a new request with these prompt and output sizes is finished.
    service_estimate estimate(std::uint32_t prompt_tokens, std::uint32_t output_tokens,
                              const backlog& ahead) const;

    // True if the request is expected to finish by its deadline.
    bool meets(const service_estimate& estimate, time_point now, time_point deadline) const;

    double prefill_tokens_per_second(length_class length) const;

private:
    struct class_values {
        double prefill_seconds_per_token = 0;
        double decode_seconds_per_token = 0;
        double service_seconds = 0; // mean time of a whole request
    };

    class_values& values(length_class length) { return m_values[static_cast<std::size_t>(length)]; }
    const class_values& values(length_class length) const
    {
        return m_values[static_cast<std::size_t>(length)];
    }
    double mean_service_seconds() const;
    void update_average(double& value, double sample) const;

    double m_weight;
    std::array<class_values, length_class_count> m_values{};
    std::array<double, length_class_count> m_counts{}; // decayed number of samples per class
};

} // namespace verbena::policy
