#include "standin/engine.h"

#include <algorithm>
#include <cmath>

namespace verbena::standin {

namespace {

// Incarnation numbers stay below 2^53, so that JSON readers that store numbers as doubles keep them exact.
constexpr std::uint64_t incarnation_mask = (std::uint64_t{1} << 53U) - 1;

bool scheduled_before(const tracked_request* left, const tracked_request* right)
{
    return std::pair(left->request.priority, left->sequence) <
           std::pair(right->request.priority, right->sequence);
}

std::vector<tracked_request*> requests_in_state(std::map<std::string, tracked_request>& requests,
                                                request_state state)
{
    std::vector<tracked_request*> found;
    for (auto& [id, tracked] : requests) {
        if (tracked.state == state) {
            found.push_back(&tracked);
        }
    }
    std::sort(found.begin(), found.end(), scheduled_before);
    return found;
}

} // namespace

const char* to_string(request_state state)
{
    switch (state) {
    case request_state::waiting:
        return "waiting";
    case request_state::prefill:
        return "prefill";
    case request_state::decode:
        return "decode";
    case request_state::finished:
        return "finished";
    }
    return "unknown";
}

const char* to_string(engine_event_kind kind)
{
    switch (kind) {
    case engine_event_kind::started:
        return "started";
    case engine_event_kind::progress:
        return "progress";
    case engine_event_kind::finished:
        return "finished";
    case engine_event_kind::cancelled:
        return "cancelled";
    case engine_event_kind::overload:
        return "overload";
    case engine_event_kind::cold:
        return "cold";
    case engine_event_kind::warm:
        return "warm";
    case engine_event_kind::peak_memory:
        return "peak_memory";
    }
    return "unknown";
}

engine::engine(const engine_options& options, std::uint64_t seed, time_point now)
    : m_options(options), m_random(seed)
{
    m_incarnation = m_random() & incarnation_mask;
    start_cold(now, milliseconds(0));
}

result<void> engine::submit(engine_request request, time_point now)
{
    advance(now);
    if (m_requests.contains(request.id)) {
        return make_error(error_kind::conflict, "the request id is already in use",
                          "use a new id for each attempt");
    }
    tracked_request tracked;
    tracked.sequence = ++m_last_sequence;
    tracked.prefill_remaining = request.prompt_tokens;
    tracked.request = std::move(request);
    const std::string id = tracked.request.id;
    m_requests.emplace(id, std::move(tracked));
    emit(engine_event_kind::started, now, id);
    const engine_load current_load = load();
    if (m_cold && now >= m_cold_limit_start &&
        current_load.running + current_load.waiting > m_options.cold_limit) {
        restart_after_overload("cold", now);
    } else if (!m_step_end) {
        begin_step(now);
    }
    record_load(now);
    if (!m_requests.contains(id)) {
        return make_error(error_kind::unavailable, "the engine restarted because of overload",
                          "reduce the load");
    }
    return success();
}

bool engine::cancel(const std::string& id, time_point now)
{
    advance(now);
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return false;
    }
    const bool unfinished = it->second.state != request_state::finished;
    emit(unfinished ? engine_event_kind::cancelled : engine_event_kind::progress, now, id,
         it->second.kv_tokens);
    release_kv(it->second);
    m_requests.erase(it);
    record_load(now);
    return true;
}

void engine::advance(time_point now)
{
    while (m_step_end && *m_step_end <= now) {
        const time_point end = *m_step_end;
        m_step_end.reset();
        apply_time_limits(end);
        finish_step(end);
        begin_step(end);
        record_load(end);
    }
    apply_time_limits(now);
}

void engine::begin_step(time_point now)
{
    admit_waiting(now);
    const double prefill_tokens = allocate_prefill();
    const bool decoding = !requests_in_state(m_requests, request_state::decode).empty();
    if (prefill_tokens <= 0 && !decoding) {
        return;
    }
    double seconds = prefill_tokens / m_options.prefill_rate;
    if (decoding) {
        seconds += std::chrono::duration<double>(m_options.decode_step).count();
    }
    seconds *= m_slowdown * (m_cold ? m_options.cold_slowdown : 1.0);
    m_step_end =
        now + std::max(std::chrono::nanoseconds(1), std::chrono::nanoseconds(std::llround(seconds * 1e9)));
}

void engine::admit_waiting(time_point now)
{
    std::size_t running = load().running;
    for (tracked_request* tracked : requests_in_state(m_requests, request_state::waiting)) {
        if (running >= m_options.max_batch) {
            return;
        }
        ++running;
        tracked->state = request_state::prefill;
        allocate_kv(*tracked, tracked->request.prompt_tokens);
    }
    if (m_used_tokens > m_options.capacity_tokens) {
        restart_after_overload("memory", now);
    }
}

double engine::allocate_prefill()
{
    double budget = m_options.chunk_tokens;
    auto prefilling = requests_in_state(m_requests, request_state::prefill);
    // Within a priority, the smallest remainder comes first, so that the part of its share that it does not
    // use goes to the other requests.
    std::stable_sort(prefilling.begin(), prefilling.end(),
                     [](const tracked_request* left, const tracked_request* right) {
                         return std::pair(left->request.priority, left->prefill_remaining) <
                                std::pair(right->request.priority, right->prefill_remaining);
                     });
    double allocated = 0;
    for (std::size_t i = 0; i < prefilling.size(); ++i) {
        std::size_t same_priority = 1;
        while (i + same_priority < prefilling.size() &&
               prefilling[i + same_priority]->request.priority == prefilling[i]->request.priority) {
            ++same_priority;
        }
        prefilling[i]->step_prefill_tokens =
            std::min(prefilling[i]->prefill_remaining, budget / static_cast<double>(same_priority));
        budget -= prefilling[i]->step_prefill_tokens;
        allocated += prefilling[i]->step_prefill_tokens;
    }
    return allocated;
}

void engine::finish_step(time_point now)
{
    std::vector<tracked_request*> batch = requests_in_state(m_requests, request_state::decode);
    for (tracked_request* tracked : requests_in_state(m_requests, request_state::prefill)) {
        tracked->prefill_remaining -= tracked->step_prefill_tokens;
        tracked->step_prefill_tokens = 0;
        if (tracked->prefill_remaining < 1e-6) {
            tracked->state = request_state::decode;
            batch.push_back(tracked);
        }
    }
    for (tracked_request* tracked : batch) {
        generate_token(*tracked, now);
    }
    if (m_used_tokens > m_options.capacity_tokens) {
        restart_after_overload("memory", now);
    }
}

void engine::generate_token(tracked_request& tracked, time_point now)
{
    ++tracked.generated;
    allocate_kv(tracked, 1);
    emit(engine_event_kind::progress, now, tracked.request.id, tracked.kv_tokens);
    if (tracked.generated >= tracked.request.max_tokens) {
        finish(tracked, now);
    }
}

void engine::finish(tracked_request& tracked, time_point now)
{
    tracked.state = request_state::finished;
    tracked.finished_at = now;
    emit(engine_event_kind::finished, now, tracked.request.id, tracked.kv_tokens);
    release_kv(tracked);
    if (m_peak_tokens > m_reported_peak_tokens) {
        m_reported_peak_tokens = m_peak_tokens;
        emit(engine_event_kind::peak_memory, now, {}, m_peak_tokens);
    }
    if (m_cold && m_options.cold_requests > 0 && ++m_cold_finished >= m_options.cold_requests) {
        m_cold = false;
        emit(engine_event_kind::warm, now);
    }
}

void engine::restart_after_overload(const std::string& reason, time_point now)
{
    emit(engine_event_kind::overload, now, {}, m_used_tokens, reason);
    m_requests.clear();
    m_step_end.reset();
    m_used_tokens = 0;
    m_incarnation = m_random() & incarnation_mask;
    start_cold(now, milliseconds(0));
}

void engine::become_cold(time_point now)
{
    advance(now);
    start_cold(now, m_options.cold_grace);
}

void engine::start_cold(time_point now, milliseconds grace)
{
    if (m_options.cold_requests == 0 && m_options.cold_time.count() == 0) {
        return;
    }
    m_cold = true;
    m_cold_since = now;
    m_cold_limit_start = now + grace;
    m_cold_finished = 0;
    emit(engine_event_kind::cold, now);
}

void engine::allocate_kv(tracked_request& tracked, std::uint64_t tokens)
{
    tracked.kv_tokens += tokens;
    m_used_tokens += tokens;
    m_peak_tokens = std::max(m_peak_tokens, m_used_tokens);
}

void engine::release_kv(tracked_request& tracked)
{
    m_used_tokens -= tracked.kv_tokens;
    tracked.kv_tokens = 0;
}

void engine::apply_time_limits(time_point now)
{
    std::erase_if(m_requests, [&](const auto& item) {
        const tracked_request& tracked = item.second;
        return tracked.state == request_state::finished &&
               now - tracked.finished_at >= m_options.finished_retention;
    });
    if (m_cold && m_options.cold_time.count() > 0 && now - m_cold_since >= m_options.cold_time) {
        m_cold = false;
        emit(engine_event_kind::warm, now);
    }
}

engine_load engine::load() const
{
    engine_load value;
    value.used_tokens = m_used_tokens;
    for (const auto& [id, tracked] : m_requests) {
        if (tracked.state == request_state::waiting) {
            ++value.waiting;
        } else if (tracked.state != request_state::finished) {
            ++value.running;
        }
    }
    return value;
}

void engine::record_load(time_point now)
{
    m_load_history.emplace_back(now, load());
    // Keeps the newest entry that is old enough to be reported; older ones are never read again.
    while (m_load_history.size() > 1 && m_load_history[1].first <= now - m_options.report_lag) {
        m_load_history.pop_front();
    }
}

engine_load engine::reported_load(time_point now) const
{
    engine_load value;
    for (const auto& [at, past_load] : m_load_history) {
        if (at <= now - m_options.report_lag) {
            value = past_load;
        }
    }
    return value;
}

const tracked_request* engine::find(const std::string& id) const
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

std::vector<engine_event> engine::take_events()
{
    return std::exchange(m_events, {});
}

void engine::emit(engine_event_kind kind, time_point now, const std::string& id, std::uint64_t tokens,
                  const std::string& reason)
{
    m_events.push_back(engine_event{kind, now, id, reason, tokens});
}

} // namespace verbena::standin
