#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <string_view>

namespace verbena::policy {

struct team_share_options {
    clock::duration half_life = std::chrono::seconds(120); // of past work
    double tolerance = 1.5;                                // times the share
    double allowance = 200'000; // tokens; one long prompt does not count as over the share
};

// Recognises teams whose recent work is above their share of all recent work, by weight among the active
// teams. Their requests go after those of other teams in the same length class; a team that is alone is never
// over its share.
class team_shares {
public:
    explicit team_shares(const team_share_options& options = {});

    // Weight of a team's share; 1 for teams that were not set.
    void set_weight(std::string_view team, double weight);

    // Counts the tokens of a request; true when its team is over its share.
    bool record(std::string_view team, double tokens, time_point now);

    bool over_share(std::string_view team, time_point now) const;
    std::size_t tracked() const { return m_recent.size(); }

private:
    struct decayed {
        double value = 0;
        time_point updated{};
    };

    double weight_of(std::string_view team) const;
    double current(const decayed& counter, time_point now) const;
    void add(decayed& counter, double tokens, time_point now) const;
    // Forgets idle teams and adds up the weights of the active ones.
    void prune(time_point now);

    team_share_options m_options;
    name_map<double> m_weights;
    name_map<decayed> m_recent; // active teams
    decayed m_total;
    double m_active_weight = 0; // of the teams with recent work, brought up to date every few seconds
    time_point m_pruned{};
};

// The request class under which a request of a team over its share competes.
constexpr request_class demoted(request_class value, bool over_share)
{
    return over_share ? request_class::batch : value;
}

} // namespace verbena::policy
