#include "keys_model.h"

#include "control_fixture.h"

#include <algorithm>

namespace verbena::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::seconds;

// From docs/design.md, section 4.6; a silent connection is closed long before message_life.
constexpr seconds dispatch_window = 10s;
constexpr seconds longest_deadline = 10min;
// An agent that forgets a finished attempt while its key can still be rebound answers "never seen" for work
// that ran. 15 min, shorter than the hour for which a key is accepted, let keys run twice.
constexpr seconds agent_memory = control::key_drop_after + 5min;
constexpr seconds short_agent_memory = 15min;
constexpr seconds message_life = 5min;

constexpr std::size_t agent_count = 2;

std::size_t agent_number(const std::string& endpoint)
{
    return endpoint == "desk-0" ? 0 : 1;
}

} // namespace

keys_model::keys_model(std::uint64_t seed, model_defect defect)
    : m_engine(seed), m_defect(defect), m_agents(agent_count)
{
    m_keys = {make_key(0s, "first-key-1"), make_key(10s, "second-key-2")};
}

void keys_model::step()
{
    switch (below(16)) {
    case 0:
    case 1:
        return caller_sends();
    case 2:
        return chance(30) ? entry_crashes() : entry_loses_patience();
    case 3:
        return chance(25) ? agent_restarts() : service_progresses();
    case 4:
        return service_progresses();
    case 5:
        return chance(10) ? control_restarts() : time_passes();
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
        return deliver_proposal();
    default:
        return deliver_message();
    }
}

control::wall_time keys_model::wall() const
{
    return start_time + m_now;
}

void keys_model::violate(const std::string& text)
{
    if (m_violation.empty()) {
        m_violation = text;
    }
}

void keys_model::caller_sends()
{
    task added;
    added.request = m_next_request++;
    added.key = m_keys[below(m_keys.size())];
    added.agent = below(agent_count);
    added.expected = m_agents[added.agent].process;
    m_tasks.push_back(std::move(added));
    send_bind(m_tasks.back(), nullptr);
}

void keys_model::entry_crashes()
{
    if (!m_tasks.empty()) {
        m_tasks.erase(m_tasks.begin() + static_cast<std::ptrdiff_t>(below(m_tasks.size())));
    }
}

void keys_model::agent_restarts()
{
    agent& target = m_agents[below(agent_count)];
    ++target.process;
    target.table.clear();
    ++m_counts.restarts;
}

// Another member takes over from a snapshot.
void keys_model::control_restarts()
{
    control::state_machine restored;
    if (!restored.restore(m_machine.snapshot()).has_value()) {
        violate("the snapshot could not be restored");
    }
    m_machine = std::move(restored);
}

void keys_model::service_progresses()
{
    for (agent& target : m_agents) {
        for (auto& [attempt, known] : target.table) {
            if (known.state == work_state::running && chance(30)) {
                known = {chance(80) ? work_state::done : work_state::failed, m_now};
            }
        }
    }
}

// Mostly seconds, at times an hour, so that keys and records expire while copies are on their way.
void keys_model::time_passes()
{
    m_now += seconds(chance(6) ? 1'500 + below(3'000) : below(25));
    std::erase_if(m_messages, [this](const message& item) { return m_now - item.sent > message_life; });
    std::erase_if(m_proposals, [this](const proposal& item) { return m_now - item.sent > message_life; });
    const seconds memory =
        m_defect == model_defect::agent_memory_too_short ? short_agent_memory : agent_memory;
    for (agent& target : m_agents) {
        for (auto& [attempt, known] : target.table) {
            if (known.state == work_state::running && m_now - known.since > longest_deadline) {
                known = {work_state::failed, m_now};
            }
        }
        std::erase_if(target.table, [&](const auto& item) { return m_now - item.second.since > memory; });
    }
}

// A reply is missing: the entry repeats what it sent, or answers that the outcome is unknown.
void keys_model::entry_loses_patience()
{
    if (m_tasks.empty()) {
        return;
    }
    task& waiting = m_tasks[below(m_tasks.size())];
    if (chance(20)) {
        ++m_counts.told_unknown;
        end_task(waiting.request);
        return;
    }
    if (waiting.state == phase::querying) {
        send_query(waiting);
    } else if (waiting.state == phase::submitted) {
        send_submit_or_query(waiting);
    } else {
        repeat_bind(waiting);
    }
}

void keys_model::deliver_proposal()
{
    if (m_proposals.empty()) {
        return;
    }
    const std::size_t position = below(m_proposals.size());
    const proposal chosen = m_proposals[position];
    if (chance(25)) {
        ++m_counts.duplicates;
    } else {
        m_proposals.erase(m_proposals.begin() + static_cast<std::ptrdiff_t>(position));
    }
    const auto bytes = m_machine.apply(++m_index, chosen.command);
    task* waiting = find_task(chosen.sender);
    if (waiting == nullptr || chosen.is_finish || chance(10)) {
        return;
    }
    const bool waits =
        waiting->state == phase::binding || (waiting->state == phase::confirming && chosen.confirms);
    // A reply to the bind of an earlier attempt is dropped by its number.
    if (waits && chosen.attempt == waiting->attempt) {
        on_key_reply(*waiting, control::parse_key_reply(bytes).value());
    }
}

void keys_model::deliver_message()
{
    if (m_messages.empty()) {
        return;
    }
    const std::size_t position = below(m_messages.size());
    const message chosen = m_messages[position];
    if (chance(30)) {
        ++m_counts.duplicates;
    } else {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
    }
    agent& target = m_agents[chosen.agent];
    const agent_answer answer = chosen.is_query ? query_at(target, chosen) : submit_at(target, chosen);
    task* waiting = find_task(chosen.sender);
    if (waiting == nullptr || chance(15)) {
        return;
    }
    const bool for_submit = waiting->state == phase::submitted && !chosen.is_query &&
                            chosen.attempt == attempt_key(waiting->request, waiting->attempt);
    const bool for_query =
        waiting->state == phase::querying && chosen.is_query && chosen.attempt == waiting->owner;
    if (for_submit || for_query) {
        on_agent_answer(*waiting, answer);
    }
}

void keys_model::send_bind(task& sender, const attempt_key* replaces)
{
    const std::string endpoint = "desk-" + std::to_string(sender.agent);
    sender.bind = replaces == nullptr ? make_bind(sender.key, sender.request, sender.attempt, endpoint)
                                      : make_rebind(sender.key, sender.request, sender.attempt,
                                                    replaces->first, replaces->second);
    sender.bind.endpoint = endpoint;
    sender.bind.agent_incarnation = sender.expected;
    sender.bind_sent = m_now;
    sender.state = phase::binding;
    repeat_bind(sender);
}

void keys_model::repeat_bind(const task& sender)
{
    proposal bind;
    bind.sender = sender.request;
    bind.attempt = sender.attempt;
    bind.confirms = sender.state == phase::confirming;
    bind.command = control::make_command(sender.bind, wall());
    bind.sent = m_now;
    m_proposals.push_back(std::move(bind));
}

void keys_model::send_submit(const task& sender)
{
    message submit;
    submit.sender = sender.request;
    submit.agent = sender.agent;
    submit.expected = sender.expected;
    submit.attempt = {sender.request, sender.attempt};
    submit.key = sender.key;
    submit.sent = m_now;
    m_messages.push_back(std::move(submit));
}

// After the dispatch window an attempt is only asked about, never sent again.
void keys_model::send_submit_or_query(task& sender)
{
    if (m_now - sender.bind_sent <= dispatch_window) {
        return send_submit(sender);
    }
    sender.owner = {sender.request, sender.attempt};
    sender.owner_agent = sender.agent;
    sender.owner_process = sender.expected;
    sender.state = phase::querying;
    send_query(sender);
}

void keys_model::send_query(const task& sender)
{
    message query;
    query.is_query = true;
    query.sender = sender.request;
    query.agent = sender.owner_agent;
    query.expected = sender.owner_process;
    query.attempt = sender.owner;
    query.key = sender.key;
    query.sent = m_now;
    m_messages.push_back(std::move(query));
}

void keys_model::send_finish(const task& sender, const attempt_key& owner)
{
    const auto finish = make_finish(sender.key, owner.first, owner.second);
    proposal command;
    command.is_finish = true;
    command.command = control::make_command(finish, wall());
    command.sent = m_now;
    m_proposals.push_back(std::move(command));
}

void keys_model::on_key_reply(task& waiting, const wire::key_replyT& reply)
{
    switch (reply.state) {
    case wire::key_state::bound:
        return on_bound(waiting);
    case wire::key_state::finished:
        ++m_counts.told_done;
        return end_task(waiting.request);
    case wire::key_state::bound_elsewhere:
    case wire::key_state::conflict:
        waiting.owner = {reply.id->high(), reply.attempt};
        waiting.owner_agent = agent_number(reply.endpoint);
        waiting.owner_process = reply.agent_incarnation;
        waiting.state = phase::querying;
        return send_query(waiting);
    case wire::key_state::key_expired:
        ++m_counts.expired;
        return end_task(waiting.request);
    default:
        ++m_counts.told_unknown;
        return end_task(waiting.request);
    }
}

void keys_model::on_bound(task& waiting)
{
    if (waiting.state == phase::confirming) {
        tell_not_run(waiting);
        return end_task(waiting.request);
    }
    if (m_now - waiting.bind_sent > dispatch_window) {
        ++m_counts.told_unknown;
        return end_task(waiting.request);
    }
    waiting.state = phase::submitted;
    send_submit(waiting);
}

void keys_model::on_agent_answer(task& waiting, agent_answer answer)
{
    const bool asked = waiting.state == phase::querying;
    const attempt_key owner = asked ? waiting.owner : attempt_key(waiting.request, waiting.attempt);
    switch (answer) {
    case agent_answer::refused:
    case agent_answer::never_seen:
        return on_not_run_proof(waiting);
    case agent_answer::running:
        return asked ? send_query(waiting) : send_submit_or_query(waiting);
    case agent_answer::done:
        send_finish(waiting, owner);
        ++m_counts.told_done;
        return end_task(waiting.request);
    case agent_answer::failed:
    case agent_answer::wrong_incarnation:
        // A copy of the submit may have reached the earlier incarnation, so this proves nothing.
        ++m_counts.told_unknown;
        return end_task(waiting.request);
    }
}

// The owner did not run: try elsewhere, or tell the caller. The caller is told only after a repeated bind has
// shown that the attempt still owns the key, because another entry may have replaced and run it meanwhile.
void keys_model::on_not_run_proof(task& waiting)
{
    const bool asked = waiting.state == phase::querying;
    const attempt_key owner = asked ? waiting.owner : attempt_key(waiting.request, waiting.attempt);
    if (asked || chance(50)) {
        ++waiting.attempt;
        waiting.agent = below(agent_count);
        waiting.expected = m_agents[waiting.agent].process;
        ++m_counts.rebinds;
        return send_bind(waiting, &owner);
    }
    if (m_defect == model_defect::entry_skips_confirmation) {
        tell_not_run(waiting);
        return end_task(waiting.request);
    }
    waiting.state = phase::confirming;
    repeat_bind(waiting);
}

keys_model::agent_answer keys_model::answer_for(const work& known) const
{
    switch (known.state) {
    case work_state::closed:
        return agent_answer::refused;
    case work_state::running:
        return agent_answer::running;
    case work_state::done:
        return agent_answer::done;
    case work_state::failed:
        return agent_answer::failed;
    }
    return agent_answer::failed;
}

keys_model::agent_answer keys_model::submit_at(agent& target, const message& submit)
{
    if (submit.expected != target.process && m_defect != model_defect::agent_ignores_incarnation) {
        return agent_answer::wrong_incarnation;
    }
    const auto known = target.table.find(submit.attempt);
    if (known != target.table.end()) {
        return answer_for(known->second);
    }
    if (chance(30)) {
        target.table[submit.attempt] = {work_state::closed, m_now};
        return agent_answer::refused;
    }
    run(target, submit);
    return agent_answer::running;
}

keys_model::agent_answer keys_model::query_at(agent& target, const message& query)
{
    if (query.expected != target.process) {
        return agent_answer::wrong_incarnation;
    }
    const auto known = target.table.find(query.attempt);
    if (known != target.table.end()) {
        return known->second.state == work_state::closed ? agent_answer::never_seen
                                                         : answer_for(known->second);
    }
    if (m_defect != model_defect::agent_forgets_closed) {
        target.table[query.attempt] = {work_state::closed, m_now};
    }
    return agent_answer::never_seen;
}

void keys_model::run(agent& target, const message& submit)
{
    target.table[submit.attempt] = {work_state::running, m_now};
    ++m_counts.runs;
    if (++m_runs_by_key[submit.key] > 1) {
        violate("the key " + submit.key + " ran twice");
    }
    if (m_told_not_run.count(submit.attempt.first) != 0) {
        violate("a request that was told not run ran later");
    }
}

void keys_model::tell_not_run(const task& told)
{
    ++m_counts.told_not_run;
    m_told_not_run.insert(told.request);
    if (m_runs_by_key[told.key] != 0) {
        violate("not run was told for the key " + told.key + ", which ran");
    }
}

keys_model::task* keys_model::find_task(std::uint64_t request)
{
    const auto found = std::find_if(m_tasks.begin(), m_tasks.end(),
                                    [request](const task& item) { return item.request == request; });
    return found == m_tasks.end() ? nullptr : &*found;
}

void keys_model::end_task(std::uint64_t request)
{
    std::erase_if(m_tasks, [request](const task& item) { return item.request == request; });
}

} // namespace verbena::test
