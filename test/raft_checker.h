#pragma once

#include "raft/replica.h"

#include <map>
#include <set>

namespace verbena::test {

// Observes all members of a simulated group and records every violation of the guarantees of Raft.
class raft_checker {
public:
    // At most one leader per term.
    void observe_leader(raft::term_number term, raft::member_id id);

    // Committed entries are never lost, reordered or changed, and the state at one index is the same
    // everywhere. `chain` is the hash of all commands up to and including `index`.
    void observe_applied(raft::member_id id, raft::log_index index, std::uint64_t command,
                         std::uint64_t chain);

    // An acknowledged proposal is the committed command at its index.
    void observe_acknowledged(raft::log_index index, std::uint64_t command);

    // Records the commit index of a member at `now`. Times must not decrease.
    void observe_commit(raft::log_index index, time_point now);

    // A leader with commit index `commit` confirms that nothing newer was committed `age` before `now`.
    void observe_confirmation(raft::member_id id, raft::log_index commit, time_point now, milliseconds age);

    // Records that a member whose folder must not vote granted a vote.
    void report_forbidden_vote(raft::member_id id);

    void report_violation(const std::string& kind, const std::string& what);

    // A member that has caught up to `last` must have applied all acknowledged proposals.
    void check_acknowledged_applied(raft::member_id id, raft::log_index last);

    const std::vector<std::string>& violations() const { return m_violations; }
    bool has(const std::string& kind) const;
    raft::log_index newest_commit() const { return m_commits.empty() ? 0 : m_commits.back().index; }
    std::size_t acknowledged_count() const { return m_acknowledged.size(); }
    std::size_t confirmation_count() const { return m_confirmations; }

private:
    struct applied {
        std::uint64_t command = 0;
        std::uint64_t chain = 0;
    };

    struct commit_point {
        time_point at;
        raft::log_index index = 0;
    };

    std::map<raft::term_number, raft::member_id> m_leaders;
    std::map<raft::log_index, applied> m_applied;
    std::map<raft::log_index, std::uint64_t> m_acknowledged;
    std::vector<commit_point> m_commits;
    std::size_t m_confirmations = 0;
    std::vector<std::string> m_violations;
};

} // namespace verbena::test
