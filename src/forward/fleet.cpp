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

// Fraction of the slots of an endpoint that the schedulers of other failure domains leave free.
constexpr double other_domain_slot_reserve = 0.3;

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

// The same for a request that waits for others in the queue to go first.
constexpr milliseconds line_wait{10};

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
    prompt.loss_per_ms = policy::loss_per_ms(request.model);
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
      m_on_note(std::move(on_note)), m_random(self)
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

// What an endpoint has answered to this entry holds whatever other entries or control members say of it.
bool fleet::is_blocked(const endpoint_state& state, time_point now) const
{
    return state.announced_leaving || now < state.retry_after;
}

// The limit holds for the sum over all entries, so an entry that does not know the others' dispatches sends
// nothing to a cold endpoint.
bool fleet::at_cold_limit(endpoint_state& state, const dispatch_request& request, time_point now) const
{
    const route::service_rule& service = *request.service;
    if (now >= state.cold_until || service.cold_rate <= 0) {
        return false;
    }
    if (request.alone) {
        return true;
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
// not leave a service without any. The same holds for endpoints of failure domains whose load is not known.
std::vector<fleet::endpoint_state*> fleet::eligible_endpoints(const dispatch_request& request, time_point now)
{
    std::vector<endpoint_state*> reachable;
    std::vector<endpoint_state*> unknown_load;
    std::vector<endpoint_state*> backing_off;
    for (auto& [name, state] : m_endpoints) {
        if (state.info.service != request.service->name || request.excluded.contains(name) ||
            !accepts_work(state, now) || is_blocked(state, now) || state.superseded ||
            at_cold_limit(state, request, now)) {
            continue;
        }
        const std::string& domain = state.info.failure_domain;
        if (now < state.backoff_until) {
            backing_off.push_back(&state);
        } else if (m_unknown_domains.contains(domain)) {
            unknown_load.push_back(&state);
        } else {
            reachable.push_back(&state);
        }
    }
    std::vector<endpoint_state*>& found =
        !reachable.empty() ? reachable : (!unknown_load.empty() ? unknown_load : backing_off);
    // Many entries that choose alone at the same time must not all choose the same endpoint.
    if (!found.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_random() % found.size());
        std::rotate(found.begin(), found.begin() + first, found.end());
    }
    return found;
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
        if (request.service->engine) {
            m_engines[request.service->name] = *request.service->engine;
        }
        outcome = request.service->engine ? dispatch_model(request, found, now)
                                          : dispatch_plain(request, found, now);
        if (outcome.choice) {
            const policy::work_key key =
                request.key.value_or(policy::work_key{m_self, outcome.choice->number});
            notes = notes_to_publish(key, m_dispatches[key]);
        }
    }
    publish(notes);
    return outcome;
}

dispatch_result fleet::dispatch_model(const dispatch_request& request,
                                      const std::vector<endpoint_state*>& found, time_point now)
{
    const policy::engine_cost cost(*request.service->engine);
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(found.size());
    std::size_t idle = 0;
    for (const endpoint_state* state : found) {
        policy::placement_candidate candidate;
        candidate.load = &state->load;
        candidate.slowdown = slowdown_of(*state, now);
        candidate.failure_share = failure_rate_of(*state, now);
        candidate.other_domain = state->info.failure_domain != m_own_domain;
        candidate.slots = state->info.slots;
        if (candidate.other_domain) {
            // Several schedulers may choose the same endpoint before they hear of each other's choice.
            candidate.slots -= static_cast<std::uint32_t>(candidate.slots * other_domain_slot_reserve);
        }
        candidate.accepts_prefill_parts =
            state->load.parts() < state->info.slots && candidate.failure_share < 0.2;
        candidates.push_back(candidate);
        const bool is_idle = state->load.backlog_ms(now) <= policy::placement_options{}.idle_backlog_ms;
        idle += is_idle && candidate.accepts_prefill_parts ? 1 : 0;
    }
    dispatch_result outcome;
    const std::size_t reserved = m_waiting.empty() ? 0 : parts_before(request, found.size(), now);
    if (request.wait && request.may_wait && reserved >= idle) {
        outcome.wait = line_wait;
        return outcome;
    }
    policy::model_request model = request.model;
    // Several prompts go in parallel, so one that waits delays only its share of the others.
    const double parallel = static_cast<double>(found.size()) * shared_prefill_fraction /
                            static_cast<double>(policy::placement_options{}.max_parts);
    model.queue_loss_per_ms = queue_loss_per_ms(request, now) / std::max(parallel, 1.0);
    const auto placed = policy::place(model, cost, candidates, now);
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
    if (shared && (placed->wait_ms > 0 || (reserved != 0 && reserved + parts.size() > idle))) {
        outcome.wait =
            placed->wait_ms > 0 ? std::clamp(to_ms(placed->wait_ms), min_wait, max_wait) : line_wait;
        return outcome;
    }
    record_dispatch(choice, request, parts, now);
    outcome.choice = std::move(choice);
    return outcome;
}

std::size_t fleet::parts_before(const dispatch_request& request, std::size_t endpoints, time_point now) const
{
    const policy::work_key own_key = request.wait.value_or(policy::work_key{m_self, 0});
    std::vector<policy::waiting_prompt> waiting{to_waiting_prompt(request, own_key, now)};
    for (const auto& [key, other] : m_waiting) {
        if (key != own_key && other.service == request.service->name) {
            waiting.push_back(other.prompt);
        }
    }
    const double prefill_capacity = static_cast<double>(endpoints) * shared_prefill_fraction;
    return policy::parts_before(waiting, own_key, prefill_capacity, 0, now);
}

double fleet::queue_loss_per_ms(const dispatch_request& request, time_point now) const
{
    double loss = 0;
    for (const auto& [key, other] : m_waiting) {
        const bool behind = key != request.wait && other.service == request.service->name;
        loss += behind && other.prompt.due > now ? other.prompt.loss_per_ms : 0;
    }
    return loss;
}

std::uint64_t fleet::next_number()
{
    const std::lock_guard lock(m_mutex);
    return m_next_number++;
}

policy::work_key fleet::begin_wait(const dispatch_request& request, time_point now)
{
    wire::dispatch_noteT note;
    policy::work_key key;
    {
        const std::lock_guard lock(m_mutex);
        key = request.key.value_or(policy::work_key{m_self, 0});
        if (!request.key) {
            key.number = m_next_number++;
        }
        const policy::waiting_prompt prompt = to_waiting_prompt(request, key, now);
        m_waiting[key] = {key.entry, request.service->name, prompt};
        note.endpoint = request.service->name;
        note.first_event_ms = to_u32(prompt.due - now);
        note.read_us = static_cast<std::uint32_t>(prompt.prefill_ms * 1000);
        note.value = static_cast<float>(prompt.value);
        note.objective_ms = to_u32(request.model.objective);
        note.phase = phase_waiting;
        note = to_published(key, std::move(note));
    }
    m_on_note(std::move(note));
    return key;
}

void fleet::end_wait(const policy::work_key& key)
{
    wire::dispatch_noteT note;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.erase(key) == 0) {
            return;
        }
        note.phase = phase_ended;
        note = to_published(key, std::move(note));
    }
    m_on_note(std::move(note));
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
    const policy::work_key key = request.key.value_or(policy::work_key{m_self, m_next_number});
    m_next_number += request.key ? 0 : 1;
    choice.number = key.number;
    m_waiting.erase(key);
    dispatch_record& record = m_dispatches[key];
    record = dispatch_record{};
    record.reporter = key.entry;
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
        parts[i]->load.start(key, to_work(note, now), slowdown_of(*parts[i], now), now);
        if (i == 0) {
            parts[i]->recent_dispatches.push_back(now);
        }
        record.notes.push_back(std::move(note));
    }
}

std::optional<dispatch_choice> fleet::adopt(std::uint64_t number,
                                            const std::vector<std::unique_ptr<wire::dispatch_noteT>>& notes,
                                            std::string& rejected, time_point now)
{
    dispatch_choice choice;
    choice.number = number;
    const policy::work_key key{m_self, number};
    const std::lock_guard lock(m_mutex);
    for (const auto& note : notes) {
        const auto found = m_endpoints.find(note->endpoint);
        if (found == m_endpoints.end() || !accepts_work(found->second, now) ||
            is_blocked(found->second, now)) {
            rejected = note->endpoint;
            return std::nullopt;
        }
        const std::uint64_t reserved = note->reads_for_other ? note->held_tokens : 0;
        choice.endpoints.push_back({note->endpoint, found->second.address, reserved});
    }
    if (choice.endpoints.empty()) {
        return std::nullopt;
    }
    for (const auto& note : notes) {
        start_part(key, m_self, *note, now);
    }
    return choice;
}

std::vector<wire::dispatch_noteT> fleet::notes_of(const policy::work_key& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_dispatches.find(key);
    return found == m_dispatches.end() ? note_list{} : found->second.notes;
}

// A dispatch is direct if it is this entry's own or was reported by the entry that has sent it. Only direct
// dispatches are reported further, so that no report goes round between schedulers.
bool fleet::is_direct(const policy::work_key& key, incarnation reporter) const
{
    return key.entry == m_self || key.entry == reporter;
}

wire::dispatch_noteT fleet::to_published(const policy::work_key& key, wire::dispatch_noteT note) const
{
    note.number = key.number;
    note.entry = key.entry == m_self ? 0 : key.entry;
    return note;
}

fleet::note_list fleet::notes_to_publish(const policy::work_key& key, const dispatch_record& record) const
{
    note_list notes;
    for (const wire::dispatch_noteT& note : record.notes) {
        notes.push_back(to_published(key, note));
        notes.back().phase = record.phase;
    }
    return notes;
}

void fleet::start_part(const policy::work_key& key, incarnation reporter, const wire::dispatch_noteT& note,
                       time_point now)
{
    m_waiting.erase(key);
    dispatch_record& record = m_dispatches[key];
    record.reporter = reporter;
    const bool known = std::any_of(record.notes.begin(), record.notes.end(),
                                   [&note](const auto& item) { return item.endpoint == note.endpoint; });
    if (known) {
        return;
    }
    record.notes.push_back(note);
    record.notes.back().phase = phase_started;
    const auto found = m_endpoints.find(note.endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    const double slowdown = slowdown_of(found->second, now);
    found->second.load.start(key, to_work(note, now), slowdown, now);
    if (record.phase == phase_answering) {
        found->second.load.first_event(key, slowdown, now);
    }
    if (!note.reads_for_other && note.phase == phase_started) {
        found->second.recent_dispatches.push_back(now);
    }
}

void fleet::advance_phase(const policy::work_key& key, const wire::dispatch_noteT& note, time_point now)
{
    const auto found = m_dispatches.find(key);
    if (found == m_dispatches.end() || found->second.phase >= note.phase) {
        return;
    }
    dispatch_record& record = found->second;
    record.phase = note.phase;
    if (note.phase == phase_ended) {
        apply_report(record, note, now);
    }
    for (const wire::dispatch_noteT& part : record.notes) {
        const auto endpoint = m_endpoints.find(part.endpoint);
        if (endpoint == m_endpoints.end()) {
            continue;
        }
        endpoint_state& state = endpoint->second;
        if (note.phase == phase_ended) {
            state.load.end(key, slowdown_of(state, now), now);
        } else {
            state.load.first_event(key, slowdown_of(state, now), now);
        }
    }
    if (note.phase == phase_ended) {
        m_dispatches.erase(found);
    }
}

void fleet::apply_report(const dispatch_record& record, const wire::dispatch_noteT& note, time_point now)
{
    for (const std::string& name : note.unreachable) {
        const auto found = m_endpoints.find(name);
        if (found != m_endpoints.end()) {
            apply_health(found->second, attempt_health::unreachable, now);
        }
    }
    const auto found =
        record.notes.empty() ? m_endpoints.end() : m_endpoints.find(record.notes.front().endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    if (note.health <= static_cast<std::uint8_t>(attempt_health::misdirected)) {
        apply_health(found->second, static_cast<attempt_health>(note.health), now);
    }
    found->second.announced_leaving = found->second.announced_leaving || note.leaving;
    apply_interval(found->second, std::chrono::microseconds(note.interval_us), now);
}

void fleet::update_own_phase(std::uint64_t number, wire::dispatch_noteT note, time_point now)
{
    {
        const std::lock_guard lock(m_mutex);
        const policy::work_key key{m_self, number};
        const auto found = m_dispatches.find(key);
        if (found == m_dispatches.end() || found->second.phase >= note.phase) {
            return;
        }
        advance_phase(key, note, now);
        note.number = number;
    }
    m_on_note(std::move(note));
}

void fleet::record_first_event(std::uint64_t number, time_point now)
{
    wire::dispatch_noteT note;
    note.phase = phase_answering;
    update_own_phase(number, std::move(note), now);
}

void fleet::record_end(std::uint64_t number, time_point now, const attempt_report& report)
{
    wire::dispatch_noteT note;
    note.phase = phase_ended;
    note.health = static_cast<std::uint8_t>(report.health);
    note.interval_us = static_cast<std::uint32_t>(report.interval.count());
    note.unreachable = report.unreachable;
    note.leaving = report.leaving;
    update_own_phase(number, std::move(note), now);
}

void fleet::publish(const note_list& notes)
{
    for (const wire::dispatch_noteT& note : notes) {
        m_on_note(note);
    }
}

void fleet::apply_note(incarnation reporter, const wire::dispatch_noteT& note, time_point now)
{
    const policy::work_key key{note.entry == 0 ? reporter : note.entry, note.number};
    if (key.entry == m_self || note.phase > phase_waiting) {
        return;
    }
    if (note.phase == phase_waiting) {
        policy::model_request model;
        model.objective = milliseconds(note.objective_ms);
        model.used = model.objective - milliseconds(note.first_event_ms);
        model.value = note.value;
        const time_point due = now + milliseconds(note.first_event_ms);
        m_waiting[key] = {reporter,
                          note.endpoint,
                          {key, due, note.read_us / 1000.0, note.value, policy::loss_per_ms(model)}};
        return;
    }
    if (!note.endpoint.empty() && note.phase != phase_ended) {
        start_part(key, reporter, note, now);
    }
    const auto waiting = m_waiting.find(key);
    if (waiting != m_waiting.end() && waiting->second.reporter == reporter) {
        m_waiting.erase(waiting);
    }
    const auto found = m_dispatches.find(key);
    // After a move to another scheduler, the former one may report an end that is not one.
    if (found != m_dispatches.end() && found->second.reporter == reporter && note.phase != phase_started) {
        advance_phase(key, note, now);
    }
}

void fleet::apply_notes(const wire::load_notesT& notes, time_point now)
{
    note_list published;
    {
        const std::lock_guard lock(m_mutex);
        if (notes.whole) {
            published = remove_reporter(notes.incarnation, now);
        }
        for (const auto& note : notes.notes) {
            apply_note(notes.incarnation, *note, now);
            const policy::work_key key{note->entry == 0 ? notes.incarnation : note->entry, note->number};
            if (key.entry == notes.incarnation && key.entry != m_self) {
                published.push_back(to_published(key, *note));
            }
        }
    }
    publish(published);
}

// Returns the notes that end the removed work at the schedulers to which it was reported further.
fleet::note_list fleet::remove_reporter(incarnation reporter, time_point now)
{
    note_list ended;
    std::vector<policy::work_key> removed;
    for (const auto& [key, record] : m_dispatches) {
        if (record.reporter == reporter) {
            removed.push_back(key);
        }
    }
    wire::dispatch_noteT end;
    end.phase = phase_ended;
    for (const policy::work_key& key : removed) {
        advance_phase(key, end, now);
        if (is_direct(key, reporter)) {
            ended.push_back(to_published(key, end));
        }
    }
    for (auto item = m_waiting.begin(); item != m_waiting.end();) {
        if (item->second.reporter != reporter) {
            ++item;
            continue;
        }
        if (is_direct(item->first, reporter)) {
            ended.push_back(to_published(item->first, end));
        }
        item = m_waiting.erase(item);
    }
    return ended;
}

void fleet::remove_entry(incarnation entry, time_point now)
{
    note_list ended;
    {
        const std::lock_guard lock(m_mutex);
        ended = remove_reporter(entry, now);
    }
    publish(ended);
}

std::vector<wire::dispatch_noteT> fleet::own_notes() const
{
    const std::lock_guard lock(m_mutex);
    note_list notes;
    for (const auto& [key, record] : m_dispatches) {
        if (is_direct(key, record.reporter)) {
            const note_list found = notes_to_publish(key, record);
            notes.insert(notes.end(), found.begin(), found.end());
        }
    }
    return notes;
}

void fleet::record_health(const std::string& endpoint, attempt_health health, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        apply_health(found->second, health, now);
    }
}

void fleet::apply_health(endpoint_state& state, attempt_health health, time_point now)
{
    if (health == attempt_health::neutral) {
        return;
    }
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

void fleet::record_leaving(const std::string& endpoint)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.announced_leaving = true;
    }
}

void fleet::record_retry_after(const std::string& endpoint, milliseconds time, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.retry_after = std::max(found->second.retry_after, now + time);
    }
}

std::set<std::string> fleet::blocked(const std::string& service, time_point now) const
{
    std::set<std::string> names;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, state] : m_endpoints) {
        if (state.info.service == service && is_blocked(state, now)) {
            names.insert(name);
        }
    }
    return names;
}

void fleet::set_unknown_domains(std::set<std::string> domains)
{
    const std::lock_guard lock(m_mutex);
    m_unknown_domains = std::move(domains);
}

// Derives an endpoint's slowdown from the measured and the predicted time between events of an answer.
void fleet::apply_interval(endpoint_state& state, std::chrono::microseconds interval, time_point now)
{
    const auto engine = m_engines.find(state.info.service);
    if (interval <= std::chrono::microseconds::zero() || engine == m_engines.end()) {
        return;
    }
    const double predicted_ms =
        policy::engine_cost(engine->second)
            .event_interval_ms(state.load.decoding_requests(), state.load.context_tokens());
    if (predicted_ms <= 0) {
        return;
    }
    const double measured = static_cast<double>(interval.count()) / 1000 / predicted_ms;
    const double previous = slowdown_of(state, now);
    state.slowdown = previous + (std::clamp(measured, 1.0, max_slowdown) - previous) * slowdown_weight;
    state.slowdown_updated = now;
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
