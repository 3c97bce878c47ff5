#include "agent/admission.h"

#include <algorithm>

namespace verbena::agent {

namespace {

// Lower and upper bound of the retry hint; the lower one is also the default.
constexpr milliseconds default_retry_after{1'000};
constexpr milliseconds max_retry_after{30'000};

// A request is refused when the estimated time to its first token exceeds the time left by this factor, which
// allows for estimation errors.
constexpr double deadline_margin = 1.0;

constexpr std::uint64_t plain_service_capacity = UINT32_MAX;

// Interval between searches for expired attempts; a search visits every attempt.
constexpr milliseconds expiry_interval{1'000};

std::uint32_t prompt_length(const wire::submitT& submit)
{
    return submit.prompt_tokens;
}

} // namespace

admission::admission(const admission_options& options)
    : m_options(options), m_memory(options.plain ? plain_service_capacity : options.memory_tokens),
      m_cold(policy::cold_limit_options{options.plain ? options.warm_limit : options.cold_limit,
                                        options.warm_limit}),
      m_estimator(policy::estimator_options{.prefill_tokens_per_second =
                                                static_cast<double>(options.prefill_tokens_per_s)}),
      m_queue(options.queue_limit, policy::make_class_shares())
{
    if (!options.plain) {
        m_queue.set_window(policy::dispatch_window{});
    }
}

std::optional<refusal> admission::check_state(const serving_state& state) const
{
    if (state.leaving) {
        return refusal{wire::refusal::leaving, "the endpoint's agent is stopping", milliseconds(0)};
    }
    if (!state.fresh) {
        return refusal{wire::refusal::stale,
                       "the endpoint has no recently confirmed configuration or engine status",
                       default_retry_after};
    }
    if (state.domain != op::admin_state::in) {
        return refusal{wire::refusal::domain_out, "the failure domain is out of service", milliseconds(0)};
    }
    if (state.endpoint != op::admin_state::in) {
        return refusal{wire::refusal::leaving, "the endpoint is leaving or out of service", milliseconds(0)};
    }
    return std::nullopt;
}

std::optional<refusal> admission::check_size(const wire::submitT& submit) const
{
    const std::uint64_t tokens = std::uint64_t{submit.prompt_tokens} + submit.max_tokens;
    if (!m_memory.can_ever_fit(tokens, classify(prompt_length(submit)))) {
        const std::uint32_t largest = m_memory.largest_prompt(submit.max_tokens);
        return refusal{wire::refusal::too_large,
                       "the prompt does not fit this endpoint's memory; the largest that fits has " +
                           std::to_string(largest) + " tokens",
                       milliseconds(0)};
    }
    return std::nullopt;
}

policy::queued_request admission::to_queued(const wire::submitT& submit, const attempt_id& id,
                                            time_point arrival) const
{
    policy::queued_request request;
    request.attempt = id;
    request.team = submit.team;
    request.priority_class = static_cast<request_class>(std::min<std::uint8_t>(submit.request_class, 2));
    request.prompt_tokens = submit.prompt_tokens;
    request.max_tokens = submit.max_tokens;
    request.owner = submit.entry_incarnation;
    request.arrival = arrival;
    request.deadline = arrival + milliseconds(submit.time_left_ms);
    return request;
}

policy::backlog admission::backlog_of(const policy::queued_request& request, time_point now) const
{
    return m_queue.ahead_of(request, now);
}

std::optional<refusal> admission::check_deadline(const policy::queued_request& request,
                                                 milliseconds time_left, time_point now) const
{
    if (m_options.plain) {
        return std::nullopt;
    }
    policy::backlog ahead = backlog_of(request, now);
    ahead.limit = m_cold.limit();
    const auto estimate = m_estimator.estimate(request.prompt_tokens, request.max_tokens, ahead);
    // Responses often end before max_tokens, so only the time to the first token is compared.
    if (estimate.first_token() > time_left * deadline_margin) {
        return refusal{wire::refusal::deadline, "the endpoint cannot meet the deadline", retry_hint()};
    }
    return std::nullopt;
}

milliseconds admission::retry_hint() const
{
    policy::backlog ahead;
    ahead.waiting = static_cast<std::uint32_t>(m_queue.size());
    ahead.limit = m_cold.limit();
    const auto estimate = m_estimator.estimate(1, 1, ahead);
    return std::clamp(std::chrono::duration_cast<milliseconds>(estimate.queue), default_retry_after,
                      max_retry_after);
}

std::optional<refusal> admission::check(const wire::submitT& submit, const serving_state& state,
                                        time_point now) const
{
    const std::lock_guard lock(m_mutex);
    if (auto refused = check_state(state)) {
        return refused;
    }
    if (auto refused = check_size(submit)) {
        return refused;
    }
    const policy::queued_request request = to_queued(submit, attempt_id{}, now);
    return check_deadline(request, milliseconds(submit.time_left_ms), now);
}

admission::enqueue_result admission::enqueue(const std::shared_ptr<attempt>& value,
                                             const serving_state& state, time_point now)
{
    const std::lock_guard lock(m_mutex);
    enqueue_result outcome;
    outcome.value = m_table.find(value->id);
    if (outcome.value) {
        return outcome;
    }
    outcome.refused = check_state(state);
    if (outcome.refused) {
        return outcome;
    }
    if (m_answer_bytes->load() + value->body.size() > m_options.answer_memory) {
        outcome.refused =
            refusal{wire::refusal::memory, "the agent's memory limit for requests and responses is reached",
                    retry_hint()};
        return outcome;
    }
    policy::queued_request request = to_queued(value->submit, value->id, value->arrived_at);
    const auto time_left = std::chrono::duration_cast<milliseconds>(value->deadline - now);
    outcome.refused = check_deadline(request, time_left, now);
    if (outcome.refused) {
        return outcome;
    }
    if (m_table.add(value, now) == attempt_table::add_verdict::closed) {
        outcome.refused =
            refusal{wire::refusal::closed, "the attempt was closed before it arrived", milliseconds(0)};
        return outcome;
    }
    *m_answer_bytes += value->body.size();
    const double weight = std::max<std::uint32_t>(value->submit.weight, 1);
    m_shares.set_weight(request.team, weight);
    m_queue.set_weight(request.team, weight);
    const bool over_share = m_shares.record(request.team, static_cast<double>(request.tokens()), now);
    value->urgency = policy::demoted(value->urgency, over_share);
    request.priority_class = value->urgency;
    const policy::push_verdict verdict = m_queue.push(request, m_memory, now);
    if (verdict != policy::push_verdict::queued) {
        end_attempt(*value, now);
        value->log.fail(attempt_outcome::not_run, policy::to_string(verdict));
        const bool too_large = verdict == policy::push_verdict::too_large;
        outcome.refused = refusal{too_large ? wire::refusal::too_large : wire::refusal::queue_full,
                                  too_large ? "the prompt does not fit this endpoint's memory"
                                            : "the endpoint's queue is full",
                                  too_large ? milliseconds(0) : retry_hint()};
        return outcome;
    }
    outcome.value = value;
    outcome.added = true;
    policy::backlog ahead = backlog_of(request, now);
    ahead.limit = m_cold.limit();
    const auto estimate = m_estimator.estimate(request.prompt_tokens, request.max_tokens, ahead);
    outcome.queue_estimate = std::chrono::duration_cast<milliseconds>(estimate.queue);
    return outcome;
}

admission::work admission::take_work(const serving_state& state, time_point now)
{
    const std::lock_guard lock(m_mutex);
    work batch;
    std::vector<policy::queued_request> dropped;
    const std::optional<refusal> refuse_all = check_state(state);
    if (refuse_all) {
        dropped = m_queue.clear();
    } else {
        dropped = m_queue.expire(now);
    }
    const refusal deadline_passed{wire::refusal::deadline, "deadline exceeded while queued", milliseconds(0)};
    for (const policy::queued_request& request : dropped) {
        const std::shared_ptr<attempt> value = m_table.find(request.attempt);
        if (value) {
            end_attempt(*value, now);
            batch.refused.emplace_back(value, refuse_all ? *refuse_all : deadline_passed);
        }
    }
    while (!refuse_all) {
        const std::optional<policy::queued_request> next = m_queue.pop(m_memory, m_cold, now);
        if (!next) {
            break;
        }
        const std::shared_ptr<attempt> value = m_table.find(next->attempt);
        if (!value) {
            m_memory.release(next->attempt);
            continue;
        }
        value->phase = attempt_phase::running;
        value->dispatched_at = now;
        batch.dispatch.push_back(value);
    }
    return batch;
}

void admission::first_token(const std::shared_ptr<attempt>& value, time_point now)
{
    const std::lock_guard lock(m_mutex);
    value->prefill = m_queue.record_first_token(value->id, now);
}

void admission::end_attempt(attempt& value, time_point now)
{
    value.phase = attempt_phase::ended;
    value.ended_at = now;
    *m_answer_bytes -= value.body.size();
    value.body = std::string();
}

void admission::released(const std::shared_ptr<attempt>& value)
{
    const std::lock_guard lock(m_mutex);
    m_memory.release(value->id);
}

void admission::ended(const std::shared_ptr<attempt>& value, std::optional<policy::service_sample> sample,
                      time_point now)
{
    const std::lock_guard lock(m_mutex);
    end_attempt(*value, now);
    if (sample) {
        // Excludes the time that the prompt waited in the engine for other prompts.
        sample->prefill = value->prefill.value_or(sample->prefill);
        m_estimator.record(*sample);
        m_cold.record_success(sample->prefill + sample->decode,
                              policy::work_units(sample->prompt_tokens, sample->output_tokens));
    }
}

bool admission::cancel_queued(const std::shared_ptr<attempt>& value, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_queue.remove(value->id)) {
        return false;
    }
    end_attempt(*value, now);
    return true;
}

std::vector<std::shared_ptr<attempt>> admission::observe(const engine_status& status)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<attempt>> lost;
    const bool restarted = m_engine && *m_engine != status.engine;
    m_engine = status.engine;
    m_cold.observe_incarnation(status.engine);
    m_cold.observe_report(status.cold);
    if (status.capacity_tokens != 0 && !m_options.plain) {
        m_memory.set_capacity(std::min(status.capacity_tokens, m_options.memory_tokens));
    }
    if (restarted) {
        for (const attempt_id& id : m_memory.clear()) {
            if (const std::shared_ptr<attempt> value = m_table.find(id)) {
                lost.push_back(value);
            }
        }
    }
    return lost;
}

admission::reconciliation admission::reconcile(const std::vector<held_request>& held)
{
    const std::lock_guard lock(m_mutex);
    reconciliation found;
    std::uint64_t unaccounted = 0;
    std::unordered_map<attempt_id, bool> engine_holds;
    for (const held_request& request : held) {
        const std::optional<attempt_id> id = parse_engine_id(request.id);
        if (id && m_memory.contains(*id)) {
            engine_holds[*id] = true;
        } else {
            found.unknown.push_back(request.id);
            unaccounted += request.tokens;
        }
    }
    m_memory.set_unaccounted(unaccounted);
    for (const auto& value : m_table.all()) {
        const bool ended = value->phase == attempt_phase::ended;
        if (ended && m_memory.contains(value->id) && !engine_holds.contains(value->id)) {
            m_memory.release(value->id);
            found.vanished.push_back(value);
        }
    }
    return found;
}

std::vector<std::shared_ptr<attempt>> admission::take_orphans(time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (now - m_last_expiry > expiry_interval) {
        m_last_expiry = now;
        m_table.expire(now);
    }
    std::vector<std::shared_ptr<attempt>> orphans;
    for (const auto& value : m_table.all()) {
        const bool owner_expired =
            value->owner_lost_at && now - *value->owner_lost_at > m_options.owner_lease;
        const bool deadline_passed = now >= value->deadline && !value->cancel_requested;
        if ((owner_expired || deadline_passed) && value->submit.repeatable &&
            value->phase != attempt_phase::ended) {
            value->owner_lost_at = std::nullopt;
            orphans.push_back(value);
        }
    }
    return orphans;
}

std::shared_ptr<attempt> admission::find(const attempt_id& id) const
{
    const std::lock_guard lock(m_mutex);
    return m_table.find(id);
}

bool admission::close_unseen(const attempt_id& id, time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_table.close_unseen(id, now);
}

std::uint64_t admission::begin_delivery(const std::shared_ptr<attempt>& value)
{
    const std::lock_guard lock(m_mutex);
    value->owner_lost_at = std::nullopt;
    return ++value->delivery;
}

bool admission::is_current(const std::shared_ptr<attempt>& value, std::uint64_t delivery) const
{
    const std::lock_guard lock(m_mutex);
    return value->delivery == delivery;
}

void admission::delivery_broken(const std::shared_ptr<attempt>& value, std::uint64_t delivery, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (value->delivery == delivery) {
        value->owner_lost_at = now;
    }
}

void admission::acknowledged(const std::shared_ptr<attempt>& value)
{
    const std::lock_guard lock(m_mutex);
    value->acknowledged = true;
}

attempt_phase admission::phase_of(const std::shared_ptr<attempt>& value) const
{
    const std::lock_guard lock(m_mutex);
    return value->phase;
}

bool admission::request_cancel(const std::shared_ptr<attempt>& value)
{
    const std::lock_guard lock(m_mutex);
    if (value->phase != attempt_phase::running || value->cancel_requested || !value->submit.repeatable) {
        return false;
    }
    value->cancel_requested = true;
    return true;
}

bool admission::cancel_requested(const std::shared_ptr<attempt>& value) const
{
    const std::lock_guard lock(m_mutex);
    return value->cancel_requested;
}

wire::load_summaryT admission::load() const
{
    const std::lock_guard lock(m_mutex);
    wire::load_summaryT summary;
    summary.running = static_cast<std::uint32_t>(m_memory.size());
    summary.queued = static_cast<std::uint32_t>(m_queue.size());
    summary.free_tokens = m_memory.free();
    summary.limit = m_cold.limit();
    summary.cold = m_cold.cold();
    summary.prefill_tokens_per_s =
        static_cast<std::uint64_t>(m_estimator.prefill_tokens_per_second(length_class::short_prompt));
    return summary;
}

bool admission::cold() const
{
    const std::lock_guard lock(m_mutex);
    return m_cold.cold();
}

std::size_t admission::open_attempts() const
{
    const std::lock_guard lock(m_mutex);
    const auto values = m_table.all();
    return static_cast<std::size_t>(std::count_if(values.begin(), values.end(), [](const auto& value) {
        return value->phase != attempt_phase::ended;
    }));
}

std::uint32_t admission::engine_rank(const std::shared_ptr<attempt>& value, time_point now) const
{
    policy::queued_request request = to_queued(value->submit, value->id, value->arrived_at);
    request.priority_class = value->urgency;
    return policy::engine_rank(request, now);
}

std::size_t admission::undelivered(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& value : m_table.all()) {
        const bool owner_expired =
            value->owner_lost_at && now - *value->owner_lost_at > m_options.owner_lease;
        if (value->phase == attempt_phase::ended && !value->acknowledged && !owner_expired &&
            now < value->deadline) {
            ++count;
        }
    }
    return count;
}

} // namespace verbena::agent
