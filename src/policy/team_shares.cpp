#include "policy/team_shares.h"

#include <algorithm>
#include <cmath>

namespace verbena::policy {

namespace {

// Teams with less recent work, in tokens, are left out of the sum of weights. Otherwise hundreds of nearly
// idle teams would make every other team exceed its share.
constexpr double min_active_tokens = 20'000;
// Teams with less recent work, in tokens, are removed.
constexpr double min_tracked_tokens = 1;
constexpr auto prune_interval = std::chrono::seconds(5);

} // namespace

team_shares::team_shares(const team_share_options& options) : m_options(options) {}

void team_shares::set_weight(std::string_view team, double weight)
{
    m_weights.insert_or_assign(std::string(team), weight);
}

double team_shares::weight_of(std::string_view team) const
{
    const auto found = m_weights.find(team);
    return found == m_weights.end() ? 1.0 : found->second;
}

double team_shares::current(const decayed_counter& counter, time_point now) const
{
    const std::chrono::duration<double> age = now - counter.updated;
    const double half_lives = std::max(0.0, age / std::chrono::duration<double>(m_options.half_life));
    return counter.value * std::exp2(-half_lives);
}

void team_shares::add(decayed_counter& counter, double tokens, time_point now) const
{
    counter.value = current(counter, now) + tokens;
    counter.updated = std::max(counter.updated, now);
}

void team_shares::prune(time_point now)
{
    if (now - m_last_prune < prune_interval) {
        return;
    }
    m_last_prune = now;
    std::erase_if(m_recent,
                  [this, now](const auto& item) { return current(item.second, now) < min_tracked_tokens; });
    m_active_weight = 0;
    for (const auto& [team, counter] : m_recent) {
        m_active_weight += current(counter, now) >= min_active_tokens ? weight_of(team) : 0;
    }
}

bool team_shares::record(std::string_view team, double tokens, time_point now)
{
    prune(now);
    auto found = m_recent.find(team);
    if (found == m_recent.end()) {
        found = m_recent.emplace(std::string(team), decayed_counter{0, now}).first;
    }
    add(found->second, tokens, now);
    add(m_total, tokens, now);
    return over_share(team, now);
}

bool team_shares::over_share(std::string_view team, time_point now) const
{
    const auto found = m_recent.find(team);
    if (found == m_recent.end() || m_active_weight <= 0) {
        return false;
    }
    const double share = weight_of(team) / m_active_weight;
    const double allowed = m_options.tolerance * share * current(m_total, now) + m_options.allowance;
    return current(found->second, now) > allowed;
}

} // namespace verbena::policy
