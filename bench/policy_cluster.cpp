#include "bench/policy_cluster.h"

#include <algorithm>

namespace verbena::bench {

namespace {

constexpr std::uint32_t entry_count = 3;
constexpr std::int64_t propagation_ms = 2'500;

std::string domain_name(std::uint32_t number)
{
    return "domain" + std::to_string(number);
}

} // namespace

cluster::cluster(const cluster_options& options, const setup& chosen)
    : m_options(options), m_setup(chosen), m_random(options.seed), m_start(m_events.now())
{
    const std::uint32_t count = options.endpoints + options.order_desks;
    for (std::uint32_t i = 0; i < count; ++i) {
        const bool plain = i >= options.endpoints;
        const std::string name = (plain ? "desk" : "model") + std::to_string(i);
        m_agents.push_back(
            std::make_unique<model_agent>(*this, i, name, domain_name(i % options.domains), plain));
        m_by_name[name] = m_agents.back().get();
    }
    for (std::uint32_t i = 0; i < entry_count; ++i) {
        m_entries.push_back(std::make_unique<model_entry>(*this, i, domain_name(i % options.domains)));
        for (const auto& agent : m_agents) {
            const std::uint64_t capacity = agent->plain() ? 0 : engine_options{}.capacity_tokens;
            const std::string service = agent->plain() ? "orders" : "model";
            m_entries.back()->router().upsert(
                {agent->name(), agent->domain(), service, capacity, true, false});
        }
    }
}

model_agent* cluster::agent(const std::string& name)
{
    return m_by_name.at(name);
}

void cluster::tick(time_point end)
{
    for (const auto& agent : m_agents) {
        agent->tick();
    }
    if (m_events.now() < end) {
        m_events.after(m_options.cold_report_lag, [this, end] { tick(end); });
    }
}

void cluster::run(const std::vector<job_spec>& jobs, clock::duration length, clock::duration rest)
{
    m_jobs = jobs;
    m_results.assign(jobs.size() + 1, {});
    for (const job_spec& job : m_jobs) {
        const std::size_t entry = m_random() % m_entries.size();
        m_events.at(m_start + job.arrival, [this, entry, &job] { m_entries[entry]->arrive(job); });
    }
    const time_point end = m_start + length + rest;
    tick(end);
    m_events.run_until(end);
}

void cluster::set_domain(const std::string& domain, bool in, clock::duration when)
{
    const auto later = [this, when] { return m_start + when + milliseconds(m_random() % propagation_ms); };
    m_events.at(m_start + when, [this, domain, in] {
        if (in) {
            m_out_since.erase(domain);
        } else {
            m_out_since[domain] = m_events.now();
        }
    });
    for (const auto& agent : m_agents) {
        if (agent->domain() == domain) {
            m_events.at(later(), [&agent, in] { agent->set_in(in); });
        }
    }
    for (const auto& entry : m_entries) {
        m_events.at(later(),
                    [this, &entry, domain, in] { entry->router().set_domain(domain, in, m_events.now()); });
    }
}

void cluster::turn_cold(std::uint32_t agent, clock::duration when)
{
    m_events.at(m_start + when, [this, agent] { m_agents[agent]->turn_cold(); });
}

void cluster::note_dispatch(const model_agent& agent)
{
    const auto out = m_out_since.find(agent.domain());
    if (out != m_out_since.end()) {
        m_last_work[agent.domain()] = m_events.now() - out->second;
    }
}

std::optional<clock::duration> cluster::last_work_after_out(const std::string& domain) const
{
    const auto found = m_last_work.find(domain);
    return found == m_last_work.end() ? std::nullopt : std::optional(found->second);
}

void cluster::note_buffers()
{
    for (const auto& entry : m_entries) {
        m_buffer_peak = std::max(m_buffer_peak, entry->buffers().reserved());
    }
}

} // namespace verbena::bench
