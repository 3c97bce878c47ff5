#include "bench/policy_cluster.h"

#include <algorithm>

namespace verbena::bench {

namespace {

constexpr std::uint64_t unlimited = 1ULL << 40U;
constexpr std::size_t queue_limit = 256;
constexpr std::uint32_t warm_limit = 64;

std::unique_ptr<policy::scheduling_policy> make_policy(scheduling order)
{
    switch (order) {
    case scheduling::first_come:
        return policy::make_first_come_first_served();
    case scheduling::class_shares:
        return policy::make_class_shares();
    case scheduling::shortest_work:
        break;
    }
    return policy::make_shortest_work();
}

engine_options engine_of(const cluster& owner, bool plain)
{
    engine_options options;
    options.priorities = owner.chosen().priorities;
    if (plain) {
        options.cold_requests = warm_limit;
    }
    return options;
}

// The engine of a run has been warm for a while, so the limit starts at the warm value.
policy::cold_limit_options limit_of(const setup& chosen)
{
    return {.cold = chosen.limits ? 1U : warm_limit, .warm = warm_limit};
}

} // namespace

model_agent::model_agent(cluster& owner, std::uint32_t number, std::string name, std::string domain,
                         bool plain)
    : m_owner(owner), m_name(std::move(name)), m_domain(std::move(domain)), m_plain(plain),
      m_engine(owner.events(), *this, engine_of(owner, plain)),
      m_memory(owner.chosen().limits ? engine_options{}.capacity_tokens : unlimited),
      m_cold(limit_of(owner.chosen())), m_queue(queue_limit, make_policy(owner.chosen().order))
{
    m_queue.set_window(owner.chosen().window);
    for (std::uint32_t team = 0; team < team_count; ++team) {
        m_queue.set_weight(team_name(team), team_weight(team));
    }
    m_cold.observe_incarnation(number + 1);
    for (std::uint32_t i = 0; i < 2 * warm_limit; ++i) {
        m_cold.record_success(milliseconds(6'000), policy::work_units(4'000, 180));
    }
}

bool model_agent::meets_deadline(const policy::queued_request& request) const
{
    const time_point now = m_owner.events().now();
    auto ahead = m_queue.ahead_of(request, now);
    ahead.limit = m_cold.limit();
    const auto estimate = m_estimator.estimate(request.prompt_tokens, request.max_tokens, ahead);
    return m_estimator.meets(estimate, now, request.deadline);
}

bool model_agent::submit(const job_spec& job, request_class as, const attempt_id& attempt,
                         time_point deadline)
{
    const time_point now = m_owner.events().now();
    policy::queued_request request;
    request.attempt = attempt;
    request.team = team_name(job.team);
    request.priority_class = as;
    request.prompt_tokens = job.prompt_tokens;
    request.max_tokens = job.max_tokens;
    request.arrival = now;
    request.deadline = deadline;
    if (!m_in || !m_engine.up()) {
        return false;
    }
    if (m_owner.chosen().limits && !m_plain && !meets_deadline(request)) {
        return false;
    }
    if (m_queue.push(request, m_memory, now) != policy::push_verdict::queued) {
        return false;
    }
    m_owner.events().after(clock::duration::zero(), [this] { pump(); });
    return true;
}

void model_agent::pump()
{
    const time_point now = m_owner.events().now();
    while (m_engine.up()) {
        const auto request = m_queue.pop(m_memory, m_cold, now);
        if (!request) {
            return;
        }
        m_reserved_peak = std::max(m_reserved_peak, m_memory.used());
        const std::uint64_t number = request->attempt.request.low;
        const job_spec& job = m_owner.jobs()[number - 1];
        ++m_owner.result(number).runs;
        m_owner.note_dispatch(*this);
        m_running[request->attempt] = {*request, now, std::nullopt, {}, job.output_tokens};
        engine_job work;
        work.attempt = request->attempt;
        work.prompt_tokens = job.prompt_tokens;
        work.output_tokens = job.output_tokens;
        work.priority = policy::engine_priority(*request, now);
        m_engine.submit(work);
    }
}

void model_agent::cancel(const attempt_id& attempt)
{
    if (m_queue.remove(attempt)) {
        return;
    }
    m_engine.cancel(attempt);
    m_running.erase(attempt);
    m_memory.release(attempt);
    pump();
}

void model_agent::set_in(bool in)
{
    m_in = in;
    if (in) {
        return;
    }
    for (const auto& request : m_queue.clear()) {
        m_owner.entry(request.attempt).handed_back(request.attempt, m_name);
    }
}

void model_agent::turn_cold()
{
    m_engine.turn_cold();
}

void model_agent::tick()
{
    if (m_owner.chosen().limits) {
        m_cold.observe_report(m_engine.cold());
    }
    for (const auto& request : m_queue.expire(m_owner.events().now())) {
        m_owner.entry(request.attempt).handed_back(request.attempt, m_name);
    }
    pump();
}

void model_agent::first_token(const attempt_id& attempt)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    found->second.first_token = m_owner.events().now();
    found->second.prefill =
        m_queue.record_first_token(attempt, m_owner.events().now()).value_or(clock::duration::zero());
    m_owner.entry(attempt).first_token(attempt);
    pump();
}

void model_agent::learn(const dispatched& run)
{
    const time_point now = m_owner.events().now();
    const time_point first = run.first_token.value_or(now);
    const std::uint32_t prompt = run.request.prompt_tokens;
    m_estimator.record({prompt, run.output_tokens, run.prefill, now - first});
    if (m_owner.chosen().limits) {
        m_cold.record_success(now - run.when, policy::work_units(prompt, run.output_tokens));
    }
}

void model_agent::finished(const attempt_id& attempt)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    learn(found->second);
    m_running.erase(found);
    m_memory.release(attempt);
    m_owner.entry(attempt).finished(attempt, m_name, report());
    pump();
}

void model_agent::failed(const std::vector<attempt_id>& lost)
{
    m_memory.clear();
    if (m_owner.chosen().limits) {
        m_cold.observe_incarnation(1'000 + m_engine.current());
    }
    for (const attempt_id& attempt : lost) {
        m_running.erase(attempt);
        m_owner.entry(attempt).failed(attempt, m_name);
    }
}

policy::load_report model_agent::report() const
{
    return {.running = static_cast<std::uint32_t>(m_memory.size()),
            .queued = static_cast<std::uint32_t>(m_queue.size()),
            .limit = m_cold.limit(),
            .cold = m_cold.cold()};
}

} // namespace verbena::bench
