#include "bench/policy_cluster.h"

#include <algorithm>

namespace verbena::bench {

namespace {

constexpr std::uint32_t entry_count = 3;
constexpr std::int64_t max_propagation_ms = 2'500;

std::string domain_name(std::uint32_t number)
{
    return "domain" + std::to_string(number);
}

} // namespace

cluster::cluster(const cluster_options& options, const setup& chosen)
    : m_options(options), m_setup(chosen), m_random(options.seed), m_start(m_events.now())
{
    const std::uint32_t count = options.endpoints + options.order_endpoints;
    for (std::uint32_t i = 0; i < count; ++i) {
        const bool plain = i >= options.endpoints;
        const std::string name = (plain ? "desk" : "model") + std::to_string(i);
        m_agents.push_back(
            std::make_unique<simulated_agent>(*this, i, name, domain_name(i % options.domains), plain));
        m_agents_by_name[name] = m_agents.back().get();
    }
    for (std::uint32_t i = 0; i < entry_count; ++i) {
        m_entries.push_back(std::make_unique<simulated_entry>(*this, i, domain_name(i % options.domains)));
        for (const auto& agent : m_agents) {
            const std::uint64_t capacity = agent->plain() ? 0 : engine_options{}.capacity_tokens;
            const std::string service = agent->plain() ? "orders" : "model";
            m_entries.back()->router().upsert(
                {agent->name(), agent->domain(), service, capacity, true, false});
        }
    }
}

simulated_agent* cluster::agent(const std::string& name)
{
    return m_agents_by_name.at(name);
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

void cluster::run(const std::vector<job_spec>& jobs, clock::duration length, clock::duration drain_time)
{
    m_jobs = jobs;
    m_results.assign(jobs.size() + 1, {});
    for (const job_spec& job : m_jobs) {
        const std::size_t entry = m_random() % m_entries.size();
        m_events.at(m_start + job.arrival, [this, entry, &job] { m_entries[entry]->arrive(job); });
    }
    const time_point end = m_start + length + drain_time;
    tick(end);
    m_events.run_until(end);
}

void cluster::set_domain(const std::string& domain, bool in_service, clock::duration when)
{
    const auto delivery_time = [this, when] {
        return m_start + when + milliseconds(m_random() % max_propagation_ms);
    };
    m_events.at(m_start + when, [this, domain, in_service] {
        if (in_service) {
            m_removed_at.erase(domain);
        } else {
            m_removed_at[domain] = m_events.now();
        }
    });
    for (const auto& agent : m_agents) {
        if (agent->domain() == domain) {
            m_events.at(delivery_time(), [&agent, in_service] { agent->set_in_service(in_service); });
        }
    }
    for (const auto& entry : m_entries) {
        m_events.at(delivery_time(), [this, &entry, domain, in_service] {
            entry->router().set_domain(domain, in_service, m_events.now());
        });
    }
}

void cluster::turn_cold(std::uint32_t agent, clock::duration when)
{
    m_events.at(m_start + when, [this, agent] { m_agents[agent]->turn_cold(); });
}

void cluster::record_dispatch(const simulated_agent& agent)
{
    const auto removed = m_removed_at.find(agent.domain());
    if (removed != m_removed_at.end()) {
        m_last_dispatch[agent.domain()] = m_events.now() - removed->second;
    }
}

std::optional<clock::duration> cluster::last_dispatch_after_removal(const std::string& domain) const
{
    const auto found = m_last_dispatch.find(domain);
    return found == m_last_dispatch.end() ? std::nullopt : std::optional(found->second);
}

void cluster::record_buffer_peak()
{
    for (const auto& entry : m_entries) {
        m_buffer_peak = std::max(m_buffer_peak, entry->buffers().reserved());
    }
}

} // namespace verbena::bench
