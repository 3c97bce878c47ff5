#include "policy/placement.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace verbena::policy {

namespace {

constexpr std::array<std::size_t, 9> part_counts{1, 2, 3, 4, 6, 8, 11, 14, 17};

// With fewer endpoints a long prompt has no choice but to hold up what is there.
constexpr std::size_t least_shared = 3;

// Callers wait for about this many pauses.
constexpr double pauses_until_gone = 4;

// Weight of an endpoint's backlog against a request's objective when endpoints are compared for a part.
constexpr double backlog_weight = 0.4;

// Weight of the predicted first event against the objective, so that of two choices that are in time the
// faster one is taken.
constexpr double speed_weight = 0.7;

// Weight of a longer pass against the tightest pause there, so that work spreads before pauses are broken.
constexpr double pass_weight = 0.005;

// A candidate for one part.
struct scored {
    std::size_t index = 0;
    double wait_ms = 0; // until the endpoint can begin to read the part
    double harm = 0;    // expected loss of others there
    double score = 0;
};

bool is_better(const scored& a, const scored& b)
{
    return a.score < b.score;
}

class chooser {
public:
    chooser(const model_request& request, const engine_cost& cost,
            const std::vector<placement_candidate>& candidates, time_point now,
            const placement_options& options)
        : m_request(request), m_cost(cost), m_candidates(candidates), m_now(now), m_options(options),
          m_value(value_left(request, options))
    {
    }

    std::optional<placement> choose()
    {
        std::optional<placement> best;
        const double whole_ms = m_cost.read_ms(m_request.prompt_tokens);
        for (const std::size_t parts : part_counts) {
            const bool allowed =
                parts == 1 || whole_ms / static_cast<double>(parts) >= m_options.least_part_ms;
            if (parts > m_options.most_parts || parts > m_candidates.size() || !allowed) {
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
                                                       m_options.memory_share);
        const std::uint64_t held = m_candidates[index].load->held_tokens();
        return held < usable ? usable - held : 0;
    }

    double pass_ms(const placement_candidate& candidate) const
    {
        return m_cost.pass_ms(candidate.load->writers(), candidate.load->context_tokens()) * candidate.pace;
    }

    // Expected loss of those that write at the endpoint if it also reads for `part_ms`.
    double harm_to_writers(const placement_candidate& candidate, double part_ms) const
    {
        const endpoint_load& load = *candidate.load;
        if (load.writers() == 0 || load.tightest_pause() == milliseconds::zero()) {
            return 0;
        }
        const double pass = pass_ms(candidate);
        const double backlog = load.backlog_ms(m_now);
        const double most_read = m_cost.most_read_in_pass_ms() * candidate.pace;
        const double limit = static_cast<double>(load.tightest_pause().count()) * m_options.margin;
        const double before = pass + std::min(backlog, most_read);
        const double after = pass + std::min(backlog + part_ms, std::max(most_read, part_ms));
        const bool breaks = before <= limit && after > limit;
        // Those who stand still for several pauses leave, and what was written for them is lost.
        const bool drives_away = breaks && after > pauses_until_gone * limit;
        const double loss = drives_away ? m_options.gone_loss : m_options.late_loss;
        return (breaks ? loss * load.writer_value() : 0) +
               pass_weight * load.writer_value() * std::min((after - before) / limit, 1.0);
    }

    // Expected loss of those that wait for their first event there, as the parts of a shared prompt are read
    // before everything else, the newest first.
    double harm_to_waiting(const placement_candidate& candidate, double part_ms) const
    {
        const endpoint_load& load = *candidate.load;
        if (load.waiting_rate() <= 0) {
            return 0;
        }
        const double slack = std::chrono::duration<double, std::milli>(load.earliest_due() - m_now).count();
        const double before = load.backlog_ms(m_now) + pass_ms(candidate);
        const bool breaks = before <= slack && before + part_ms > slack * m_options.margin;
        return (breaks ? m_options.late_loss * load.waiting_value() : 0) +
               speed_weight * load.waiting_rate() * part_ms;
    }

    // Time until a slot is free, from the mean time that an answer takes there.
    double slot_wait_ms(const placement_candidate& candidate) const
    {
        const endpoint_load& load = *candidate.load;
        const std::size_t slots = std::max<std::uint32_t>(candidate.slots, 1);
        if (load.requests() < slots) {
            return 0;
        }
        const double answer =
            m_cost.write_ms(m_request.output_tokens, load.writers(), load.context_tokens()) * candidate.pace;
        return answer * static_cast<double>(load.requests() - slots + 1) / static_cast<double>(slots);
    }

    double objective_ms() const
    {
        return std::max<double>(static_cast<double>(m_request.objective.count()), 1);
    }

    double start_delay_ms(const placement_candidate& candidate) const
    {
        return candidate.load->writers() != 0 ? pass_ms(candidate) / 2 : 0;
    }

    // Time until the endpoint is free for a part of a shared prompt.
    double free_in_ms(const placement_candidate& candidate) const
    {
        const double backlog = candidate.load->backlog_ms(m_now);
        return backlog <= m_options.free_ms ? 0 : backlog;
    }

    scored score_helper(std::size_t index, double part_ms) const
    {
        const placement_candidate& candidate = m_candidates[index];
        const double own_part = part_ms * candidate.pace;
        scored value;
        value.index = index;
        value.wait_ms = free_in_ms(candidate);
        value.harm = harm_to_writers(candidate, own_part) + harm_to_waiting(candidate, own_part);
        value.score = value.harm + m_value * (candidate.failure_share +
                                              backlog_weight * (value.wait_ms + own_part) / objective_ms());
        return value;
    }

    // For the endpoint that writes the answer.
    scored score_writer(std::size_t index, double part_ms, bool alone) const
    {
        const placement_candidate& candidate = m_candidates[index];
        const double own_part = part_ms * candidate.pace;
        scored value;
        value.index = index;
        value.wait_ms = alone ? candidate.load->backlog_ms(m_now) : free_in_ms(candidate);
        value.harm =
            harm_to_writers(candidate, own_part) + (alone ? 0 : harm_to_waiting(candidate, own_part));
        value.score = value.harm + writer_cost(index) +
                      m_value * (candidate.failure_share +
                                 backlog_weight * (value.wait_ms + own_part) / objective_ms());
        return value;
    }

    std::optional<placement> choose_parts(std::size_t parts) const
    {
        const double part_ms = m_cost.read_ms(m_request.prompt_tokens, parts);
        if (parts == 1) {
            return choose_alone(part_ms);
        }
        std::vector<scored> helpers;
        std::optional<scored> writer;
        helpers.reserve(m_candidates.size());
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (!m_candidates[i].takes_parts) {
                continue;
            }
            helpers.push_back(score_helper(i, part_ms));
            const scored value = score_writer(i, part_ms, false);
            if (!writer || value.score < writer->score) {
                writer = value;
            }
        }
        if (helpers.size() < parts) {
            return std::nullopt;
        }
        std::erase_if(helpers, [&writer](const scored& value) { return value.index == writer->index; });
        std::nth_element(helpers.begin(), helpers.begin() + static_cast<std::ptrdiff_t>(parts - 2),
                         helpers.end(), is_better);
        helpers.resize(parts - 1);
        return finish(*writer, helpers, part_ms);
    }

    // With one part the choice of the writer is the whole choice, so all candidates are compared in full.
    std::optional<placement> choose_alone(double part_ms) const
    {
        std::optional<placement> best;
        if (m_cost.rule().memory_tokens < needed_tokens()) {
            return best;
        }
        const bool may_hold_up = part_ms <= m_options.most_alone_ms || m_options.most_parts < 2 ||
                                 m_candidates.size() < least_shared;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            const endpoint_load& load = *m_candidates[i].load;
            if (!may_hold_up && (load.writers() != 0 || load.waiting_rate() > 0)) {
                continue;
            }
            std::optional<placement> found = finish(score_writer(i, part_ms, true), {}, part_ms);
            if (found && (!best || found->expected_loss < best->expected_loss)) {
                best = std::move(found);
            }
        }
        return best;
    }

    // Whether the pause of this answer would be the shortest one at the endpoint.
    bool opens(const endpoint_load& load) const
    {
        const milliseconds tightest = load.tightest_pause();
        return m_request.pause > milliseconds::zero() &&
               (tightest == milliseconds::zero() || m_request.pause < tightest);
    }

    // Cost of writing the answer at an endpoint.
    double writer_cost(std::size_t index) const
    {
        const placement_candidate& candidate = m_candidates[index];
        double loss = m_value * slot_wait_ms(candidate) / objective_ms();
        loss += candidate.other_domain ? m_value * m_options.other_domain_cost : 0;
        loss += opens(*candidate.load) ? m_value * m_options.opening_cost : 0;
        const auto memory = static_cast<double>(std::max<std::uint64_t>(m_cost.rule().memory_tokens, 1));
        const double held = static_cast<double>(candidate.load->held_tokens()) / memory;
        loss += m_value * pass_weight * held;
        if (free_tokens(index) < needed_tokens()) {
            loss += m_value * m_options.late_loss;
        }
        return loss;
    }

    std::optional<placement> finish(const scored& writer, const std::vector<scored>& helpers,
                                    double part_ms) const
    {
        const placement_candidate& first = m_candidates[writer.index];
        placement found;
        found.parts.push_back(writer.index);
        double wait = writer.wait_ms;
        double read_ms = start_delay_ms(first) + part_ms * first.pace;
        double harm = writer.harm;
        double failure = first.failure_share;
        for (const scored& value : helpers) {
            found.parts.push_back(value.index);
            const placement_candidate& candidate = m_candidates[value.index];
            wait = std::max(wait, value.wait_ms);
            read_ms = std::max(read_ms, start_delay_ms(candidate) + part_ms * candidate.pace);
            harm += value.harm;
            failure += candidate.failure_share;
        }
        if (!reserve(found)) {
            return std::nullopt;
        }
        const double pass = m_cost.pass_ms(first.load->writers() + 1,
                                           first.load->context_tokens() + m_request.prompt_tokens) *
                            first.pace;
        // An endpoint that reads alone queues the prompt itself.
        found.wait_ms = helpers.empty() ? 0 : wait;
        found.first_event_ms = wait + read_ms + slot_wait_ms(first) + pass;
        found.harm = harm;
        found.expected_loss =
            harm + writer_cost(writer.index) + own_loss(found.first_event_ms, pass) +
            m_value * (std::min(failure, 1.0) + m_options.exposure * static_cast<double>(helpers.size()));
        return found;
    }

    double own_loss(double first_event_ms, double pass) const
    {
        const auto objective = static_cast<double>(m_request.objective.count());
        const auto patience = static_cast<double>(m_request.patience.count());
        if (patience > 0 && first_event_ms > patience) {
            return m_value * (1 + first_event_ms / patience);
        }
        double loss = 0;
        if (objective > 0) {
            const auto slack = static_cast<double>((m_request.objective - m_request.used).count());
            const bool turns_late = slack > 0 && first_event_ms > slack * m_options.margin;
            loss += m_value * speed_weight * std::min(first_event_ms / objective, 2.0);
            loss += turns_late ? m_value * m_options.late_loss : 0;
        }
        const auto pause = static_cast<double>(m_request.pause.count());
        if (pause > 0 && pass > pause) {
            loss += m_value * m_options.late_loss;
        }
        return loss;
    }

    // Spreads a prompt that does not fit the first endpoint over reservations at the others. False when it
    // does not fit at all.
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
        // The first endpoint also holds the answer.
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
    const double m_value; // what the caller can still lose
};

} // namespace

double value_left(const model_request& request, const placement_options& options)
{
    const bool late = request.objective > milliseconds::zero() && request.used >= request.objective;
    return request.value * (late ? 1 - options.late_loss : 1);
}

std::optional<placement> place(const model_request& request, const engine_cost& cost,
                               const std::vector<placement_candidate>& candidates, time_point now,
                               const placement_options& options)
{
    return chooser(request, cost, candidates, now, options).choose();
}

} // namespace verbena::policy
