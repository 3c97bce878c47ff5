#include "bench/policy_engine.h"

#include <algorithm>
#include <tuple>

namespace verbena::bench {

bool event_queue::later::operator()(const event& left, const event& right) const
{
    return std::tie(left.when, left.sequence) > std::tie(right.when, right.sequence);
}

void event_queue::at(time_point when, std::function<void()> action)
{
    m_events.push({std::max(when, m_now), m_sequence, std::move(action)});
    ++m_sequence;
}

void event_queue::run_until(time_point end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const auto action = m_events.top().action;
        m_now = m_events.top().when;
        m_events.pop();
        action();
    }
    m_now = std::max(m_now, end);
}

simulated_engine::simulated_engine(event_queue& events, engine_listener& listener,
                                   const engine_options& options)
    : m_events(events), m_listener(listener), m_options(options), m_successes(options.successes_to_warm)
{
}

void simulated_engine::submit(engine_job job)
{
    const double bound = m_options.cold_requests + m_options.requests_per_success * m_successes;
    if (cold() && static_cast<double>(m_jobs.size()) >= bound) {
        ++m_cold_failures;
        m_jobs.push_back(job);
        fail();
        return;
    }
    job.sequence = m_sequence;
    ++m_sequence;
    m_jobs.push_back(job);
    start_step();
}

void simulated_engine::cancel(const attempt_id& attempt)
{
    std::erase_if(m_jobs, [&attempt](const engine_job& job) { return job.attempt == attempt; });
}

std::uint64_t simulated_engine::tokens_held() const
{
    std::uint64_t sum = 0;
    for (const engine_job& job : m_jobs) {
        sum += std::uint64_t{job.prefilled} + job.generated;
    }
    return sum;
}

engine_job* simulated_engine::find(const attempt_id& attempt)
{
    const auto found = std::find_if(m_jobs.begin(), m_jobs.end(),
                                    [&attempt](const engine_job& job) { return job.attempt == attempt; });
    return found == m_jobs.end() ? nullptr : &*found;
}

std::vector<simulated_engine::prefill_part> simulated_engine::plan_prefill() const
{
    std::vector<const engine_job*> waiting;
    for (const engine_job& job : m_jobs) {
        if (!job.decoding()) {
            waiting.push_back(&job);
        }
    }
    const bool priorities = m_options.priorities;
    std::sort(waiting.begin(), waiting.end(), [priorities](const engine_job* left, const engine_job* right) {
        if (priorities && left->priority != right->priority) {
            return left->priority > right->priority;
        }
        return left->sequence < right->sequence;
    });
    std::vector<prefill_part> plan;
    std::uint32_t remaining_tokens = m_options.chunk_tokens;
    for (const engine_job* job : waiting) {
        const std::uint32_t tokens = std::min(remaining_tokens, job->prompt_tokens - job->prefilled);
        if (tokens == 0) {
            break;
        }
        plan.push_back({job->attempt, tokens});
        remaining_tokens -= tokens;
    }
    return plan;
}

clock::duration simulated_engine::step_time(const std::vector<prefill_part>& prefill,
                                            std::size_t decoding) const
{
    std::uint32_t tokens = 0;
    for (const prefill_part& part : prefill) {
        tokens += part.tokens;
    }
    const auto chunk = m_options.chunk_time * tokens / m_options.chunk_tokens;
    const auto warm =
        m_options.base_step + m_options.step_per_request * static_cast<std::int64_t>(decoding) + chunk;
    const double warmth = std::min(1.0, static_cast<double>(m_successes) / m_options.successes_to_warm);
    const double factor = 1 + (m_options.cold_slowdown - 1) * (1 - warmth);
    return std::chrono::duration_cast<clock::duration>(warm * factor);
}

void simulated_engine::start_step()
{
    if (m_busy || !m_up || m_jobs.empty()) {
        return;
    }
    m_busy = true;
    std::vector<attempt_id> decode;
    for (const engine_job& job : m_jobs) {
        if (job.decoding()) {
            decode.push_back(job.attempt);
        }
    }
    auto prefill = plan_prefill();
    const auto length = step_time(prefill, decode.size());
    const incarnation started = m_incarnation;
    m_events.after(length, [this, started, prefill = std::move(prefill), decode = std::move(decode)] {
        if (started == m_incarnation) {
            end_step(prefill, decode);
        }
    });
}

void simulated_engine::end_step(const std::vector<prefill_part>& prefill,
                                const std::vector<attempt_id>& decode)
{
    m_busy = false;
    std::vector<attempt_id> started;
    std::vector<attempt_id> ended;
    for (const prefill_part& part : prefill) {
        if (engine_job* job = find(part.attempt)) {
            job->prefilled += part.tokens;
            m_prefilled_tokens += part.tokens;
            if (job->decoding()) {
                started.push_back(part.attempt);
            }
        }
    }
    started.insert(started.end(), decode.begin(), decode.end());
    std::vector<attempt_id> first_tokens;
    for (const attempt_id& attempt : started) {
        engine_job* job = find(attempt);
        if (job == nullptr) {
            continue;
        }
        ++job->generated;
        if (job->generated == 1) {
            first_tokens.push_back(attempt);
        }
        if (job->generated >= job->output_tokens) {
            ended.push_back(attempt);
        }
    }
    if (tokens_held() > m_options.capacity_tokens) {
        ++m_memory_failures;
        fail();
        return;
    }
    for (const attempt_id& attempt : first_tokens) {
        m_listener.first_token(attempt);
    }
    for (const attempt_id& attempt : ended) {
        finish(attempt);
    }
    start_step();
}

void simulated_engine::finish(const attempt_id& attempt)
{
    cancel(attempt);
    if (cold()) {
        ++m_successes;
    }
    m_listener.finished(attempt);
}

void simulated_engine::fail()
{
    std::vector<attempt_id> lost;
    for (const engine_job& job : m_jobs) {
        lost.push_back(job.attempt);
    }
    m_jobs.clear();
    ++m_incarnation;
    m_busy = false;
    m_up = false;
    m_successes = 0;
    m_events.after(m_options.restart_time, [this] { m_up = true; });
    m_listener.failed(lost);
}

} // namespace verbena::bench
