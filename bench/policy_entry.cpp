#include "bench/policy_cluster.h"

#include <algorithm>

namespace verbena::bench {

namespace {

constexpr std::size_t max_attempts_after_refusal = 3;
constexpr auto network_delay = std::chrono::microseconds(500);
constexpr auto no_endpoint_delay = milliseconds(200);

policy::router_options make_router_options(const std::string& domain, const setup& chosen)
{
    policy::router_options options;
    options.own_failure_domain = domain;
    if (!chosen.pools) {
        options.medium_subset_share = 1;
        options.short_spill_penalty = 0;
    }
    return options;
}

} // namespace

simulated_entry::simulated_entry(cluster& owner, std::uint32_t number, const std::string& domain)
    : m_owner(owner), m_number(number),
      m_router(make_router_options(domain, owner.chosen()), owner.chosen().rule),
      m_buffers(owner.options().buffers)
{
    for (std::uint32_t team = 0; team < team_count; ++team) {
        m_shares.set_weight(team_name(team), team_weight(team));
    }
}

policy::route_request simulated_entry::make_route_request(const open_job& open) const
{
    const job_spec& job = *open.job;
    return {.service = job.order ? "orders" : "model",
            .prompt_tokens = job.prompt_tokens,
            .max_tokens = job.max_tokens,
            .prefix_hash = job.prefix_hash,
            .tried = open.tried};
}

bool simulated_entry::too_large(const job_spec& job) const
{
    const policy::memory_account largest(engine_options{}.capacity_tokens);
    return !largest.can_ever_fit(std::uint64_t{job.prompt_tokens} + job.max_tokens, job.length);
}

void simulated_entry::arrive(const job_spec& job)
{
    const time_point now = m_owner.events().now();
    job_result& result = m_owner.result(job.number);
    if (too_large(job)) {
        result.outcome = job_outcome::too_large;
        result.ended = now;
        return;
    }
    const request_id stream{m_number, job.number};
    if (m_buffers.reserve(stream, team_name(job.team), job.max_tokens) != policy::buffer_verdict::reserved) {
        result.outcome = job_outcome::refused;
        result.ended = now;
        return;
    }
    m_owner.record_buffer_peak();
    const bool over_share = m_shares.record(team_name(job.team), job.prompt_tokens + job.max_tokens, now);
    const auto assigned_class =
        policy::demoted(request_class::standard, over_share && m_owner.chosen().shares);
    m_open_jobs[job.number] = {&job, now, now + job.time_limit, 0, assigned_class, false, {}, {}};
    m_budget.record_request(team_name(job.team), job.order ? "orders" : "model", now);
    const std::uint64_t number = job.number;
    m_owner.events().after(job.time_limit, [this, number] { expire(number); });
    send(number);
}

void simulated_entry::send(std::uint64_t number)
{
    const auto found = m_open_jobs.find(number);
    if (found == m_open_jobs.end()) {
        return;
    }
    open_job& open = found->second;
    const auto request = make_route_request(open);
    const auto endpoint = m_router.pick(request, m_owner.events().now(), m_owner.random());
    if (!endpoint) {
        handle_no_endpoint(number);
        return;
    }
    ++open.attempt;
    ++m_owner.result(number).attempts;
    open.endpoint = *endpoint;
    m_router.started(*endpoint, request);
    const attempt_id attempt{request_id{m_number, number}, open.attempt};
    const job_spec* job = open.job;
    const time_point deadline = open.deadline;
    const request_class assigned_class = open.assigned_class;
    m_owner.events().after(network_delay, [this, job, assigned_class, attempt, deadline, name = *endpoint] {
        simulated_agent* agent = m_owner.agent(name);
        if (agent->submit(*job, assigned_class, attempt, deadline)) {
            admitted(attempt);
        } else {
            refused(attempt, name, agent->report());
        }
    });
}

void simulated_entry::handle_no_endpoint(std::uint64_t number)
{
    open_job& open = m_open_jobs.at(number);
    if (!m_owner.result(number).admitted) {
        close(number, job_outcome::refused);
        return;
    }
    // An admitted request that was handed back waits for an eligible endpoint until its deadline.
    open.tried.clear();
    m_owner.events().after(no_endpoint_delay, [this, number] { send(number); });
}

void simulated_entry::admitted(const attempt_id& attempt)
{
    m_owner.result(attempt.request.low).admitted = true;
}

bool simulated_entry::end_attempt(const attempt_id& attempt, const std::string& endpoint,
                                  policy::attempt_end end)
{
    const auto found = m_open_jobs.find(attempt.request.low);
    if (found == m_open_jobs.end() || found->second.attempt != attempt.number ||
        found->second.endpoint != endpoint) {
        return false;
    }
    open_job& open = found->second;
    m_router.finished(endpoint, make_route_request(open), end, m_owner.events().now(), open.answering);
    open.answering = false;
    open.endpoint.clear();
    open.tried.push_back(endpoint);
    return true;
}

void simulated_entry::deliver_report(const std::string& endpoint, const policy::load_report& load)
{
    const bool lost = static_cast<double>(m_owner.random()() % 1'000) < m_owner.options().report_loss * 1'000;
    if (lost) {
        return;
    }
    const time_point measured = m_owner.events().now();
    m_owner.events().after(m_owner.options().report_delay,
                           [this, endpoint, load, measured] { m_router.report(endpoint, load, measured); });
}

void simulated_entry::retry_or_close(std::uint64_t number, job_outcome outcome_without_retry)
{
    const open_job& open = m_open_jobs.at(number);
    const std::string team = team_name(open.job->team);
    const char* service = open.job->order ? "orders" : "model";
    if (m_budget.try_retry(team, service, m_owner.events().now())) {
        send(number);
    } else {
        close(number, outcome_without_retry);
    }
}

void simulated_entry::refused(const attempt_id& attempt, const std::string& endpoint,
                              const policy::load_report& load)
{
    deliver_report(endpoint, load);
    if (!end_attempt(attempt, endpoint, policy::attempt_end::refused)) {
        return;
    }
    const std::uint64_t number = attempt.request.low;
    if (m_owner.result(number).admitted) {
        m_owner.events().after(no_endpoint_delay, [this, number] { send(number); });
        return;
    }
    if (m_open_jobs.at(number).tried.size() >= max_attempts_after_refusal) {
        close(number, job_outcome::refused);
        return;
    }
    retry_or_close(number, job_outcome::refused);
}

void simulated_entry::handed_back(const attempt_id& attempt, const std::string& endpoint)
{
    if (end_attempt(attempt, endpoint, policy::attempt_end::refused)) {
        send(attempt.request.low);
    }
}

void simulated_entry::first_token(const attempt_id& attempt)
{
    const auto found = m_open_jobs.find(attempt.request.low);
    if (found != m_open_jobs.end() && found->second.attempt == attempt.number) {
        found->second.answering = true;
        m_router.first_token(found->second.endpoint, make_route_request(found->second));
        auto& first = m_owner.result(attempt.request.low).first_token;
        first = first.value_or(m_owner.events().now() + network_delay);
    }
}

void simulated_entry::finished(const attempt_id& attempt, const std::string& endpoint,
                               const policy::load_report& load)
{
    deliver_report(endpoint, load);
    if (end_attempt(attempt, endpoint, policy::attempt_end::success)) {
        close(attempt.request.low, job_outcome::done);
    }
}

void simulated_entry::failed(const attempt_id& attempt, const std::string& endpoint)
{
    if (!end_attempt(attempt, endpoint, policy::attempt_end::failure)) {
        return;
    }
    const std::uint64_t number = attempt.request.low;
    if (m_open_jobs.at(number).job->order) {
        close(number, job_outcome::unknown);
    } else if (m_owner.result(number).first_token) {
        close(number, job_outcome::failed);
    } else {
        retry_or_close(number, job_outcome::failed);
    }
}

void simulated_entry::expire(std::uint64_t number)
{
    const auto found = m_open_jobs.find(number);
    if (found == m_open_jobs.end()) {
        return;
    }
    const std::string endpoint = found->second.endpoint;
    const attempt_id attempt{request_id{m_number, number}, found->second.attempt};
    if (!endpoint.empty()) {
        end_attempt(attempt, endpoint, policy::attempt_end::refused);
    }
    close(number, job_outcome::expired);
    if (!endpoint.empty()) {
        m_owner.agent(endpoint)->cancel(attempt);
    }
}

void simulated_entry::close(std::uint64_t number, job_outcome outcome)
{
    const auto found = m_open_jobs.find(number);
    job_result& result = m_owner.result(number);
    result.outcome = outcome;
    result.ended = m_owner.events().now();
    const open_job open = found->second;
    m_open_jobs.erase(found);
    if (outcome == job_outcome::done) {
        release_buffer(*open.job, open.arrival);
    } else {
        m_buffers.release({m_number, number});
    }
}

// The buffer of a slow reader stays reserved until the reader has received the whole answer or the deadline
// has passed.
void simulated_entry::release_buffer(const job_spec& job, time_point arrival)
{
    const request_id stream{m_number, job.number};
    if (job.reader_bytes_per_second <= 0) {
        m_buffers.release(stream);
        return;
    }
    const std::uint64_t bytes = job.output_tokens * policy::buffer_account::bytes_per_token;
    const double seconds = static_cast<double>(bytes) / job.reader_bytes_per_second;
    const auto read = std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds));
    m_owner.events().at(std::min(m_owner.events().now() + read, arrival + job.time_limit),
                        [this, stream] { m_buffers.release(stream); });
}

} // namespace verbena::bench
