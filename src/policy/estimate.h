#pragma once

#include "base/types.h"

#include <array>

namespace verbena::policy {

// Cost of a request in decode steps: output tokens plus the prompt at the relative cost of prefill. It makes
// the service times of prompts of very different length comparable.
double work_units(std::uint32_t prompt_tokens, std::uint32_t output_tokens);

// What one finished request taught. The prefill time must not contain the wait behind other prompts of its
// class; admission_queue::prefilled() returns it.
struct service_sample {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    clock::duration prefill{};
    clock::duration decode{};
};

// Work that is ahead of a new request at an endpoint.
struct backlog {
    std::uint64_t prefill_tokens = 0; // prompts that are dispatched or queued and not yet processed
    std::uint32_t waiting = 0;        // requests queued before dispatch
    std::uint32_t limit = 1;          // requests that may be dispatched at once
};

// Estimate of the parts of a request's time at an endpoint.
struct service_estimate {
    clock::duration queue{};
    clock::duration prefill{};
    clock::duration decode{};

    clock::duration first_token() const { return queue + prefill; }
    clock::duration total() const { return queue + prefill + decode; }
};

// Values that the estimator assumes before the first outcome.
struct estimator_options {
    double prefill_tokens_per_second = 8'000;
    clock::duration decode_time_per_token = milliseconds(25);
    double weight =
        0.1; // share of the newest sample; one sample changes a value by at most this share of a factor of 4
};

// Learns prefill rate and decode time per length class from outcomes and estimates the time of a request.
class service_estimator {
public:
    explicit service_estimator(const estimator_options& options = {});

    void record(const service_sample& sample);

    clock::duration prefill_time(std::uint32_t prompt_tokens) const;
    clock::duration decode_time(length_class length, std::uint32_t output_tokens) const;

    // Time until a new request with this prompt and this many output tokens is finished.
    service_estimate estimate(std::uint32_t prompt_tokens, std::uint32_t output_tokens,
                              const backlog& ahead) const;

    // True when the estimate says that the request can finish before its deadline.
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
    void blend(double& value, double sample) const;

    double m_weight;
    std::array<class_values, length_class_count> m_values{};
    std::array<double, length_class_count> m_counts{}; // decayed number of samples per class
};

} // namespace verbena::policy
