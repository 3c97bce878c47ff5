#include "forward/fleet.h"

#include "base/log.h"
#include "forward/fleet_detail.h"
#include "node/announcement_check.h"

#include <algorithm>
#include <cmath>

namespace verbena::forward {

using detail::to_waiting_prompt;

namespace {

// An endpoint that no control member lists stays in use for this long. Control members that have just started
// list nothing until the next announcements, and calls to an endpoint that has really gone fail fast and do
// no harm.
constexpr milliseconds unlisted_grace{5'000};

// Assumed duration of a request to a plain service, used to compare queue lengths.
constexpr double assumed_plain_request_ms = 40;

constexpr milliseconds cold_window{1'000};

// Fraction of the endpoints' time available to waiting prompts; short prompts and decoding requests use the
// rest.
constexpr double shared_prefill_fraction = 0.35;

// Bounds of the interval at which a waiting request retries its dispatch. A shorter interval gains nothing:
// the load notes of the other entries are a few milliseconds old.
constexpr milliseconds min_wait{4};
constexpr milliseconds max_wait{40};

// The same for a request that waits for others in the queue to go first.
constexpr milliseconds line_wait{10};

// The same for a request that waits until another request with its suspect prompt part has been tried, or
// until the other entries have told which parts are suspect.
constexpr milliseconds trial_wait{20};

// The same for a request that waits for the list of endpoints to be complete.
constexpr milliseconds list_wait{50};

milliseconds to_ms(double value)
{
    constexpr double longest = 1e9;
    return milliseconds(static_cast<std::int64_t>(std::min(value, longest)));
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
    case dispatch_refusal::reason::crashing_prompt:
        return "crashing_prompt";
    case dispatch_refusal::reason::rate_limited:
        return "rate_limited";
    case dispatch_refusal::reason::no_slot:
        return "no_slot";
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
      m_on_note(std::move(on_note)), m_suspects(self), m_random(self)
{
}

void fleet::on_endpoint(const std::string& name, const wire::announcementT* value)
{
    const time_point now = clock::now();
    if (value != nullptr) {
        const result<void> usable = node::check_announcement(*value, std::chrono::system_clock::now());
        if (!usable) {
            log::warn("an announcement is skipped: " + describe(usable.error()));
            return;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_set_aside.erase(name);
    if (value != nullptr && displaces_named_service(*value, now)) {
        m_set_aside[name] = *value;
        log::warn("an announcement of endpoint " + name + " is set aside: no configuration names service " +
                  value->service + "; publish the service or stop the process that announces it");
        return;
    }
    if (value != nullptr) {
        store(*value, now);
        return;
    }
    const auto found = m_endpoints.find(name);
    if (found != m_endpoints.end() && found->second.listed) {
        found->second.listed = false;
        found->second.unlisted_since = now;
        update_superseded(found->second.info.address);
    }
    remove_expired(now);
}

void fleet::store(const wire::announcementT& value, time_point now)
{
    const result<host_port> address = parse_host_port(value.address);
    endpoint_state& state = m_endpoints[value.endpoint];
    const std::string previous_address = state.info.address;
    if (value.born_ms != state.info.born_ms || value.address != previous_address) {
        // A restarted endpoint has lost all work dispatched to its previous incarnation.
        state = endpoint_state{};
    }
    state.info = value;
    state.listed = true;
    m_domain_sizes.clear();
    state.cold_until = now + milliseconds(value.cold_ms);
    if (address) {
        state.address = address.value();
    }
    state.misdirected = false;
    if (value.address != previous_address) {
        const auto previous = m_names_by_address.find(previous_address);
        if (previous != m_names_by_address.end()) {
            previous->second.erase(value.endpoint);
            update_superseded(previous_address);
        }
    }
    m_names_by_address[value.address].insert(value.endpoint);
    update_superseded(value.address);
    apply_kept_limit(value.endpoint, now);
}

void fleet::remove_expired(time_point now)
{
    for (auto item = m_endpoints.begin(); item != m_endpoints.end();) {
        const endpoint_state& state = item->second;
        if (is_listed(state, now) || state.load.requests() != 0) {
            ++item;
            continue;
        }
        const std::string address = state.info.address;
        if (state.limit.rate()) {
            keep_limit({item->first, state.info.born_ms, state.limit.statement()});
        }
        m_names_by_address[address].erase(item->first);
        item = m_endpoints.erase(item);
        m_domain_sizes.clear();
        update_superseded(address);
    }
}

void fleet::set_services(std::set<std::string> services)
{
    const time_point now = clock::now();
    const std::lock_guard lock(m_mutex);
    m_services = std::move(services);
    for (auto item = m_set_aside.begin(); item != m_set_aside.end();) {
        const auto next = std::next(item);
        if (!displaces_named_service(item->second, now)) {
            const wire::announcementT value = std::move(item->second);
            m_set_aside.erase(item);
            store(value, now);
        }
        item = next;
    }
    for (auto item = m_names_by_address.begin(); item != m_names_by_address.end();) {
        const std::string address = (item++)->first;
        update_superseded(address);
    }
}

bool fleet::is_named(const std::string& service) const
{
    return !m_services || m_services->contains(service);
}

// The configuration is what decides which service gets work, so an announcement of a service that it does not
// name is no reason to give up an endpoint that it needs. The end of an endpoint holds in any case.
bool fleet::displaces_named_service(const wire::announcementT& value, time_point now) const
{
    const auto found = m_endpoints.find(value.endpoint);
    return found != m_endpoints.end() && !value.gone && !is_named(value.service) &&
           is_named(found->second.info.service) && !found->second.info.gone && is_listed(found->second, now);
}

bool fleet::is_listed(const endpoint_state& state, time_point now) const
{
    return state.listed || now - state.unlisted_since < unlisted_grace;
}

// When several endpoints announce the same address, only the one started last is reachable there. One that
// does not answer there, that is no longer listed, or whose service the configuration does not name, does not
// count.
void fleet::update_superseded(const std::string& address)
{
    const auto found = m_names_by_address.find(address);
    if (found == m_names_by_address.end()) {
        return;
    }
    if (found->second.empty()) {
        m_names_by_address.erase(found);
        return;
    }
    std::uint64_t newest_listed = 0;
    std::uint64_t newest_unlisted = 0;
    time_point unlisted_end{};
    for (const std::string& name : found->second) {
        const endpoint_state& state = m_endpoints.at(name);
        if (state.misdirected || !is_named(state.info.service)) {
            continue;
        }
        if (state.listed) {
            newest_listed = std::max(newest_listed, state.info.born_ms);
        } else if (state.info.born_ms > newest_unlisted) {
            newest_unlisted = state.info.born_ms;
            unlisted_end = state.unlisted_since + unlisted_grace;
        }
    }
    for (const std::string& name : found->second) {
        endpoint_state& state = m_endpoints.at(name);
        const bool unlisted_later = newest_unlisted > state.info.born_ms;
        state.superseded_until = newest_listed > state.info.born_ms ? time_point::max()
                                 : unlisted_later                   ? unlisted_end
                                                                    : time_point{};
    }
}

void fleet::set_domains_out(std::set<std::string> domains)
{
    const std::lock_guard lock(m_mutex);
    m_domains_out = std::move(domains);
}

void fleet::set_complete_at(time_point time)
{
    const std::lock_guard lock(m_mutex);
    m_complete_at = time;
}

bool fleet::accepts_work(const endpoint_state& state, time_point now) const
{
    return is_listed(state, now) && !state.info.leaving && !state.info.gone && !state.misdirected &&
           state.address.port != 0 && !m_domains_out.contains(state.info.failure_domain);
}

bool fleet::is_usable(const std::string& endpoint, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && accepts_work(found->second, now);
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

bool fleet::is_candidate(const endpoint_state& state, const dispatch_request& request, time_point now) const
{
    return state.info.service == request.service->name && !request.excluded.contains(state.info.endpoint) &&
           accepts_work(state, now) && !is_blocked(state, now) && now >= state.superseded_until;
}

// Endpoints in backoff are returned only when there are no others, so that an outage of many endpoints does
// not leave a service without any. The same holds for endpoints of failure domains whose load is not known,
// and for those that may crash under the trial of a suspect prompt part.
std::vector<fleet::endpoint_state*> fleet::eligible_endpoints(const dispatch_request& request, time_point now)
{
    std::vector<endpoint_state*> reachable;
    std::vector<endpoint_state*> unknown_load;
    std::vector<endpoint_state*> on_trial;
    std::vector<endpoint_state*> backing_off;
    for (auto& [name, state] : m_endpoints) {
        if (!is_candidate(state, request, now) || at_cold_limit(state, request, now) ||
            at_request_limit(state, request, now)) {
            continue;
        }
        const std::string& domain = state.info.failure_domain;
        if (now < state.backoff_until) {
            backing_off.push_back(&state);
        } else if (state.trials != 0) {
            on_trial.push_back(&state);
        } else if (m_unknown_domains.contains(domain)) {
            unknown_load.push_back(&state);
        } else {
            reachable.push_back(&state);
        }
    }
    std::vector<endpoint_state*>& found = !reachable.empty()      ? reachable
                                          : !unknown_load.empty() ? unknown_load
                                          : !on_trial.empty()     ? on_trial
                                                                  : backing_off;
    // Many entries that choose alone at the same time must not all choose the same endpoint.
    if (!found.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_random() % found.size());
        std::rotate(found.begin(), found.begin() + first, found.end());
    }
    return found;
}

bool fleet::has_endpoint_left(const std::string& service, const std::set<std::string>& excluded,
                              time_point now) const
{
    const std::lock_guard lock(m_mutex);
    if (now < m_complete_at) {
        return true; // others may still be missing from the list
    }
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        return item.second.info.service == service && !excluded.contains(item.first) &&
               accepts_work(item.second, now);
    });
}

// An endpoint with as little work as possible, which would be lost with it. A prompt that exceeds the memory
// of one endpoint needs several.
std::vector<fleet::endpoint_state*> fleet::trial_endpoints(const dispatch_request& request, time_point now)
{
    std::vector<endpoint_state*> found = eligible_endpoints(request, now);
    const std::uint64_t needed = std::uint64_t{request.model.prompt_tokens} + request.model.output_tokens;
    const auto& engine = request.service->engine;
    if (!found.empty() && (!engine || needed <= engine->memory_tokens)) {
        const auto least = std::min_element(found.begin(), found.end(), [](const auto* a, const auto* b) {
            return a->load.requests() < b->load.requests();
        });
        found = {*least};
    }
    return found;
}

dispatch_result fleet::dispatch(const dispatch_request& request, time_point now)
{
    using action = policy::crash_verdict::action;
    dispatch_result outcome;
    std::vector<wire::dispatch_noteT> notes;
    std::vector<policy::crash_statement> trials;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_crashes_known && !request.parts.empty() && request.may_wait) {
            outcome.wait = trial_wait;
            return outcome;
        }
        const policy::crash_verdict verdict = m_suspects.check(request.parts, now);
        if (verdict.what == action::refuse || verdict.what == action::wait) {
            outcome.refusal.why = dispatch_refusal::reason::crashing_prompt;
            outcome.refusal.part = verdict.part;
            outcome.refusal.retry_after = verdict.retry_after;
            const bool waits = verdict.what == action::wait && request.may_wait;
            outcome.wait = waits ? trial_wait : milliseconds::zero();
            return outcome;
        }
        const bool trial = verdict.what == action::trial;
        if (!request.alone) {
            update_scheduling(true, now);
        }
        const auto found = trial ? trial_endpoints(request, now) : eligible_endpoints(request, now);
        std::optional<dispatch_result> not_permitted = await_permit(request, found, now);
        outcome = not_permitted ? std::move(*not_permitted) : choose(request, found, now);
        const bool refused = !outcome.choice && outcome.wait == milliseconds::zero();
        if (refused && now < m_complete_at && request.model.used < request.time_left) {
            outcome.wait = list_wait;
        }
        count_refusal(request, outcome);
        if (outcome.choice) {
            const policy::work_key key =
                request.key.value_or(policy::work_key{m_self, outcome.choice->number});
            dispatch_record& record = m_dispatches[key];
            notes = notes_to_publish(key, record);
            if (trial) {
                begin_trial(*outcome.choice, request, record, now);
                trials.swap(m_changed_trials);
            }
        }
    }
    publish(notes);
    publish_crashes(trials, "trial");
    return outcome;
}

dispatch_result fleet::choose(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                              time_point now)
{
    if (found.empty()) {
        return {};
    }
    if (request.service->engine) {
        m_engines[request.service->name] = *request.service->engine;
    }
    if (!request.service->engine) {
        return dispatch_plain(request, found, now);
    }
    return waits_for_slot(request) ? dispatch_to_free_slot(request, found, now)
                                   : dispatch_model(request, found, now);
}

dispatch_result fleet::dispatch_model(const dispatch_request& request,
                                      const std::vector<endpoint_state*>& found, time_point now)
{
    const policy::engine_cost cost(*request.service->engine);
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(found.size());
    std::size_t idle = 0;
    std::size_t unlimited = 0;
    for (const endpoint_state* state : found) {
        policy::placement_candidate candidate = to_candidate(*state, request, now);
        const bool takes_parts = state->load.parts() < state->info.slots && candidate.failure_share < 0.2;
        // The calls that reserve memory would count towards the limit of an endpoint.
        candidate.accepts_prefill_parts = takes_parts && !state->limit.rate();
        unlimited += state->limit.rate() ? 0 : 1;
        candidates.push_back(candidate);
        const bool is_idle = state->load.backlog_ms(now) <= policy::placement_options{}.idle_backlog_ms;
        idle += is_idle && takes_parts ? 1 : 0;
    }
    dispatch_result outcome;
    const bool slot_only = waits_for_slot(request);
    const std::size_t reserved =
        m_waiting.empty() || slot_only ? 0 : parts_before(request, found.size(), now);
    if (request.wait && !slot_only && request.may_wait && !request.answer_started && reserved >= idle) {
        outcome.wait = line_wait;
        return outcome;
    }
    policy::model_request model = request.model;
    // Several prompts go in parallel, so one that waits delays only its share of the others.
    const double parallel = static_cast<double>(found.size()) * shared_prefill_fraction /
                            static_cast<double>(policy::placement_options{}.max_parts);
    model.queue_loss_per_ms = queue_loss_per_ms(request, now) / std::max(parallel, 1.0);
    const auto placed = policy::place(model, cost, candidates, now, placement_options(request));
    // Decoding requests end and free their memory, so a request that cannot be placed well now often can
    // soon.
    const bool harmful =
        placed && !request.answer_started && placed->loss_to_others > policy::value_left(request.model);
    if (!placed || harmful) {
        outcome.refusal.why =
            harmful ? dispatch_refusal::reason::too_harmful : dispatch_refusal::reason::too_large;
        const std::uint64_t needed = std::uint64_t{request.model.prompt_tokens} + request.model.output_tokens;
        const std::size_t usable_memories = std::max<std::size_t>(unlimited, 1);
        const bool possible = needed <= cost.rule().memory_tokens * usable_memories;
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
    // Another endpoint may have a slot and no prefill to do by the latest start in time.
    const milliseconds slack = request.model.objective - request.model.used;
    if (slot_only && request.may_wait && predicted > slack &&
        slack > shortest_first_event(request) + line_wait) {
        outcome.wait = line_wait;
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
        if (key != own_key && other.service == request.service->name &&
            !waits_for_slot(*request.service, other.prompt.prefill_ms)) {
            waiting.push_back(other.prompt);
        }
    }
    const double prefill_capacity = static_cast<double>(endpoints) * shared_prefill_fraction;
    return policy::parts_before(waiting, own_key, prefill_capacity, 0, now);
}

std::uint64_t fleet::next_number()
{
    const std::lock_guard lock(m_mutex);
    return m_next_number++;
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
        cost += state->info.failure_domain == domain_of(request) ? 0 : assumed_plain_request_ms / 8;
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

void fleet::set_unknown_domains(std::set<std::string> domains)
{
    const std::lock_guard lock(m_mutex);
    m_unknown_domains = std::move(domains);
}

std::string fleet::endpoint_at(const std::string& address) const
{
    const time_point now = clock::now();
    const std::lock_guard lock(m_mutex);
    const auto found = m_names_by_address.find(address);
    const endpoint_state* newest = nullptr;
    if (found != m_names_by_address.end()) {
        for (const std::string& name : found->second) {
            const endpoint_state& state = m_endpoints.at(name);
            const bool counts =
                is_named(state.info.service) && !state.misdirected && now >= state.superseded_until;
            if (counts && (newest == nullptr || state.info.born_ms > newest->info.born_ms)) {
                newest = &state;
            }
        }
    }
    return newest == nullptr ? std::string() : newest->info.endpoint;
}

std::uint64_t fleet::born_ms(const std::string& endpoint) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? 0 : found->second.info.born_ms;
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

std::size_t fleet::listed_count(const std::string& service, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
            return item.second.info.service == service && is_listed(item.second, now);
        }));
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
