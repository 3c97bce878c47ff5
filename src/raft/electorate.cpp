#include "raft/electorate.h"

#include <algorithm>

namespace verbena::raft {

electorate::electorate(const membership& latest, const membership* previous, const lost_folders& lost)
    : m_memberships{&latest}, m_lost(lost)
{
    // The log of a member that has just joined begins without any members.
    if (previous != nullptr && previous->voter_count() > 0) {
        m_memberships.push_back(previous);
    }
}

std::uint64_t electorate::reached_in(const membership& group,
                                     const std::function<std::uint64_t(const member&)>& value_of) const
{
    std::vector<std::uint64_t> values;
    for (const member& value : group.members) {
        if (value.voter && !is_lost(value)) {
            values.push_back(value_of(value));
        }
    }
    const std::size_t voters = group.voter_count();
    const bool reduced = voters % 2 == 0 && values.size() < voters;
    const std::size_t needed = reduced ? voters / 2 : group.quorum();
    if (values.size() < needed) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[needed - 1];
}

std::uint64_t electorate::reached(const std::function<std::uint64_t(const member&)>& value_of) const
{
    std::uint64_t lowest = UINT64_MAX;
    for (const membership* group : m_memberships) {
        lowest = std::min(lowest, reached_in(*group, value_of));
    }
    return lowest;
}

bool electorate::decides(const std::function<bool(const member&)>& agrees) const
{
    return reached([&agrees](const member& voter) -> std::uint64_t { return agrees(voter) ? 1 : 0; }) > 0;
}

bool electorate::any_of(const std::function<bool(const membership&)>& holds) const
{
    return std::any_of(m_memberships.begin(), m_memberships.end(),
                       [&holds](const membership* group) { return holds(*group); });
}

std::vector<member> electorate::voters() const
{
    std::vector<member> all;
    for (const membership* group : m_memberships) {
        for (const member& value : group->members) {
            const bool listed = std::any_of(all.begin(), all.end(),
                                            [&value](const member& other) { return other.id == value.id; });
            if (value.voter && !listed) {
                all.push_back(value);
            }
        }
    }
    return all;
}

bool electorate::is_voter(member_id id, folder_id folder) const
{
    return any_of([id, folder](const membership& group) { return group.is_voter(id, folder); });
}

} // namespace verbena::raft
