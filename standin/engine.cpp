#include "standin/engine.h"

#include <algorithm>
#include <cmath>

namespace verbena::standin {

namespace {

// Incarnations stay below 2^53 so that every JSON reader keeps them exact.
constexpr std::uint64_t incarnation_mask = (std::uint64_t{1} << 53U) - 1;

bool runs_before(const held_request* left, const held_request* right)
{
    return std::pair(left->request.priority, left->order) < std::pair(right->request.priority, right->order);
}

std::vector<held_request*> in_state(std::map<std::string, held_request>& requests, request_state state)
{
    std::vector<held_request*> found;
    for (auto& [id, held] : requests) {
        if (held.state == state) {
            found.push_back(&held);
        }
    }
    std::sort(found.begin(), found.end(), runs_before);
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

const char* to_string(engine_fact fact)
{
    switch (fact) {
    case engine_fact::started:
        return "started";
    case engine_fact::progress:
        return "progress";
    case engine_fact::finished:
        return "finished";
    case engine_fact::cancelled:
        return "cancelled";
    case engine_fact::overload:
        return "overload";
    case engine_fact::cold:
        return "cold";
    case engine_fact::warm:
        return "warm";
    case engine_fact::peak_memory:
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
        return make_error(error_kind::conflict, "the request id is known", "use a new id for each attempt");
    }
    held_request held;
    held.order = ++m_order;
    held.prefill_left = request.prompt_tokens;
    held.request = std::move(request);
    const std::string id = held.request.id;
    m_requests.emplace(id, std::move(held));
    emit(engine_fact::started, now, id);
    const engine_load held_load = load();
    if (m_cold && now >= m_cold_enforced && held_load.running + held_load.waiting > m_options.cold_limit) {
        fall_over("cold", now);
    } else if (!m_step_end) {
        begin_step(now);
    }
    note_load(now);
    if (!m_requests.contains(id)) {
        return make_error(error_kind::unavailable, "the engine fell over", "send less");
    }
    return success();
}

bool engine::cancel(const std::string& id, time_point now)
{
    advance(now);
    const auto place = m_requests.find(id);
    if (place == m_requests.end()) {
        return false;
    }
    const bool open = place->second.state != request_state::finished;
    emit(open ? engine_fact::cancelled : engine_fact::progress, now, id, place->second.kv_tokens);
    release(place->second);
    m_requests.erase(place);
    note_load(now);
    return true;
}

void engine::advance(time_point now)
{
    while (m_step_end && *m_step_end <= now) {
        const time_point end = *m_step_end;
        m_step_end.reset();
        expire(end);
        finish_step(end);
        begin_step(end);
        note_load(end);
    }
    expire(now);
}

void engine::begin_step(time_point now)
{
    admit_waiting(now);
    const double prefill_tokens = share_prefill();
    const bool decoding = !in_state(m_requests, request_state::decode).empty();
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
    for (held_request* held : in_state(m_requests, request_state::waiting)) {
        if (running >= m_options.max_batch) {
            return;
        }
        ++running;
        held->state = request_state::prefill;
        hold_memory(*held, held->request.prompt_tokens);
    }
    if (m_used > m_options.capacity_tokens) {
        fall_over("memory", now);
    }
}

double engine::share_prefill()
{
    double budget = m_options.chunk_tokens;
    auto group = in_state(m_requests, request_state::prefill);
    // A small remainder first, so that its unused share goes to the others of the same priority.
    std::stable_sort(group.begin(), group.end(), [](const held_request* left, const held_request* right) {
        return std::pair(left->request.priority, left->prefill_left) <
               std::pair(right->request.priority, right->prefill_left);
    });
    double used = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
        std::size_t same = 1;
        while (i + same < group.size() && group[i + same]->request.priority == group[i]->request.priority) {
            ++same;
        }
        group[i]->step_share = std::min(group[i]->prefill_left, budget / static_cast<double>(same));
        budget -= group[i]->step_share;
        used += group[i]->step_share;
    }
    return used;
}

void engine::finish_step(time_point now)
{
    std::vector<held_request*> batch = in_state(m_requests, request_state::decode);
    for (held_request* held : in_state(m_requests, request_state::prefill)) {
        held->prefill_left -= held->step_share;
        held->step_share = 0;
        if (held->prefill_left < 1e-6) {
            held->state = request_state::decode;
            batch.push_back(held);
        }
    }
    for (held_request* held : batch) {
        end_prefill_or_decode(*held, now);
    }
    if (m_used > m_options.capacity_tokens) {
        fall_over("memory", now);
    }
}

void engine::end_prefill_or_decode(held_request& held, time_point now)
{
    ++held.generated;
    hold_memory(held, 1);
    emit(engine_fact::progress, now, held.request.id, held.kv_tokens);
    if (held.generated >= held.request.max_tokens) {
        finish(held, now);
    }
}

void engine::finish(held_request& held, time_point now)
{
    held.state = request_state::finished;
    held.finished_at = now;
    emit(engine_fact::finished, now, held.request.id, held.kv_tokens);
    release(held);
    if (m_peak > m_peak_reported) {
        m_peak_reported = m_peak;
        emit(engine_fact::peak_memory, now, {}, m_peak);
    }
    if (m_cold && m_options.cold_requests > 0 && ++m_cold_finished >= m_options.cold_requests) {
        m_cold = false;
        emit(engine_fact::warm, now);
    }
}

void engine::fall_over(const std::string& reason, time_point now)
{
    emit(engine_fact::overload, now, {}, m_used, reason);
    m_requests.clear();
    m_step_end.reset();
    m_used = 0;
    m_incarnation = m_random() & incarnation_mask;
    start_cold(now, milliseconds(0));
}

void engine::turn_cold(time_point now)
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
    m_cold_enforced = now + grace;
    m_cold_finished = 0;
    emit(engine_fact::cold, now);
}

void engine::hold_memory(held_request& held, std::uint64_t tokens)
{
    held.kv_tokens += tokens;
    m_used += tokens;
    m_peak = std::max(m_peak, m_used);
}

void engine::release(held_request& held)
{
    m_used -= held.kv_tokens;
    held.kv_tokens = 0;
}

void engine::expire(time_point now)
{
    std::erase_if(m_requests, [&](const auto& item) {
        const held_request& held = item.second;
        return held.state == request_state::finished && now - held.finished_at >= m_options.keep_finished;
    });
    if (m_cold && m_options.cold_time.count() > 0 && now - m_cold_since >= m_options.cold_time) {
        m_cold = false;
        emit(engine_fact::warm, now);
    }
}

engine_load engine::load() const
{
    engine_load value;
    value.used_tokens = m_used;
    for (const auto& [id, held] : m_requests) {
        if (held.state == request_state::waiting) {
            ++value.waiting;
        } else if (held.state != request_state::finished) {
            ++value.running;
        }
    }
    return value;
}

void engine::note_load(time_point now)
{
    m_loads.emplace_back(now, load());
    // The newest entry that is old enough to be reported stays; older ones are never read again.
    while (m_loads.size() > 1 && m_loads[1].first <= now - m_options.report_lag) {
        m_loads.pop_front();
    }
}

engine_load engine::reported_load(time_point now) const
{
    engine_load value;
    for (const auto& [at, load_then] : m_loads) {
        if (at <= now - m_options.report_lag) {
            value = load_then;
        }
    }
    return value;
}

const held_request* engine::find(const std::string& id) const
{
    const auto place = m_requests.find(id);
    return place == m_requests.end() ? nullptr : &place->second;
}

std::vector<engine_event> engine::take_events()
{
    return std::exchange(m_events, {});
}

void engine::emit(engine_fact fact, time_point now, const std::string& id, std::uint64_t tokens,
                  const std::string& reason)
{
    m_events.push_back(engine_event{fact, now, id, reason, tokens});
}

} // namespace verbena::standin
