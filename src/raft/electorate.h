#pragma once

#include "raft/membership.h"

#include <functional>
#include <set>
#include <tuple>

namespace verbena::raft {

// The data folder with which a member votes. A lost folder never returns, so a statement that it is lost
// stays true.
struct member_folder {
    member_id member = 0;
    folder_id folder = 0;

    bool operator==(const member_folder&) const = default;
    bool operator<(const member_folder& other) const
    {
        return std::tie(member, folder) < std::tie(other.member, other.folder);
    }
};

using lost_folders = std::set<member_folder>;

// The voters that decide an election or a commit, and how many of them are needed. While a membership change
// is in progress, both the membership before and the one after it have to agree.
//
// A majority of each membership is needed. In a membership with an even number n of voters, n / 2 are enough
// if at least one other voter is known to have lost its folder: it can neither vote nor acknowledge any more,
// and any two sets of n / 2 of the remaining n - 1 voters have a member in common, as have such a set and any
// majority. The loss must have been known before the election began.
class electorate {
public:
    // The arguments must outlive the electorate. `previous` is null unless a membership change is in
    // progress.
    electorate(const membership& latest, const membership* previous, const lost_folders& lost);

    // The highest value that enough voters have reached. Voters known to have lost their folder do not count.
    std::uint64_t reached(const std::function<std::uint64_t(const member&)>& value_of) const;

    // Whether the voters for which `agrees` holds are enough.
    bool decides(const std::function<bool(const member&)>& agrees) const;

    // Whether `holds` holds for one of the memberships that have to agree.
    bool any_of(const std::function<bool(const membership&)>& holds) const;

    // All voters, each of them once.
    std::vector<member> voters() const;

    // Whether member `id` votes with this folder.
    bool is_voter(member_id id, folder_id folder) const;

private:
    bool is_lost(const member& voter) const { return m_lost.contains({voter.id, voter.folder}); }
    std::uint64_t reached_in(const membership& group,
                             const std::function<std::uint64_t(const member&)>& value_of) const;

    std::vector<const membership*> m_memberships;
    const lost_folders& m_lost;
};

} // namespace verbena::raft
