#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <string_view>

namespace verbena::policy {

struct team_share_options {
    clock::duration half_life = std::chrono::seconds(120); // half-life of past work
    double tolerance = 1.5;                                // multiple of the share that a team may use
    double allowance = 200'000; // tokens above that; one long prompt does not put a team over its share
};

// Detects teams whose recent work exceeds their share of all recent work, by weight among the active teams.
// Their requests go after those of other teams in the same length class. A team that is the only active one
// is never over its share.
class team_shares {
public:
    explicit team_shares(const team_share_options& options = {});

    // Sets the weight of a team's share. Teams without a weight have 1.
    void set_weight(std::string_view team, double weight);

    // Counts the tokens of a request. Returns true if its team is over its share.
    bool record(std::string_view team, double tokens, time_point now);

    bool over_share(std::string_view team, time_point now) const;
    std::size_t tracked() const { return m_recent.size(); }

private:
    struct decayed_counter {
        double value = 0;
        time_point updated{};
    };

    double weight_of(std::string_view team) const;
    double current(const decayed_counter& counter, time_point now) const;
    void add(decayed_counter& counter, double tokens, time_point now) const;
    // Removes idle teams and recomputes the total weight of the active ones.
    void prune(time_point now);

    team_share_options m_options;
    name_map<double> m_weights;
    name_map<decayed_counter> m_recent; // by team
    decayed_counter m_total;
    double m_active_weight = 0; // total weight of the active teams, updated every few seconds
    time_point m_last_prune{};
};

// Request class used for scheduling: batch if the team is over its share, otherwise unchanged.
constexpr request_class demoted(request_class value, bool over_share)
{
    return over_share ? request_class::batch : value;
}

} // namespace verbena::policy
