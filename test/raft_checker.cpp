#include "raft_checker.h"

#include <algorithm>

namespace verbena::test {

void raft_checker::report_violation(const std::string& kind, const std::string& what)
{
    m_violations.push_back(kind + ": " + what);
}

bool raft_checker::has(const std::string& kind) const
{
    return std::any_of(m_violations.begin(), m_violations.end(),
                       [&](const std::string& line) { return line.starts_with(kind); });
}

void raft_checker::observe_leader(raft::term_number term, raft::member_id id)
{
    const auto [known, added] = m_leaders.emplace(term, id);
    if (!added && known->second != id) {
        report_violation("two leaders", "term " + std::to_string(term) + ": members " +
                                            std::to_string(known->second) + " and " + std::to_string(id));
    }
}

void raft_checker::observe_applied(raft::member_id id, raft::log_index index, std::uint64_t command,
                                   std::uint64_t chain)
{
    const auto [known, added] = m_applied.emplace(index, applied{command, chain});
    if (!added && known->second.command != command) {
        report_violation("changed entry",
                         "index " + std::to_string(index) + " at member " + std::to_string(id));
    } else if (!added && known->second.chain != chain) {
        report_violation("state differs",
                         "index " + std::to_string(index) + " at member " + std::to_string(id));
    }
}

void raft_checker::observe_acknowledged(raft::log_index index, std::uint64_t command)
{
    m_acknowledged.emplace(index, command);
    const auto known = m_applied.find(index);
    if (known == m_applied.end() || known->second.command != command) {
        report_violation("lost acknowledgement", "index " + std::to_string(index));
    }
}

void raft_checker::observe_commit(raft::log_index index, time_point now)
{
    if (index > newest_commit()) {
        m_commits.push_back({now, index});
    }
}

void raft_checker::observe_confirmation(raft::member_id id, raft::log_index commit, time_point now,
                                        milliseconds age)
{
    ++m_confirmations;
    const time_point as_of = now - age;
    const auto after =
        std::lower_bound(m_commits.begin(), m_commits.end(), as_of,
                         [](const commit_point& point, time_point at) { return point.at < at; });
    if (after != m_commits.begin() && std::prev(after)->index > commit) {
        report_violation("stale confirmation",
                         "member " + std::to_string(id) + " confirmed index " + std::to_string(commit) +
                             " when " + std::to_string(std::prev(after)->index) + " was committed");
    }
}

void raft_checker::report_forbidden_vote(raft::member_id id)
{
    report_violation("forbidden vote", "member " + std::to_string(id));
}

void raft_checker::check_acknowledged_applied(raft::member_id id, raft::log_index last)
{
    if (!m_acknowledged.empty() && last < m_acknowledged.rbegin()->first) {
        report_violation("lost acknowledgement",
                         "member " + std::to_string(id) + " ends at index " + std::to_string(last));
    }
}

} // namespace verbena::test
