#include "base/event_log.h"
#include "control/raft_host.h"

#include <algorithm>

// Log lines about the group: who votes, who leads, and why an election fails.
namespace verbena::control {

namespace {

// A member without a leader tries several elections in a second.
constexpr milliseconds election_line_interval{1'000};

std::string joined(const std::vector<raft::member_id>& ids)
{
    std::string text;
    for (const raft::member_id id : ids) {
        text += (text.empty() ? "" : " ") + std::to_string(id);
    }
    return text;
}

} // namespace

void raft_host::log_group(time_point now)
{
    const raft::core& state = m_replica->consensus();
    if (state.membership() == m_logged_membership && state.leader() == m_logged_leader) {
        return;
    }
    m_logged_membership = state.membership();
    m_logged_leader = state.leader();
    std::vector<raft::member_id> voters;
    std::vector<raft::member_id> learners;
    for (const raft::member& value : m_logged_membership.members) {
        (value.voter ? voters : learners).push_back(value.id);
    }
    const raft::core_status status = state.status(now);
    event_log::write(event::group_stateT{{},
                                         m_options.member_id,
                                         m_logged_leader,
                                         status.term,
                                         joined(voters),
                                         joined(learners),
                                         static_cast<std::uint32_t>(m_logged_membership.quorum()),
                                         static_cast<std::uint32_t>(needed_voters()),
                                         status.commit,
                                         status.last});
}

void raft_host::log_failed_election(time_point now)
{
    const std::optional<raft::failed_election> failed = m_replica->take_failed_election();
    if (!failed || now - m_last_election_line < election_line_interval) {
        return;
    }
    m_last_election_line = now;
    const raft::membership& group = m_replica->consensus().membership();
    event_log::write(event::election_failedT{{},
                                             m_options.member_id,
                                             failed->term,
                                             failed->pre_vote ? "pre_vote" : "vote",
                                             static_cast<std::uint32_t>(group.voter_count()),
                                             static_cast<std::uint32_t>(group.quorum()),
                                             joined(failed->granted),
                                             joined(failed->denied),
                                             joined(failed->unanswered),
                                             joined(failed->lost),
                                             m_replica->consensus().status(now).last});
}

} // namespace verbena::control
