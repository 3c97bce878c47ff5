#include "bench/policy_workload.h"

#include <algorithm>
#include <cmath>

namespace verbena::bench {

namespace {

constexpr double short_share = 0.80;
constexpr double medium_share = 0.18;
constexpr double long_share = 0.02;

// Largest long prompt that fits an endpoint with a capacity of 400,000 tokens; larger ones are refused as too
// large.
constexpr double largest_long_prompt = 279'000;

double log_uniform_mean(double low, double high)
{
    return (high - low) / std::log(high / low);
}

struct stream_spec {
    double rate = 0;
    double low = 0;
    double high = 0;
    double output_low = 0;
    double output_high = 0;
    clock::duration time_limit{};
    bool order = false;
};

double uniform(random_engine& random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

double log_uniform(random_engine& random, double low, double high)
{
    return low * std::pow(high / low, uniform(random));
}

job_spec draw_job(random_engine& random, const stream_spec& spec, std::uint32_t team)
{
    job_spec job;
    job.team = team;
    job.order = spec.order;
    if (!spec.order) {
        job.prompt_tokens = static_cast<std::uint32_t>(log_uniform(random, spec.low, spec.high));
        job.output_tokens =
            static_cast<std::uint32_t>(log_uniform(random, spec.output_low, spec.output_high));
        job.max_tokens = job.output_tokens + job.output_tokens / 2;
        // A third of the requests share one of 50 prompt prefixes.
        job.prefix_hash = uniform(random) < 0.33 ? 1 + random() % 50 : 0;
    }
    job.length = classify(job.prompt_tokens);
    job.time_limit = spec.time_limit;
    return job;
}

// Appends Poisson arrivals of one kind and team. Each stream has its own random generator, so that it does
// not depend on the others.
void append_stream(std::vector<job_spec>& jobs, const workload_options& options, const stream_spec& spec,
                   std::uint32_t team, std::uint64_t stream)
{
    double weights = 0;
    for (std::uint32_t i = 0; i < team_count; ++i) {
        weights += team_weight(i);
    }
    const double rate = spec.rate * options.team_factors[team] * team_weight(team) / weights;
    if (rate <= 0) {
        return;
    }
    random_engine random(options.seed * 1'000 + stream * team_count + team);
    const double end = std::chrono::duration<double>(options.length).count();
    double now = 0;
    while (true) {
        now -= std::log(1.0 - uniform(random)) / rate;
        if (now >= end) {
            return;
        }
        job_spec job = draw_job(random, spec, team);
        job.arrival = std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(now));
        jobs.push_back(job);
    }
}

} // namespace

std::string team_name(std::uint32_t team)
{
    return "team" + std::to_string(team);
}

std::vector<job_spec> make_workload(const workload_options& options)
{
    using std::chrono::seconds;
    const std::vector<stream_spec> specs{
        {options.short_rate, 1'000, 8'000, 50, 400, seconds(30), false},
        {options.medium_rate, 8'001, 100'000, 100, 600, seconds(60), false},
        {options.long_rate, 100'001, 1'000'000, 200, 800, seconds(600), false},
        {options.order_rate, 0, 0, 0, 0, seconds(10), true},
    };
    std::vector<job_spec> jobs;
    for (std::size_t i = 0; i < specs.size(); ++i) {
        for (std::uint32_t team = 0; team < team_count; ++team) {
            append_stream(jobs, options, specs[i], team, i);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const job_spec& left, const job_spec& right) {
        return left.arrival < right.arrival;
    });
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        jobs[i].number = i + 1;
    }
    return jobs;
}

workload_options mixed_load(std::uint64_t seed, clock::duration length, double rate)
{
    workload_options options;
    options.seed = seed;
    options.length = length;
    options.short_rate = rate * short_share;
    options.medium_rate = rate * medium_share;
    options.long_rate = rate * long_share;
    options.order_rate = 4;
    return options;
}

double mixed_capacity(double endpoints)
{
    const double long_fit_share = std::log(largest_long_prompt / 100'000) / std::log(10.0);
    const double mean = short_share * log_uniform_mean(1'000, 8'000) +
                        medium_share * log_uniform_mean(8'000, 100'000) +
                        long_share * long_fit_share * log_uniform_mean(100'000, largest_long_prompt);
    return endpoints * endpoint_tokens_per_second / mean;
}

} // namespace verbena::bench
