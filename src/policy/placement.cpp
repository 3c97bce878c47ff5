#include "policy/placement.h"

#include "policy/even_load.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace verbena::policy {

namespace {

constexpr std::array<std::size_t, 9> part_counts{1, 2, 3, 4, 6, 8, 11, 14, 17};

// With fewer endpoints, a long prompt may be placed unsplit even where it blocks other work.
constexpr std::size_t min_endpoints_to_split = 3;

// Callers disconnect after about this many times their allowed pause.
constexpr double pauses_until_abandoned = 4;

// Weight of an endpoint's wait and prefill time, relative to the objective, when scoring it for a part.
constexpr double delay_weight = 0.4;

// Weight of the predicted time to the first event, relative to the objective. Makes the faster of two
// placements win if both are in time.
constexpr double first_event_weight = 0.7;

// Weight of the increase in event interval, relative to the shortest allowed pause at the endpoint, so that
// work is spread before any pause is exceeded. Also the weight of the memory in use.
constexpr double load_weight = 0.005;

// A candidate scored for one part.
struct scored_candidate {
    std::size_t index = 0;
    double wait_ms = 0;        // until the endpoint can start to prefill the part
    double loss_to_others = 0; // expected loss of other requests there
    double score = 0;
};

bool is_better(const scored_candidate& a, const scored_candidate& b)
{
    return a.score < b.score;
}

class placement_search {
public:
    placement_search(const model_request& request, const engine_cost& cost,
                     const std::vector<placement_candidate>& candidates, time_point now,
                     const placement_options& options)
        : m_request(request), m_cost(cost), m_candidates(candidates), m_now(now), m_options(options),
          m_value(value_left(request, options))
    {
    }

    std::optional<placement> choose()
    {
        std::optional<placement> best;
        const double unsplit_ms = m_cost.prefill_ms(m_request.prompt_tokens);
        for (const std::size_t parts : part_counts) {
            const bool allowed =
                parts == 1 || unsplit_ms / static_cast<double>(parts) >= m_options.min_part_ms;
            if (parts > m_options.max_parts || parts > m_candidates.size() || !allowed) {
                break;
            }
            std::optional<placement> found = choose_parts(parts);
            if (found && (!best || found->expected_loss < best->expected_loss)) {
                best = std::move(found);
            }
        }
        return best;
    }

private:
    std::uint64_t needed_tokens() const
    {
        return std::uint64_t{m_request.prompt_tokens} + m_request.output_tokens;
    }

    std::uint64_t free_tokens(std::size_t index) const
    {
        const auto usable = static_cast<std::uint64_t>(static_cast<double>(m_cost.rule().memory_tokens) *
                                                       m_options.usable_memory_share);
        const std::uint64_t held = m_candidates[index].load->held_tokens();
        return held < usable ? usable - held : 0;
    }

    double event_interval_ms(const placement_candidate& candidate) const
    {
        return m_cost.event_interval_ms(candidate.load->decoding_requests(),
                                        candidate.load->context_tokens()) *
               candidate.slowdown;
    }

    // Expected loss of the requests decoding at the endpoint if it also prefills for `part_ms`.
    double loss_of_decoding(const placement_candidate& candidate, double part_ms) const
    {
        const endpoint_load& load = *candidate.load;
        if (load.decoding_requests() == 0 || load.shortest_pause() == milliseconds::zero()) {
            return 0;
        }
        const double pass = event_interval_ms(candidate);
        const double backlog = load.backlog_ms(m_now);
        const double max_prefill = m_cost.max_prefill_in_pass_ms() * candidate.slowdown;
        const double limit = static_cast<double>(load.shortest_pause().count()) * m_options.prediction_margin;
        const double before = pass + std::min(backlog, max_prefill);
        const double after = pass + std::min(backlog + part_ms, std::max(max_prefill, part_ms));
        const bool becomes_late = before <= limit && after > limit;
        // Callers whose answers stall for several allowed pauses disconnect, and the tokens decoded for them
        // are wasted.
        const bool is_abandoned = becomes_late && after > pauses_until_abandoned * limit;
        const double loss = is_abandoned ? m_options.abandoned_loss : m_options.late_loss;
        return (becomes_late ? loss * load.decoding_value() : 0) +
               load_weight * load.decoding_value() * std::min((after - before) / limit, 1.0);
    }

    // Expected loss of the requests that wait for their first event there. They are delayed because an
    // endpoint prefills the parts of split prompts before all other prompts, newest first.
    double loss_of_waiting(const placement_candidate& candidate, double part_ms) const
    {
        const endpoint_load& load = *candidate.load;
        if (load.waiting_loss_per_ms() <= 0) {
            return 0;
        }
        const double slack = std::chrono::duration<double, std::milli>(load.earliest_due() - m_now).count();
        const double before = load.backlog_ms(m_now) + event_interval_ms(candidate);
        const bool becomes_late = before <= slack && before + part_ms > slack * m_options.prediction_margin;
        return (becomes_late ? m_options.late_loss * load.waiting_value() : 0) +
               first_event_weight * load.waiting_loss_per_ms() * part_ms;
    }

    // Time until a slot is free, estimated from the time to decode an answer there.
    double slot_wait_ms(const placement_candidate& candidate) const
    {
        const endpoint_load& load = *candidate.load;
        const std::size_t slots = std::max<std::uint32_t>(candidate.slots, 1);
        if (load.requests() < slots) {
            return 0;
        }
        const double answer_ms =
            m_cost.decode_ms(m_request.output_tokens, load.decoding_requests(), load.context_tokens()) *
            candidate.slowdown;
        return answer_ms * static_cast<double>(load.requests() - slots + 1) / static_cast<double>(slots);
    }

    double objective_ms() const
    {
        return std::max<double>(static_cast<double>(m_request.objective.count()), 1);
    }

    double start_delay_ms(const placement_candidate& candidate) const
    {
        return candidate.load->decoding_requests() != 0 ? event_interval_ms(candidate) / 2 : 0;
    }

    // Time until the endpoint is free for a part of a split prompt.
    double wait_until_idle_ms(const placement_candidate& candidate) const
    {
        const double backlog = candidate.load->backlog_ms(m_now);
        return backlog <= m_options.idle_backlog_ms ? 0 : backlog;
    }

    scored_candidate score_helper(std::size_t index, double part_ms) const
    {
        const placement_candidate& candidate = m_candidates[index];
        const double own_part_ms = part_ms * candidate.slowdown;
        scored_candidate value;
        value.index = index;
        value.wait_ms = wait_until_idle_ms(candidate);
        value.loss_to_others =
            loss_of_decoding(candidate, own_part_ms) + loss_of_waiting(candidate, own_part_ms);
        value.score = value.loss_to_others + m_request.queue_loss_per_ms * value.wait_ms +
                      m_value * (candidate.failure_share +
                                 delay_weight * (value.wait_ms + own_part_ms) / objective_ms() +
                                 (candidate.other_domain ? m_options.other_domain_helper_cost : 0));
        return value;
    }

    // Scores a candidate as the endpoint that decodes the answer.
    scored_candidate score_decoder(std::size_t index, double part_ms, bool unsplit) const
    {
        const placement_candidate& candidate = m_candidates[index];
        const double own_part_ms = part_ms * candidate.slowdown;
        scored_candidate value;
        value.index = index;
        value.wait_ms = unsplit ? candidate.load->backlog_ms(m_now) : wait_until_idle_ms(candidate);
        value.loss_to_others = loss_of_decoding(candidate, own_part_ms) +
                               (unsplit ? 0 : loss_of_waiting(candidate, own_part_ms));
        value.score = value.loss_to_others + decoder_cost(index) +
                      (unsplit ? 0 : m_request.queue_loss_per_ms * value.wait_ms) +
                      m_value * (candidate.failure_share +
                                 delay_weight * (value.wait_ms + own_part_ms) / objective_ms());
        return value;
    }

    std::optional<placement> choose_parts(std::size_t parts) const
    {
        const double part_ms = m_cost.prefill_ms(m_request.prompt_tokens, parts);
        if (parts == 1) {
            return choose_unsplit(part_ms);
        }
        std::vector<scored_candidate> helpers;
        std::vector<scored_candidate> decoders;
        helpers.reserve(m_candidates.size());
        decoders.reserve(m_candidates.size());
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (!m_candidates[i].accepts_prefill_parts) {
                continue;
            }
            helpers.push_back(score_helper(i, part_ms));
            decoders.push_back(score_decoder(i, part_ms, false));
        }
        if (helpers.size() < parts) {
            return std::nullopt;
        }
        const scored_candidate decoder = decoders[choose_decoder(decoders)];
        std::erase_if(helpers,
                      [&decoder](const scored_candidate& value) { return value.index == decoder.index; });
        std::nth_element(helpers.begin(), helpers.begin() + static_cast<std::ptrdiff_t>(parts - 2),
                         helpers.end(), is_better);
        helpers.resize(parts - 1);
        return complete(decoder, helpers, part_ms);
    }

    // An unsplit placement involves only one endpoint, so the full expected loss of each candidate is
    // compared.
    std::optional<placement> choose_unsplit(double part_ms) const
    {
        std::optional<placement> best;
        if (m_cost.rule().memory_tokens < needed_tokens()) {
            return best;
        }
        const bool may_block_others = part_ms <= m_options.max_unsplit_ms || m_options.max_parts < 2 ||
                                      m_candidates.size() < min_endpoints_to_split;
        std::vector<placement> possible;
        std::vector<scored_candidate> decoders;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            const endpoint_load& load = *m_candidates[i].load;
            if (!may_block_others && (load.decoding_requests() != 0 || load.waiting_loss_per_ms() > 0)) {
                continue;
            }
            scored_candidate decoder = score_decoder(i, part_ms, true);
            std::optional<placement> found = complete(decoder, {}, part_ms);
            if (found) {
                decoder.score = found->expected_loss;
                decoders.push_back(decoder);
                possible.push_back(std::move(*found));
            }
        }
        if (!possible.empty()) {
            best = std::move(possible[choose_decoder(decoders)]);
        }
        return best;
    }

    // Returns the position of the scored endpoint to decode the answer. `decoders` must not be empty.
    std::size_t choose_decoder(const std::vector<scored_candidate>& decoders) const
    {
        if (!m_options.draw) {
            return static_cast<std::size_t>(std::min_element(decoders.begin(), decoders.end(), is_better) -
                                            decoders.begin());
        }
        std::vector<even_candidate> candidates;
        candidates.reserve(decoders.size());
        for (const scored_candidate& value : decoders) {
            const placement_candidate& candidate = m_candidates[value.index];
            const auto used = static_cast<double>(candidate.load->requests());
            candidates.push_back({value.score, std::max(candidate.slots - used, 0.0), candidate.unheard});
        }
        // These costs express preferences; no answer is late if they are not met.
        const double preference =
            m_options.packing_cost + m_options.shorter_pause_cost + m_options.cross_domain_cost;
        return choose_with_room(candidates, m_value * preference, *m_options.draw);
    }

    // True if this answer's allowed pause would be the shortest one at the endpoint.
    bool has_shortest_pause(const endpoint_load& load) const
    {
        const milliseconds shortest = load.shortest_pause();
        return m_request.pause > milliseconds::zero() &&
               (shortest == milliseconds::zero() || m_request.pause < shortest);
    }

    // Additional cost of decoding the answer at an endpoint, in addition to the loss of other requests.
    double decoder_cost(std::size_t index) const
    {
        const placement_candidate& candidate = m_candidates[index];
        double loss = m_value * slot_wait_ms(candidate) / objective_ms();
        loss += candidate.other_domain ? m_value * m_options.cross_domain_cost : 0;
        if (has_shortest_pause(*candidate.load)) {
            loss += m_value * m_options.shorter_pause_cost;
        } else if (m_request.pause == candidate.load->shortest_pause()) {
            const double slots = std::max<double>(candidate.slots, 1);
            const double used = std::min(static_cast<double>(candidate.load->requests()) / slots, 1.0);
            loss += m_value * m_options.packing_cost * (1 - used);
        }
        const auto memory = static_cast<double>(std::max<std::uint64_t>(m_cost.rule().memory_tokens, 1));
        const double held = static_cast<double>(candidate.load->held_tokens()) / memory;
        loss += m_value * load_weight * held;
        if (free_tokens(index) < needed_tokens()) {
            loss += m_value * m_options.late_loss;
        }
        return loss;
    }

    std::optional<placement> complete(const scored_candidate& decoder,
                                      const std::vector<scored_candidate>& helpers, double part_ms) const
    {
        const placement_candidate& first = m_candidates[decoder.index];
        placement found;
        found.parts.push_back(decoder.index);
        double wait = decoder.wait_ms;
        double prefill_ms = start_delay_ms(first) + part_ms * first.slowdown;
        double loss_to_others = decoder.loss_to_others;
        double failure = first.failure_share;
        for (const scored_candidate& value : helpers) {
            found.parts.push_back(value.index);
            const placement_candidate& candidate = m_candidates[value.index];
            wait = std::max(wait, value.wait_ms);
            prefill_ms = std::max(prefill_ms, start_delay_ms(candidate) + part_ms * candidate.slowdown);
            loss_to_others += value.loss_to_others;
            failure += candidate.failure_share;
        }
        if (!reserve(found)) {
            return std::nullopt;
        }
        const double pass = m_cost.event_interval_ms(first.load->decoding_requests() + 1,
                                                     first.load->context_tokens() + m_request.prompt_tokens) *
                            first.slowdown;
        // A prompt that is not split is queued by its endpoint, so the sender need not wait.
        found.wait_ms = helpers.empty() ? 0 : wait;
        found.first_event_ms = wait + prefill_ms + slot_wait_ms(first) + pass;
        found.loss_to_others = loss_to_others;
        found.expected_loss = loss_to_others + decoder_cost(decoder.index) +
                              own_loss(found.first_event_ms, pass) +
                              m_request.queue_loss_per_ms * found.wait_ms +
                              m_value * (std::min(failure, 1.0) +
                                         m_options.extra_endpoint_loss * static_cast<double>(helpers.size()));
        return found;
    }

    double own_loss(double first_event_ms, double pass) const
    {
        const auto objective = static_cast<double>(m_request.objective.count());
        const auto disconnect_after = static_cast<double>(m_request.disconnect_after.count());
        if (disconnect_after > 0 && first_event_ms > disconnect_after) {
            return m_value * (1 + first_event_ms / disconnect_after);
        }
        double loss = 0;
        if (objective > 0) {
            const auto slack = static_cast<double>((m_request.objective - m_request.used).count());
            const bool becomes_late = slack > 0 && first_event_ms > slack * m_options.prediction_margin;
            loss += m_value * first_event_weight * std::min(first_event_ms / objective, 2.0);
            loss += becomes_late ? m_value * m_options.late_loss : 0;
        }
        const auto pause = static_cast<double>(m_request.pause.count());
        if (pause > 0 && pass > pause) {
            loss += m_value * m_options.late_loss;
        }
        return loss;
    }

    // If the prompt does not fit into the first endpoint, spreads the rest of it over reservations at the
    // others. Returns false if it does not fit at all.
    bool reserve(placement& found) const
    {
        found.reserved_tokens.assign(found.parts.size(), 0);
        const std::uint64_t needed = needed_tokens();
        const std::uint64_t first_free = free_tokens(found.parts.front());
        if (first_free >= needed || (found.parts.size() == 1 && m_cost.rule().memory_tokens >= needed)) {
            return true;
        }
        if (found.parts.size() == 1) {
            return false;
        }
        // The first endpoint also stores the KV of the answer.
        const std::uint64_t kept =
            first_free > m_request.output_tokens ? first_free - m_request.output_tokens : 0;
        const std::uint64_t moved =
            m_request.prompt_tokens - std::min<std::uint64_t>(m_request.prompt_tokens, kept * 9 / 10);
        std::uint64_t free_elsewhere = 0;
        for (std::size_t i = 1; i < found.parts.size(); ++i) {
            free_elsewhere += free_tokens(found.parts[i]);
        }
        if (first_free <= m_request.output_tokens || free_elsewhere < moved) {
            return false;
        }
        std::uint64_t left = moved;
        for (std::size_t i = 1; i < found.parts.size() && left > 0; ++i) {
            const double share =
                static_cast<double>(free_tokens(found.parts[i])) / static_cast<double>(free_elsewhere);
            const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(moved)) + 1;
            found.reserved_tokens[i] = std::min({wanted, left, free_tokens(found.parts[i])});
            left -= found.reserved_tokens[i];
        }
        return left == 0;
    }

    const model_request& m_request;
    const engine_cost& m_cost;
    const std::vector<placement_candidate>& m_candidates;
    time_point m_now;
    const placement_options& m_options;
    const double m_value; // value that the caller can still lose
};

} // namespace

placement_options options_alone()
{
    placement_options options;
    options.packing_cost = 0;
    options.shorter_pause_cost = 0;
    return options;
}

double loss_per_ms(const model_request& request)
{
    const auto objective = std::max<double>(static_cast<double>(request.objective.count()), 1);
    return value_left(request) * first_event_weight / objective;
}

double value_left(const model_request& request, const placement_options& options)
{
    const bool late = request.objective > milliseconds::zero() && request.used >= request.objective;
    return request.value * (late ? 1 - options.late_loss : 1);
}

std::optional<placement> place(const model_request& request, const engine_cost& cost,
                               const std::vector<placement_candidate>& candidates, time_point now,
                               const placement_options& options)
{
    return placement_search(request, cost, candidates, now, options).choose();
}

} // namespace verbena::policy
