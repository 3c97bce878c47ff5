#include "control/membership_policy.h"

#include <algorithm>

namespace verbena::control {

namespace {

// Members beyond this number add messages and no safety; further processes wait until one is removed.
constexpr std::size_t max_members = 9;

// Interval between questions of a member without a leader, and between attempts to remove a member. Several
// fit into an election timeout.
constexpr milliseconds retry_interval{150};

bool leads(const raft::core& state)
{
    return state.role() == raft::role::leader;
}

raft::member_folder folder_of(const raft::member& voter)
{
    return {voter.id, voter.folder};
}

membership_step removal(const raft::member& subject, const char* reason)
{
    return {{raft::membership_change::kind::remove, subject.id, {}}, subject, reason};
}

bool has_even_number_of_voters(const raft::membership& group)
{
    return group.voter_count() % 2 == 0;
}

} // namespace

join_decision membership_policy::join(const raft::core& state, const join_call& call)
{
    if (!leads(state)) {
        return {};
    }
    const raft::membership& group = state.membership();
    const auto listed = std::find_if(group.members.begin(), group.members.end(),
                                     [&call](const raft::member& m) { return m.address == call.address; });
    if (listed != group.members.end()) {
        if (!listed->voter) {
            // Another leader may give the id of an entry that is not committed to another process.
            const raft::membership& committed = state.membership_at(state.commit_index());
            return {committed.find(listed->id) == nullptr ? 0 : listed->id, std::nullopt};
        }
        if (folder_of(*listed) == call.held) {
            return {listed->id, std::nullopt};
        }
        m_contested.insert(listed->id);
        return {};
    }
    const auto answering = static_cast<std::size_t>(
        std::count_if(group.members.begin(), group.members.end(),
                      [this](const raft::member& member) { return !m_silent_since.contains(member.id); }));
    if (answering >= max_members) {
        return {};
    }
    const raft::member added{group.highest_id + 1, 0, false, call.address};
    return {0, membership_step{{raft::membership_change::kind::add, added.id, added.address},
                               added,
                               "it requested membership"}};
}

std::optional<membership_step> membership_policy::next_removal(const raft::core& state, time_point now)
{
    if (!leads(state)) {
        m_silent_since.clear();
        return std::nullopt;
    }
    std::optional<membership_step> step = silent_member(state, now);
    if (std::optional<membership_step> lost = lost_voter(state)) {
        step = lost;
    }
    if (!step || now < m_next_removal) {
        return std::nullopt;
    }
    m_next_removal = now + retry_interval;
    return step;
}

std::optional<membership_step> membership_policy::lost_voter(const raft::core& state)
{
    for (const raft::member& member : state.membership().members) {
        if (member.voter && state.known_lost_folders().contains(folder_of(member))) {
            return removal(member, "it lost its data folder");
        }
    }
    return std::nullopt;
}

// A voter that was replaced or has been unreachable for long makes the quorum larger than necessary. It is
// removed once enough other voters exist. If it returns, it requests membership again.
std::optional<membership_step> membership_policy::silent_member(const raft::core& state, time_point now)
{
    const raft::core_status status = state.status(now);
    const raft::member* silent = nullptr;
    for (const raft::member_status& line : status.members) {
        if (line.active || line.member.id == state.self()) {
            m_silent_since.erase(line.member.id);
            continue;
        }
        const time_point since = m_silent_since.try_emplace(line.member.id, now).first->second;
        const milliseconds timeout = line.member.voter ? silent_voter_timeout : silent_learner_timeout;
        const bool longest_silent = silent == nullptr || since < m_silent_since.at(silent->id);
        if (now - since > timeout && longest_silent) {
            silent = &line.member;
        }
    }
    if (silent == nullptr || (silent->voter && state.membership().voter_count() <= needed_voters())) {
        return std::nullopt;
    }
    return removal(*silent, "it does not answer");
}

std::vector<raft::member> membership_policy::voters_to_ask(const raft::core& state, time_point now)
{
    const std::set<raft::member_id> contested = std::exchange(m_contested, {});
    const bool without_leader = state.leader() == 0 && now >= m_next_question;
    if (!without_leader && contested.empty()) {
        return {};
    }
    if (without_leader) {
        m_next_question = now + retry_interval;
    }
    const raft::electorate deciding = state.next_electorate();
    const bool asks_all = without_leader && deciding.any_of(has_even_number_of_voters);
    std::vector<raft::member> asked;
    for (const raft::member& voter : deciding.voters()) {
        const bool open = voter.id != state.self() && !state.known_lost_folders().contains(folder_of(voter));
        if (open && (asks_all || (leads(state) && contested.contains(voter.id)))) {
            asked.push_back(voter);
        }
    }
    return asked;
}

} // namespace verbena::control
