#include "forward/fleet_detail.h"

#include <algorithm>

namespace verbena::forward {

using namespace detail;

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
    if (request.model.objective > milliseconds::zero()) {
        record.due = now + (request.model.objective - request.model.used);
    }
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
        if (i == 0) {
            count_send(*parts[i], request);
        }
        parts[i]->load.start(key, to_work(note, now), slowdown_of(*parts[i], now), now);
        if (i == 0) {
            parts[i]->recent_dispatches.push_back(now);
            take_permit(*parts[i], request.alone, now);
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
        (void)start_part(key, m_self, *note, now);
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

bool fleet::start_part(const policy::work_key& key, incarnation reporter, const wire::dispatch_noteT& note,
                       time_point now)
{
    m_waiting.erase(key);
    dispatch_record& record = m_dispatches[key];
    record.reporter = reporter;
    const bool known = std::any_of(record.notes.begin(), record.notes.end(),
                                   [&note](const auto& item) { return item.endpoint == note.endpoint; });
    if (known) {
        return false;
    }
    if (!note.reads_for_other && note.objective_ms != 0) {
        record.due = now + milliseconds(note.first_event_ms);
    }
    record.notes.push_back(note);
    record.notes.back().phase = phase_started;
    const auto found = m_endpoints.find(note.endpoint);
    if (found == m_endpoints.end()) {
        return false;
    }
    const double slowdown = slowdown_of(found->second, now);
    found->second.load.start(key, to_work(note, now), slowdown, now);
    if (record.phase == phase_answering) {
        found->second.load.first_event(key, slowdown, now);
    }
    if (note.reads_for_other || note.phase != phase_started) {
        return false;
    }
    found->second.recent_dispatches.push_back(now);
    return true;
}

void fleet::advance_phase(const policy::work_key& key, const wire::dispatch_noteT& note, time_point now)
{
    const auto found = m_dispatches.find(key);
    if (found == m_dispatches.end() || found->second.phase >= note.phase) {
        return;
    }
    dispatch_record& record = found->second;
    if (note.phase == phase_answering) {
        count_first_event(record, now);
    }
    record.phase = note.phase;
    end_trial(record);
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
    if (note.health <= static_cast<std::uint8_t>(attempt_health::stalled)) {
        apply_health(found->second, static_cast<attempt_health>(note.health), now);
    }
    found->second.announced_leaving = found->second.announced_leaving || note.leaving;
    apply_interval(found->second, std::chrono::microseconds(note.interval_us), now);
}

void fleet::update_own_phase(std::uint64_t number, wire::dispatch_noteT note, time_point now)
{
    std::vector<policy::crash_statement> trials;
    {
        const std::lock_guard lock(m_mutex);
        const policy::work_key key{m_self, number};
        const auto found = m_dispatches.find(key);
        if (found == m_dispatches.end() || found->second.phase >= note.phase) {
            return;
        }
        advance_phase(key, note, now);
        note.number = number;
        trials.swap(m_changed_trials);
    }
    m_on_note(std::move(note));
    publish_crashes(trials, "trial");
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

bool fleet::apply_note(incarnation reporter, const wire::dispatch_noteT& note, time_point now)
{
    const policy::work_key key{note.entry == 0 ? reporter : note.entry, note.number};
    if (key.entry == m_self || note.phase > phase_waiting) {
        return false;
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
        return false;
    }
    const bool has_started =
        !note.endpoint.empty() && note.phase != phase_ended && start_part(key, reporter, note, now);
    const auto waiting = m_waiting.find(key);
    if (waiting != m_waiting.end() && waiting->second.reporter == reporter) {
        m_waiting.erase(waiting);
    }
    const auto found = m_dispatches.find(key);
    // After a move to another scheduler, the former one may report an end that is not one.
    if (found != m_dispatches.end() && found->second.reporter == reporter && note.phase != phase_started) {
        advance_phase(key, note, now);
    }
    return has_started;
}

void fleet::apply_notes(const wire::load_notesT& notes, time_point now)
{
    note_list published;
    std::vector<policy::crash_statement> trials;
    {
        const std::lock_guard lock(m_mutex);
        if (notes.whole) {
            published = remove_reporter(notes.incarnation, now);
        }
        m_unheard.hear(notes.incarnation, now);
        m_unheard_now.clear();
        for (const auto& note : notes.notes) {
            const bool has_started = apply_note(notes.incarnation, *note, now);
            const auto endpoint = m_endpoints.find(note->endpoint);
            // A whole report repeats work that began before; at a scheduler that has just begun it is used
            // up.
            if (has_started && !notes.whole && endpoint != m_endpoints.end()) {
                take_permit(endpoint->second, false, now);
                m_others_chose = now;
                m_unheard.record(notes.incarnation, endpoint->second.info.failure_domain, now);
            }
            const policy::work_key key{note->entry == 0 ? notes.incarnation : note->entry, note->number};
            if (key.entry == notes.incarnation && key.entry != m_self) {
                published.push_back(to_published(key, *note));
            }
        }
        trials.swap(m_changed_trials);
    }
    publish(published);
    publish_crashes(trials, "trial");
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
    std::vector<policy::crash_statement> trials;
    {
        const std::lock_guard lock(m_mutex);
        ended = remove_reporter(entry, now);
        m_unheard.remove(entry);
        m_unheard_now.clear();
        trials.swap(m_changed_trials);
    }
    publish(ended);
    publish_crashes(trials, "trial");
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

} // namespace verbena::forward
