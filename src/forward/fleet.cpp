#include "forward/fleet.h"

#include <algorithm>
#include <cmath>

namespace verbena::forward {

namespace {

// An endpoint that no control member lists stays in use for this long. Control members that have just started
// list nothing until the next announcements, and calls to an endpoint that has really gone fail fast and do
// no harm.
constexpr milliseconds unlisted_grace{5'000};

// Backoff after a connection was refused or timed out, doubled with each consecutive failure.
constexpr milliseconds initial_backoff{300};
constexpr milliseconds max_backoff{3'000};

// Weight of the newest answer in the moving average of the failure rate, and half-life of its decay to 0.
constexpr double failure_weight = 0.25;
constexpr double failure_half_life_s = 3;

// Weight of the newest measurement in an endpoint's slowdown, and half-life of its decay to 1.
constexpr double slowdown_weight = 0.5;
constexpr double slowdown_half_life_s = 4;
constexpr double max_slowdown = 16;

// Assumed duration of a request to a plain service, used to compare queue lengths.
constexpr double assumed_plain_request_ms = 40;

constexpr milliseconds cold_window{1'000};

// Fraction of the endpoints' time available to waiting prompts; short prompts and decoding requests use the
// rest.
constexpr double shared_prefill_fraction = 0.35;

constexpr std::uint8_t phase_started = 0;
constexpr std::uint8_t phase_answering = 1;
constexpr std::uint8_t phase_ended = 2;
constexpr std::uint8_t phase_waiting = 3;

// Bounds of the interval at which a waiting request retries its dispatch. A shorter interval gains nothing:
// the load notes of the other entries are a few milliseconds old.
constexpr milliseconds min_wait{4};
constexpr milliseconds max_wait{40};

double seconds(clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

milliseconds to_ms(double value)
{
    constexpr double longest = 1e9;
    return milliseconds(static_cast<std::int64_t>(std::min(value, longest)));
}

std::uint32_t to_u32(clock::duration value)
{
    const std::int64_t count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

policy::waiting_prompt to_waiting_prompt(const dispatch_request& request, const policy::work_key& key,
                                         time_point now)
{
    policy::waiting_prompt prompt;
    prompt.key = key;
    prompt.due = now + (request.model.objective - request.model.used);
    prompt.value = request.model.value;
    if (request.service->engine) {
        prompt.prefill_ms =
            policy::engine_cost(*request.service->engine).prefill_ms(request.model.prompt_tokens);
    }
    return prompt;
}

policy::endpoint_work to_work(const wire::dispatch_noteT& note, time_point now)
{
    policy::endpoint_work work;
    work.prefill_ms = note.read_us / 1000.0;
    work.context_tokens = note.share_tokens;
    work.held_tokens = note.held_tokens;
    work.prefill_only = note.reads_for_other;
    work.parts = note.parts;
    work.due = now + milliseconds(note.first_event_ms);
    work.objective = milliseconds(note.objective_ms);
    work.pause = milliseconds(note.pause_ms);
    work.value = note.value;
    return work;
}

} // namespace

const char* to_string(dispatch_refusal::reason value)
{
    switch (value) {
    case dispatch_refusal::reason::no_endpoint:
        return "no_endpoint";
    case dispatch_refusal::reason::too_late:
        return "too_late";
    case dispatch_refusal::reason::too_large:
        return "too_large";
    case dispatch_refusal::reason::too_harmful:
        return "too_harmful";
    }
    return "unknown";
}

bool dispatch_choice::has_reservation() const
{
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [](const chosen_endpoint& part) { return part.reserved_tokens != 0; });
}

fleet::fleet(incarnation self, std::string own_domain, double cold_fraction, note_listener on_note)
    : m_self(self), m_own_domain(std::move(own_domain)), m_cold_fraction(cold_fraction),
      m_on_note(std::move(on_note))
{
}

void fleet::on_endpoint(const std::string& name, const wire::announcementT* value)
{
    const time_point now = clock::now();
    const std::lock_guard lock(m_mutex);
    if (value == nullptr) {
        const auto found = m_endpoints.find(name);
        if (found != m_endpoints.end() && found->second.listed) {
            found->second.listed = false;
            found->second.unlisted_since = now;
        }
        std::erase_if(m_endpoints, [now](const auto& item) {
            return !item.second.listed && now - item.second.unlisted_since > unlisted_grace &&
                   item.second.load.requests() == 0;
        });
        return;
    }
    const result<host_port> address = parse_host_port(value->address);
    endpoint_state& state = m_endpoints[name];
    if (value->born_ms != state.info.born_ms || value->address != state.info.address) {
        // A restarted endpoint has lost all work dispatched to its previous incarnation.
        state = endpoint_state{};
    }
    state.info = *value;
    state.listed = true;
    state.cold_until = now + milliseconds(value->cold_ms);
    if (address) {
        state.address = address.value();
    }
    state.misdirected = false;
    mark_superseded();
}

// When several endpoints announce the same address, only the one started last is reachable there.
void fleet::mark_superseded()
{
    std::map<std::string_view, std::uint64_t> newest;
    for (const auto& [name, state] : m_endpoints) {
        std::uint64_t& born = newest[state.info.address];
        born = std::max(born, state.info.born_ms);
    }
    for (auto& [name, state] : m_endpoints) {
        state.superseded = newest[state.info.address] != state.info.born_ms;
    }
}

void fleet::set_domains_out(std::set<std::string> domains)
{
    const std::lock_guard lock(m_mutex);
    m_domains_out = std::move(domains);
}

bool fleet::accepts_work(const endpoint_state& state, time_point now) const
{
    const bool listed = state.listed || now - state.unlisted_since < unlisted_grace;
    return listed && !state.info.leaving && !state.info.gone && !state.misdirected &&
           state.address.port != 0 && !m_domains_out.contains(state.info.failure_domain);
}

bool fleet::is_usable(const std::string& endpoint, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && accepts_work(found->second, now);
}

bool fleet::at_cold_limit(endpoint_state& state, const route::service_rule& service, time_point now) const
{
    if (now >= state.cold_until || service.cold_rate <= 0) {
        return false;
    }
    while (!state.recent_dispatches.empty() && now - state.recent_dispatches.front() > cold_window) {
        state.recent_dispatches.pop_front();
    }
    return static_cast<double>(state.recent_dispatches.size()) + 1 > service.cold_rate * m_cold_fraction;
}

double fleet::slowdown_of(const endpoint_state& state, time_point now) const
{
    const double remaining = std::exp2(-seconds(now - state.slowdown_updated) / slowdown_half_life_s);
    return 1 + (state.slowdown - 1) * remaining;
}

double fleet::failure_rate_of(const endpoint_state& state, time_point now) const
{
    return state.failure_rate * std::exp2(-seconds(now - state.failure_rate_updated) / failure_half_life_s);
}

// Endpoints in backoff are returned only when there are no others, so that an outage of many endpoints does
// not leave a service without any.
std::vector<fleet::endpoint_state*> fleet::eligible_endpoints(const dispatch_request& request, time_point now)
{
    std::vector<endpoint_state*> reachable;
    std::vector<endpoint_state*> backing_off;
    for (auto& [name, state] : m_endpoints) {
        if (state.info.service != request.service->name || request.excluded.contains(name) ||
            !accepts_work(state, now) || state.superseded || at_cold_limit(state, *request.service, now)) {
            continue;
        }
        (now < state.backoff_until ? backing_off : reachable).push_back(&state);
    }
    return reachable.empty() ? backing_off : reachable;
}

dispatch_result fleet::dispatch(const dispatch_request& request, time_point now)
{
    dispatch_result outcome;
    std::vector<wire::dispatch_noteT> notes;
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<endpoint_state*> found = eligible_endpoints(request, now);
        if (found.empty()) {
            return outcome;
        }
        outcome = request.service->engine ? dispatch_model(request, found, now)
                                          : dispatch_plain(request, found, now);
        if (outcome.choice) {
            notes = m_own_dispatches[outcome.choice->number].notes;
        }
    }
    publish_notes(notes);
    return outcome;
}

dispatch_result fleet::dispatch_model(const dispatch_request& request,
                                      const std::vector<endpoint_state*>& found, time_point now)
{
    const policy::engine_cost cost(*request.service->engine);
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(found.size());
    for (const endpoint_state* state : found) {
        policy::placement_candidate candidate;
        candidate.load = &state->load;
        candidate.slowdown = slowdown_of(*state, now);
        candidate.failure_share = failure_rate_of(*state, now);
        candidate.other_domain = state->info.failure_domain != m_own_domain;
        candidate.slots = state->info.slots;
        candidate.accepts_prefill_parts =
            state->load.parts() < state->info.slots && candidate.failure_share < 0.2;
        candidates.push_back(candidate);
    }
    const auto placed = policy::place(request.model, cost, candidates, now);
    dispatch_result outcome;
    // Decoding requests end and free their memory, so a request that cannot be placed well now often can
    // soon.
    const bool harmful =
        placed && !request.answer_started && placed->loss_to_others > policy::value_left(request.model);
    if (!placed || harmful) {
        outcome.refusal.why =
            harmful ? dispatch_refusal::reason::too_harmful : dispatch_refusal::reason::too_large;
        const std::uint64_t needed = std::uint64_t{request.model.prompt_tokens} + request.model.output_tokens;
        const bool possible = needed <= cost.rule().memory_tokens * candidates.size();
        outcome.wait = possible && request.may_wait ? max_wait : milliseconds::zero();
        return outcome;
    }
    const milliseconds predicted = to_ms(placed->first_event_ms);
    const bool after_disconnect =
        request.model.disconnect_after > milliseconds::zero() && predicted > request.model.disconnect_after;
    if (after_disconnect || predicted > request.time_left) {
        outcome.refusal = {dispatch_refusal::reason::too_late, predicted};
        return outcome;
    }
    dispatch_choice choice;
    choice.predicted_first_event = predicted;
    std::vector<endpoint_state*> parts;
    for (std::size_t i = 0; i < placed->parts.size(); ++i) {
        endpoint_state* state = found[placed->parts[i]];
        parts.push_back(state);
        choice.endpoints.push_back({state->info.endpoint, state->address, placed->reserved_tokens[i]});
    }
    const bool shared = placed->parts.size() > 1;
    if (shared &&
        (placed->wait_ms > 0 || !is_next_to_prefill(request, candidates.size(), placed->wait_ms, now))) {
        outcome.wait = std::clamp(to_ms(placed->wait_ms), min_wait, max_wait);
        return outcome;
    }
    record_dispatch(choice, request, parts, now);
    outcome.choice = std::move(choice);
    return outcome;
}

bool fleet::is_next_to_prefill(const dispatch_request& request, std::size_t endpoints, double first_free_ms,
                               time_point now) const
{
    const policy::work_key own_key{m_self, request.wait_number};
    std::vector<policy::waiting_prompt> waiting{to_waiting_prompt(request, own_key, now)};
    for (const auto& [key, other] : m_waiting) {
        if (key != own_key && other.service == request.service->name) {
            waiting.push_back(other.prompt);
        }
    }
    const double prefill_capacity = static_cast<double>(endpoints) * shared_prefill_fraction;
    return policy::serving_order(std::move(waiting), prefill_capacity, first_free_ms, now).front() == own_key;
}

std::uint64_t fleet::begin_wait(const dispatch_request& request, time_point now)
{
    wire::dispatch_noteT note;
    {
        const std::lock_guard lock(m_mutex);
        const policy::work_key key{m_self, m_next_number++};
        const policy::waiting_prompt prompt = to_waiting_prompt(request, key, now);
        m_waiting[key] = {request.service->name, prompt};
        note.number = key.number;
        note.endpoint = request.service->name;
        note.first_event_ms = to_u32(prompt.due - now);
        note.read_us = static_cast<std::uint32_t>(prompt.prefill_ms * 1000);
        note.value = static_cast<float>(prompt.value);
        note.phase = phase_waiting;
    }
    m_on_note(note);
    return note.number;
}

void fleet::end_wait(std::uint64_t number)
{
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.erase({m_self, number});
    }
    wire::dispatch_noteT note;
    note.number = number;
    note.phase = phase_ended;
    m_on_note(note);
}

dispatch_result fleet::dispatch_plain(const dispatch_request& request,
                                      const std::vector<endpoint_state*>& found, time_point now)
{
    endpoint_state* best = nullptr;
    double best_cost = 0;
    for (endpoint_state* state : found) {
        const auto slots = std::max<double>(state->info.slots, 1);
        const auto requests = static_cast<double>(state->load.requests());
        double cost = assumed_plain_request_ms * (1 + std::max(0.0, requests - slots + 1) / slots) *
                      slowdown_of(*state, now);
        cost += assumed_plain_request_ms * (requests / slots + 10 * failure_rate_of(*state, now));
        cost += state->info.failure_domain == m_own_domain ? 0 : assumed_plain_request_ms / 8;
        if (best == nullptr || cost < best_cost) {
            best = state;
            best_cost = cost;
        }
    }
    dispatch_choice choice;
    choice.predicted_first_event = to_ms(best_cost);
    choice.endpoints.push_back({best->info.endpoint, best->address, 0});
    record_dispatch(choice, request, {best}, now);
    dispatch_result outcome;
    outcome.choice = std::move(choice);
    return outcome;
}

void fleet::record_dispatch(dispatch_choice& choice, const dispatch_request& request,
                            const std::vector<endpoint_state*>& parts, time_point now)
{
    choice.number = m_next_number++;
    own_dispatch& own = m_own_dispatches[choice.number];
    std::uint64_t reserved = 0;
    for (const chosen_endpoint& endpoint : choice.endpoints) {
        reserved += endpoint.reserved_tokens;
    }
    const std::uint64_t needed = std::uint64_t{request.model.prompt_tokens} + request.model.output_tokens;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        wire::dispatch_noteT note;
        note.number = choice.number;
        note.endpoint = choice.endpoints[i].name;
        note.reads_for_other = i != 0;
        note.parts = static_cast<std::uint32_t>(parts.size());
        note.share_tokens = static_cast<std::uint32_t>(request.model.prompt_tokens / parts.size());
        const std::uint64_t held =
            i != 0 ? choice.endpoints[i].reserved_tokens : needed - std::min(needed, reserved);
        note.held_tokens = static_cast<std::uint32_t>(held);
        note.first_event_ms = to_u32(request.model.objective - request.model.used);
        note.objective_ms = to_u32(request.model.objective);
        note.pause_ms = static_cast<std::uint32_t>(request.model.pause.count());
        note.value = static_cast<float>(policy::value_left(request.model));
        if (request.service->engine) {
            const policy::engine_cost cost(*request.service->engine);
            note.read_us =
                static_cast<std::uint32_t>(cost.prefill_ms(request.model.prompt_tokens, parts.size()) * 1000);
        }
        parts[i]->load.start({m_self, choice.number}, to_work(note, now), slowdown_of(*parts[i], now), now);
        if (i == 0) {
            parts[i]->recent_dispatches.push_back(now);
        }
        own.notes.push_back(std::move(note));
    }
}

void fleet::advance_phase(std::uint64_t number, std::uint8_t phase, time_point now)
{
    std::vector<wire::dispatch_noteT> notes;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_own_dispatches.find(number);
        if (found == m_own_dispatches.end() || found->second.phase >= phase) {
            return;
        }
        found->second.phase = phase;
        for (wire::dispatch_noteT& note : found->second.notes) {
            note.phase = phase;
            apply_note(m_self, note, now);
        }
        notes = found->second.notes;
        if (phase == phase_ended) {
            m_own_dispatches.erase(found);
        }
    }
    publish_notes(notes);
}

void fleet::record_first_event(std::uint64_t number, time_point now)
{
    advance_phase(number, phase_answering, now);
}

void fleet::record_end(std::uint64_t number, time_point now)
{
    advance_phase(number, phase_ended, now);
}

void fleet::publish_notes(const std::vector<wire::dispatch_noteT>& notes)
{
    for (const wire::dispatch_noteT& note : notes) {
        m_on_note(note);
    }
}

void fleet::apply_note(incarnation entry, const wire::dispatch_noteT& note, time_point now)
{
    const policy::work_key key{entry, note.number};
    if (note.phase == phase_waiting) {
        m_waiting[key] = {note.endpoint,
                          {key, now + milliseconds(note.first_event_ms), note.read_us / 1000.0, note.value}};
        return;
    }
    m_waiting.erase(key);
    const auto found = m_endpoints.find(note.endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state& state = found->second;
    const double slowdown = slowdown_of(state, now);
    if (note.phase == phase_ended) {
        state.load.end(key, slowdown, now);
        return;
    }
    if (note.phase == phase_answering && entry == m_self) {
        state.load.first_event(key, slowdown, now);
        return;
    }
    if (entry != m_self && note.phase == phase_started) {
        state.load.start(key, to_work(note, now), slowdown, now);
        if (!note.reads_for_other) {
            state.recent_dispatches.push_back(now);
        }
        return;
    }
    state.load.first_event(key, slowdown, now);
}

void fleet::apply_notes(const wire::load_notesT& notes, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (notes.whole) {
        std::erase_if(m_waiting,
                      [&notes](const auto& item) { return item.first.entry == notes.incarnation; });
        for (auto& [name, state] : m_endpoints) {
            state.load.remove_entry(notes.incarnation, slowdown_of(state, now), now);
        }
    }
    for (const auto& note : notes.notes) {
        if (notes.whole && note->phase == phase_answering) {
            wire::dispatch_noteT started = *note;
            started.phase = phase_started;
            apply_note(notes.incarnation, started, now);
        }
        apply_note(notes.incarnation, *note, now);
    }
}

void fleet::remove_entry(incarnation entry, time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_waiting, [entry](const auto& item) { return item.first.entry == entry; });
    for (auto& [name, state] : m_endpoints) {
        state.load.remove_entry(entry, slowdown_of(state, now), now);
    }
}

std::vector<wire::dispatch_noteT> fleet::own_notes() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::dispatch_noteT> notes;
    for (const auto& [number, own] : m_own_dispatches) {
        notes.insert(notes.end(), own.notes.begin(), own.notes.end());
    }
    return notes;
}

void fleet::record_health(const std::string& endpoint, attempt_health health, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || health == attempt_health::neutral) {
        return;
    }
    endpoint_state& state = found->second;
    if (health == attempt_health::misdirected) {
        state.misdirected = true;
        return;
    }
    if (health == attempt_health::unreachable) {
        const auto backoff = initial_backoff * (1U << std::min(state.unreachable_count, 6U));
        state.backoff_until = now + std::min<milliseconds>(backoff, max_backoff);
        ++state.unreachable_count;
        return;
    }
    state.unreachable_count = 0;
    state.backoff_until = {};
    const double failed = health == attempt_health::failed ? 1 : 0;
    const double previous = failure_rate_of(state, now);
    state.failure_rate = previous + (failed - previous) * failure_weight;
    state.failure_rate_updated = now;
}

void fleet::record_slowdown(const std::string& endpoint, double slowdown, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state& state = found->second;
    const double previous = slowdown_of(state, now);
    state.slowdown = previous + (std::clamp(slowdown, 1.0, max_slowdown) - previous) * slowdown_weight;
    state.slowdown_updated = now;
}

double fleet::event_interval_ms(const std::string& endpoint, const route::engine_rule& engine) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return 0;
    }
    const policy::endpoint_load& load = found->second.load;
    return policy::engine_cost(engine).event_interval_ms(load.decoding_requests(), load.context_tokens());
}

std::string fleet::endpoint_at(const std::string& address) const
{
    const std::lock_guard lock(m_mutex);
    const endpoint_state* newest = nullptr;
    for (const auto& [name, state] : m_endpoints) {
        if (state.info.address == address &&
            (newest == nullptr || state.info.born_ms > newest->info.born_ms)) {
            newest = &state;
        }
    }
    return newest == nullptr ? std::string() : newest->info.endpoint;
}

milliseconds fleet::backlog(const std::string& endpoint, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? milliseconds::zero() : to_ms(found->second.load.backlog_ms(now));
}

std::size_t fleet::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_endpoints.size();
}

std::size_t fleet::usable_count(const std::string& service, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
            return item.second.info.service == service && accepts_work(item.second, now);
        }));
}

} // namespace verbena::forward
