#include "policy/even_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace verbena::policy {

namespace {

// Averaging time of the rates: several intervals between the notes, and short against the second within which
// the demand of a failure domain may double.
constexpr double averaging_seconds = 0.25;

// A decider that has told nothing for so long counts as idle.
constexpr milliseconds longest_age{500};

double seconds(clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Number of requests that about one endpoint in fifty exceeds if `mean` are expected at each: the mean and
// two standard deviations of a Poisson distribution.
double upper_bound(double mean)
{
    return mean + 2 * std::sqrt(mean);
}

// The first `count` endpoints in `order` that have room for the request and, of the sends not known yet, for
// one part in `count`.
std::vector<std::size_t> first_with_room(const std::vector<even_candidate>& candidates,
                                         const std::vector<std::size_t>& order, std::size_t count)
{
    std::vector<std::size_t> found;
    for (const std::size_t i : order) {
        const double mean = candidates[i].unheard / static_cast<double>(count);
        if (found.size() < count && candidates[i].free_slots >= 1 + upper_bound(mean)) {
            found.push_back(i);
        }
    }
    return found;
}

// Chooses when the others may have filled any endpoint: with chances in proportion to the slots that remain
// free after an equal part of their sends.
std::size_t choose_by_free_slots(const std::vector<even_candidate>& candidates,
                                 const std::vector<std::size_t>& order, double draw)
{
    const auto remaining = [&candidates, &order](std::size_t i) {
        const double mean = candidates[i].unheard / static_cast<double>(order.size());
        return std::max(candidates[i].free_slots - mean, 0.0);
    };
    double sum = 0;
    for (const std::size_t i : order) {
        sum += remaining(i);
    }
    double left = draw * sum;
    for (const std::size_t i : order) {
        left -= remaining(i);
        if (left < 0) {
            return i;
        }
    }
    return order.front();
}

} // namespace

void unheard_sends::record(incarnation decider, const std::string& domain, time_point now)
{
    decider_state& state = m_deciders[decider];
    state.heard = now;
    rate& value = state.domains[domain];
    value.per_second *= std::exp(-seconds(now - value.updated) / averaging_seconds);
    value.per_second += 1 / averaging_seconds;
    value.updated = now;
}

void unheard_sends::hear(incarnation decider, time_point now)
{
    const auto found = m_deciders.find(decider);
    if (found != m_deciders.end()) {
        found->second.heard = now;
    }
}

double unheard_sends::expected(const std::string& domain, std::chrono::microseconds delay,
                               time_point now) const
{
    double sum = 0;
    for (const auto& [decider, state] : m_deciders) {
        const auto found = state.domains.find(domain);
        const clock::duration age = now - state.heard;
        if (found == state.domains.end() || age > longest_age + delay) {
            continue;
        }
        const double per_second =
            found->second.per_second * std::exp(-seconds(now - found->second.updated) / averaging_seconds);
        sum += per_second * seconds(std::max<clock::duration>(age, delay));
    }
    return sum;
}

std::uint32_t lent_slots(std::uint32_t slots, double unheard)
{
    const double kept = std::round(upper_bound(unheard));
    return kept < slots ? slots - static_cast<std::uint32_t>(kept) : 0;
}

std::size_t choose_with_room(const std::vector<even_candidate>& candidates, double tolerance, double draw)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&candidates](std::size_t a, std::size_t b) {
        return candidates[a].loss < candidates[b].loss;
    });
    const double most_loss = candidates[order.front()].loss + tolerance;
    std::erase_if(order, [&candidates, most_loss](std::size_t i) { return candidates[i].loss > most_loss; });
    std::vector<std::size_t> chosen;
    double least_loss = 0;
    for (std::size_t count = 1; count <= order.size(); count += 1 + count / 4) {
        const std::vector<std::size_t> found = first_with_room(candidates, order, count);
        if (found.size() < count) {
            continue;
        }
        const double sum = std::accumulate(found.begin(), found.end(), 0.0, [&](double value, std::size_t i) {
            return value + candidates[i].loss;
        });
        const double loss = sum / static_cast<double>(count);
        if (chosen.empty() || loss < least_loss) {
            chosen = found;
            least_loss = loss;
        }
    }
    if (chosen.empty()) {
        return choose_by_free_slots(candidates, order, draw);
    }
    return chosen[static_cast<std::size_t>(draw * static_cast<double>(chosen.size()))];
}

} // namespace verbena::policy
