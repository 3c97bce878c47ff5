#include "keys_model.h"

#include "control_fixture.h"

#include <algorithm>

namespace verbena::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::seconds;

// From docs/design.md, section 4.6. A silent connection is closed long before message_lifetime.
constexpr seconds dispatch_window = 10s;
constexpr seconds max_deadline = 10min;
// An agent that drops a finished attempt while its key can still be rebound answers "never seen" for an
// attempt that ran. A retention of 15 min, shorter than the hour for which a key is accepted, let keys run
// twice.
constexpr seconds attempt_retention = control::key_record_lifetime + 5min;
constexpr seconds short_attempt_retention = 15min;
constexpr seconds message_lifetime = 5min;

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
    switch (random_below(16)) {
    case 0:
    case 1:
        return send_caller_request();
    case 2:
        return random_chance(30) ? crash_entry() : time_out_entry();
    case 3:
        return random_chance(25) ? restart_agent() : advance_service();
    case 4:
        return advance_service();
    case 5:
        return random_chance(10) ? restore_control_state() : advance_time();
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

control::wall_time keys_model::wall_now() const
{
    return start_time + m_now;
}

void keys_model::record_violation(const std::string& text)
{
    if (m_violation.empty()) {
        m_violation = text;
    }
}

void keys_model::send_caller_request()
{
    entry_request added;
    added.request = m_next_request++;
    added.key = m_keys[random_below(m_keys.size())];
    added.agent = random_below(agent_count);
    added.expected = m_agents[added.agent].process;
    m_requests.push_back(std::move(added));
    send_bind(m_requests.back(), nullptr);
}

void keys_model::crash_entry()
{
    if (!m_requests.empty()) {
        m_requests.erase(m_requests.begin() + static_cast<std::ptrdiff_t>(random_below(m_requests.size())));
    }
}

void keys_model::restart_agent()
{
    agent& target = m_agents[random_below(agent_count)];
    ++target.process;
    target.table.clear();
    ++m_counts.restarts;
}

// Another member becomes leader from a snapshot.
void keys_model::restore_control_state()
{
    control::state_machine restored;
    if (!restored.restore(m_machine.snapshot()).has_value()) {
        record_violation("the snapshot could not be restored");
    }
    m_machine = std::move(restored);
}

void keys_model::advance_service()
{
    for (agent& target : m_agents) {
        for (auto& [attempt, known] : target.table) {
            if (known.state == attempt_state::running && random_chance(30)) {
                known = {random_chance(80) ? attempt_state::done : attempt_state::failed, m_now};
            }
        }
    }
}

// Advances time by seconds or, in 6 % of steps, by 25 to 75 min, so that keys and records expire while copies
// of messages are in flight.
void keys_model::advance_time()
{
    m_now += seconds(random_chance(6) ? 1'500 + random_below(3'000) : random_below(25));
    std::erase_if(m_messages, [this](const message& item) { return m_now - item.sent > message_lifetime; });
    std::erase_if(m_proposals, [this](const proposal& item) { return m_now - item.sent > message_lifetime; });
    const seconds retention =
        m_defect == model_defect::agent_retention_too_short ? short_attempt_retention : attempt_retention;
    for (agent& target : m_agents) {
        for (auto& [attempt, known] : target.table) {
            if (known.state == attempt_state::running && m_now - known.since > max_deadline) {
                known = {attempt_state::failed, m_now};
            }
        }
        std::erase_if(target.table, [&](const auto& item) { return m_now - item.second.since > retention; });
    }
}

// A reply is overdue: the entry resends its message or reports an unknown outcome to the caller.
void keys_model::time_out_entry()
{
    if (m_requests.empty()) {
        return;
    }
    entry_request& waiting = m_requests[random_below(m_requests.size())];
    if (random_chance(20)) {
        ++m_counts.reported_unknown;
        end_request(waiting.request);
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
    const std::size_t position = random_below(m_proposals.size());
    const proposal chosen = m_proposals[position];
    if (random_chance(25)) {
        ++m_counts.duplicates;
    } else {
        m_proposals.erase(m_proposals.begin() + static_cast<std::ptrdiff_t>(position));
    }
    const auto bytes = m_machine.apply(++m_index, chosen.command);
    entry_request* waiting = find_request(chosen.sender);
    if (waiting == nullptr || chosen.is_finish || random_chance(10)) {
        return;
    }
    const bool waits =
        waiting->state == phase::binding || (waiting->state == phase::confirming && chosen.confirms);
    // A reply to the bind of an earlier attempt is recognised by its attempt number and dropped.
    if (waits && chosen.attempt == waiting->attempt) {
        on_key_reply(*waiting, control::parse_key_reply(bytes).value());
    }
}

void keys_model::deliver_message()
{
    if (m_messages.empty()) {
        return;
    }
    const std::size_t position = random_below(m_messages.size());
    const message chosen = m_messages[position];
    if (random_chance(30)) {
        ++m_counts.duplicates;
    } else {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
    }
    agent& target = m_agents[chosen.agent];
    const agent_answer answer =
        chosen.is_query ? handle_query(target, chosen) : handle_submit(target, chosen);
    entry_request* waiting = find_request(chosen.sender);
    if (waiting == nullptr || random_chance(15)) {
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

void keys_model::send_bind(entry_request& sender, const attempt_key* replaces)
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

void keys_model::repeat_bind(const entry_request& sender)
{
    proposal bind;
    bind.sender = sender.request;
    bind.attempt = sender.attempt;
    bind.confirms = sender.state == phase::confirming;
    bind.command = control::make_command(sender.bind, wall_now());
    bind.sent = m_now;
    m_proposals.push_back(std::move(bind));
}

void keys_model::send_submit(const entry_request& sender)
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

// After the dispatch window an attempt is only queried, never submitted again.
void keys_model::send_submit_or_query(entry_request& sender)
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

void keys_model::send_query(const entry_request& sender)
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

void keys_model::send_finish(const entry_request& sender, const attempt_key& owner)
{
    const auto finish = make_finish(sender.key, owner.first, owner.second);
    proposal command;
    command.is_finish = true;
    command.command = control::make_command(finish, wall_now());
    command.sent = m_now;
    m_proposals.push_back(std::move(command));
}

void keys_model::on_key_reply(entry_request& waiting, const wire::key_replyT& reply)
{
    switch (reply.state) {
    case wire::key_state::bound:
        return on_bound(waiting);
    case wire::key_state::finished:
        ++m_counts.reported_done;
        return end_request(waiting.request);
    case wire::key_state::bound_elsewhere:
    case wire::key_state::conflict:
        waiting.owner = {reply.id->high(), reply.attempt};
        waiting.owner_agent = agent_number(reply.endpoint);
        waiting.owner_process = reply.agent_incarnation;
        waiting.state = phase::querying;
        return send_query(waiting);
    case wire::key_state::key_expired:
        ++m_counts.expired;
        return end_request(waiting.request);
    default:
        ++m_counts.reported_unknown;
        return end_request(waiting.request);
    }
}

void keys_model::on_bound(entry_request& waiting)
{
    if (waiting.state == phase::confirming) {
        report_not_run(waiting);
        return end_request(waiting.request);
    }
    if (m_now - waiting.bind_sent > dispatch_window) {
        ++m_counts.reported_unknown;
        return end_request(waiting.request);
    }
    waiting.state = phase::submitted;
    send_submit(waiting);
}

void keys_model::on_agent_answer(entry_request& waiting, agent_answer answer)
{
    const bool from_query = waiting.state == phase::querying;
    const attempt_key owner = from_query ? waiting.owner : attempt_key(waiting.request, waiting.attempt);
    switch (answer) {
    case agent_answer::refused:
    case agent_answer::never_seen:
        return on_not_run_proof(waiting);
    case agent_answer::running:
        return from_query ? send_query(waiting) : send_submit_or_query(waiting);
    case agent_answer::done:
        send_finish(waiting, owner);
        ++m_counts.reported_done;
        return end_request(waiting.request);
    case agent_answer::failed:
    case agent_answer::wrong_incarnation:
        // A copy of the submit may have reached the earlier incarnation, so this proves nothing.
        ++m_counts.reported_unknown;
        return end_request(waiting.request);
    }
}

// The owning attempt did not run: rebind the key to a new attempt, or report "not run" to the caller. The
// report requires a repeated bind that shows that the attempt still owns the key, because another entry may
// have replaced and run it meanwhile.
void keys_model::on_not_run_proof(entry_request& waiting)
{
    const bool from_query = waiting.state == phase::querying;
    const attempt_key owner = from_query ? waiting.owner : attempt_key(waiting.request, waiting.attempt);
    if (from_query || random_chance(50)) {
        ++waiting.attempt;
        waiting.agent = random_below(agent_count);
        waiting.expected = m_agents[waiting.agent].process;
        ++m_counts.rebinds;
        return send_bind(waiting, &owner);
    }
    if (m_defect == model_defect::entry_skips_confirmation) {
        report_not_run(waiting);
        return end_request(waiting.request);
    }
    waiting.state = phase::confirming;
    repeat_bind(waiting);
}

keys_model::agent_answer keys_model::answer_for(const attempt_record& known) const
{
    switch (known.state) {
    case attempt_state::closed:
        return agent_answer::refused;
    case attempt_state::running:
        return agent_answer::running;
    case attempt_state::done:
        return agent_answer::done;
    case attempt_state::failed:
        return agent_answer::failed;
    }
    return agent_answer::failed;
}

keys_model::agent_answer keys_model::handle_submit(agent& target, const message& submit)
{
    if (submit.expected != target.process && m_defect != model_defect::agent_ignores_incarnation) {
        return agent_answer::wrong_incarnation;
    }
    const auto known = target.table.find(submit.attempt);
    if (known != target.table.end()) {
        return answer_for(known->second);
    }
    if (random_chance(30)) {
        target.table[submit.attempt] = {attempt_state::closed, m_now};
        return agent_answer::refused;
    }
    run(target, submit);
    return agent_answer::running;
}

keys_model::agent_answer keys_model::handle_query(agent& target, const message& query)
{
    if (query.expected != target.process) {
        return agent_answer::wrong_incarnation;
    }
    const auto known = target.table.find(query.attempt);
    if (known != target.table.end()) {
        return known->second.state == attempt_state::closed ? agent_answer::never_seen
                                                            : answer_for(known->second);
    }
    if (m_defect != model_defect::agent_drops_closed_attempts) {
        target.table[query.attempt] = {attempt_state::closed, m_now};
    }
    return agent_answer::never_seen;
}

void keys_model::run(agent& target, const message& submit)
{
    target.table[submit.attempt] = {attempt_state::running, m_now};
    ++m_counts.runs;
    if (++m_runs_by_key[submit.key] > 1) {
        record_violation("the key " + submit.key + " ran twice");
    }
    if (m_reported_not_run.count(submit.attempt.first) != 0) {
        record_violation("a request reported as not run ran later");
    }
}

void keys_model::report_not_run(const entry_request& reported)
{
    ++m_counts.reported_not_run;
    m_reported_not_run.insert(reported.request);
    if (m_runs_by_key[reported.key] != 0) {
        record_violation("not run was reported for the key " + reported.key + ", which ran");
    }
}

keys_model::entry_request* keys_model::find_request(std::uint64_t request)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(),
                                    [request](const entry_request& item) { return item.request == request; });
    return found == m_requests.end() ? nullptr : &*found;
}

void keys_model::end_request(std::uint64_t request)
{
    std::erase_if(m_requests, [request](const entry_request& item) { return item.request == request; });
}

} // namespace verbena::test
