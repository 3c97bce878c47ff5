#include "raft_cluster.h"

#include "raft/encoding.h"

#include <algorithm>

namespace verbena::test {

using raft::member_id;
using raft::message;

namespace {

constexpr const char* cluster_name = "simulated";
constexpr milliseconds tick_interval{20};

raft::bytes encode_number(std::uint64_t value)
{
    raft::bytes data;
    raft::byte_writer(data).number(value);
    return data;
}

std::uint64_t decode_number(std::span<const std::uint8_t> data)
{
    return raft::byte_reader(data).number<std::uint64_t>();
}

std::string fault_of(const raft::core& state)
{
    return state.fault() ? describe(*state.fault()) : "storage error";
}

} // namespace

raft::bytes chain_machine::apply(raft::log_index index, std::span<const std::uint8_t> command)
{
    const std::uint64_t value = decode_number(command);
    m_chain = (m_chain ^ (value + index)) * 0x9E3779B97F4A7C15ULL + (m_chain >> 29U);
    if (on_apply) {
        on_apply(index, value, m_chain);
    }
    return encode_number(value);
}

raft::bytes chain_machine::snapshot() const
{
    raft::bytes state = encode_number(m_chain);
    state.insert(state.end(), m_padding.begin(), m_padding.end());
    return state;
}

result<void> chain_machine::restore(std::span<const std::uint8_t> state)
{
    m_chain = decode_number(state);
    return success();
}

raft::options small_options()
{
    raft::options settings;
    settings.append_bytes = 200;
    settings.inflight_bytes = 800;
    settings.snapshot_chunk_bytes = 100;
    settings.snapshot_after_entries = 20;
    settings.kept_entries = 5;
    return settings;
}

class raft_cluster::node_transport final : public raft::transport {
public:
    node_transport(raft_cluster& owner, member_id id) : m_owner(owner), m_id(id) {}

    void send(message content) override
    {
        node& member = m_owner.m_nodes.at(m_id);
        if (!m_owner.consume_operation(member)) {
            return;
        }
        const bool vote = content.kind == raft::message_kind::vote_reply ||
                          content.kind == raft::message_kind::pre_vote_reply;
        if (member.replaced && vote && !content.reject) {
            m_owner.m_checker.report_forbidden_vote(m_id);
        }
        m_owner.send(std::move(content));
    }

private:
    raft_cluster& m_owner;
    member_id m_id;
};

raft_cluster::raft_cluster(std::uint64_t seed, std::size_t size, const raft::options& settings)
    : m_settings(settings), m_random(seed), m_now(std::chrono::seconds(1000))
{
    std::vector<raft::member> members;
    for (member_id id = 1; id <= size; ++id) {
        members.push_back({id, 0, true, "member-" + std::to_string(id)});
    }
    m_initial = raft::make_initial_membership(members);
    for (member_id id = 1; id <= size; ++id) {
        node& member = add_node(id);
        if (!raft::storage::initialise(*member.files, cluster_name, id, m_initial) || !open(id, member)) {
            m_checker.report_violation("start", "member " + std::to_string(id));
        }
    }
}

raft_cluster::node& raft_cluster::add_node(member_id id)
{
    node& member = m_nodes[id];
    member.files = std::make_unique<memory_disk>();
    member.network = std::make_unique<node_transport>(*this, id);
    return member;
}

bool raft_cluster::open(member_id id, node& member)
{
    member.machine = std::make_unique<chain_machine>();
    member.machine->on_apply = [this, id](raft::log_index index, std::uint64_t command, std::uint64_t chain) {
        if (consume_operation(m_nodes.at(id))) {
            m_checker.observe_applied(id, index, command, chain);
        }
    };
    member.files->before_operation = [this, id] { return consume_operation(m_nodes.at(id)); };
    auto files = raft::storage::open(*member.files, cluster_name, id);
    if (!files) {
        m_open_error = describe(files.error());
        return false;
    }
    auto opened = raft::replica::open(std::move(files.value()), *member.machine, *member.network, m_settings,
                                      random_engine(m_random()), m_now);
    if (!opened) {
        m_open_error = describe(opened.error());
        return false;
    }
    member.replica = std::move(opened.value());
    member.next_tick = m_now + milliseconds(m_random() % 20);
    return true;
}

// Counts one observable operation of a member; returns false once its scheduled crash is due.
bool raft_cluster::consume_operation(node& member)
{
    if (!member.operations_left) {
        return true;
    }
    if (*member.operations_left == 0) {
        return false;
    }
    --*member.operations_left;
    return true;
}

void raft_cluster::send(message content)
{
    if (on_send) {
        on_send(content);
    }
    if (intercept && !intercept(content)) {
        return;
    }
    if (m_blocked_links.contains({content.from, content.to}) || m_random() % 100 < faults.loss) {
        return;
    }
    if (m_random() % 100 < faults.duplication) {
        enqueue(content);
    }
    enqueue(std::move(content));
}

void raft_cluster::enqueue(message content)
{
    const bool slow = m_random() % 100 < faults.slow;
    const auto delay = std::chrono::microseconds(1000 + m_random() % (slow ? 300'000 : 2000));
    m_queue.push({m_now + delay, ++m_sent, std::move(content)});
}

void raft_cluster::run(milliseconds span)
{
    const time_point end = m_now + span;
    run_until([&] { return m_now >= end; }, span + milliseconds(1));
}

bool raft_cluster::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const time_point end = m_now + limit;
    while (!done()) {
        if (m_now >= end) {
            return false;
        }
        step_next();
    }
    return true;
}

// Processes the next tick or message, whichever is due first.
void raft_cluster::step_next()
{
    ++m_steps;
    auto next = m_nodes.end();
    for (auto member = m_nodes.begin(); member != m_nodes.end(); ++member) {
        if (next == m_nodes.end() || member->second.next_tick < next->second.next_tick) {
            next = member;
        }
    }
    if (!m_queue.empty() && m_queue.top().at <= next->second.next_tick) {
        m_now = std::max(m_now, m_queue.top().at);
        message content = m_queue.top().content;
        m_queue.pop();
        deliver(std::move(content));
        return;
    }
    m_now = std::max(m_now, next->second.next_tick);
    next->second.next_tick = m_now + tick_interval;
    tick(next->first, next->second);
}

void raft_cluster::deliver(message content)
{
    const auto found = m_nodes.find(content.to);
    if (found == m_nodes.end() || !found->second.replica) {
        return;
    }
    node& member = found->second;
    if (member.paused) {
        member.pending_messages.push_back(std::move(content));
        return;
    }
    const bool healthy = member.replica->step(content, m_now).has_value();
    after_step(found->first, member, healthy);
}

void raft_cluster::tick(member_id id, node& member)
{
    if (member.replica && !member.paused) {
        const bool healthy = member.replica->tick(m_now).has_value();
        after_step(id, member, healthy);
    }
}

void raft_cluster::after_step(member_id id, node& member, bool healthy)
{
    if (member.operations_left == 0U) {
        crash(id, member.pending_kind);
        return;
    }
    if (!healthy) {
        m_checker.report_violation("fault", "member " + std::to_string(id) +
                                                " stopped: " + fault_of(member.replica->consensus()));
        crash(id, crash_kind::process);
        return;
    }
    observe(id, member);
}

void raft_cluster::observe(member_id id, node& member)
{
    const raft::core& state = member.replica->consensus();
    if (state.role() == raft::role::leader) {
        m_checker.observe_leader(state.term(), id);
        if (const auto age = state.confirm_age(m_now)) {
            m_checker.observe_confirmation(id, state.commit_index(), m_now, *age);
        }
    }
    m_checker.observe_commit(state.commit_index(), m_now);
}

member_id raft_cluster::leader() const
{
    member_id found = 0;
    raft::term_number term = 0;
    for (const auto& [id, member] : m_nodes) {
        if (member.replica && !member.paused && member.replica->consensus().role() == raft::role::leader &&
            member.replica->consensus().term() > term) {
            found = id;
            term = member.replica->consensus().term();
        }
    }
    return found;
}

raft::replica* raft_cluster::at(member_id id)
{
    const auto found = m_nodes.find(id);
    return found == m_nodes.end() ? nullptr : found->second.replica.get();
}

bool raft_cluster::is_up(member_id id) const
{
    const auto found = m_nodes.find(id);
    return found != m_nodes.end() && found->second.replica && !found->second.paused;
}

bool raft_cluster::propose(member_id id)
{
    if (!is_up(id)) {
        return false;
    }
    node& member = m_nodes.at(id);
    const std::uint64_t command = m_next_command++;
    const auto token = member.replica->propose(
        encode_number(command), [this, id, command](const raft::proposal_result& outcome) {
            ++m_reported;
            if (outcome.fate == raft::proposal_status::unknown) {
                ++m_unknown;
            } else if (m_nodes.at(id).operations_left != 0U) {
                m_checker.observe_acknowledged(outcome.token.index, command);
            }
        });
    if (!token) {
        return false;
    }
    ++m_accepted;
    const bool healthy = member.replica->flush(m_now).has_value();
    after_step(id, member, healthy);
    return true;
}

bool raft_cluster::change(member_id via, const raft::membership_change& change)
{
    if (!is_up(via)) {
        return false;
    }
    node& member = m_nodes.at(via);
    if (!member.replica->change_membership(change, m_now, nullptr)) {
        return false;
    }
    const bool healthy = member.replica->flush(m_now).has_value();
    after_step(via, member, healthy);
    return true;
}

void raft_cluster::crash(member_id id, crash_kind kind)
{
    node& member = m_nodes.at(id);
    member.operations_left = 0;
    if (member.replica && !drops_open_proposals) {
        member.replica->close();
    }
    member.replica.reset();
    member.paused = false;
    member.pending_messages.clear();
    member.files->crash(kind, m_random);
    member.operations_left.reset();
}

void raft_cluster::crash_after(member_id id, unsigned operations, crash_kind kind)
{
    node& member = m_nodes.at(id);
    member.operations_left = operations;
    member.pending_kind = kind;
}

bool raft_cluster::restart(member_id id)
{
    node& member = m_nodes.at(id);
    if (member.replica) {
        return true;
    }
    member.operations_left.reset();
    return open(id, member);
}

void raft_cluster::pause(member_id id)
{
    m_nodes.at(id).paused = true;
}

void raft_cluster::resume(member_id id)
{
    node& member = m_nodes.at(id);
    member.paused = false;
    if (!member.replica) {
        return;
    }
    observe(id, member); // a poll may be answered before the first tick
    for (message& content : std::exchange(member.pending_messages, {})) {
        deliver(std::move(content));
    }
}

void raft_cluster::lose_disk(member_id id, bool reinitialise)
{
    node& member = m_nodes.at(id);
    member.files = std::make_unique<memory_disk>();
    member.replaced = true;
    const auto made = reinitialise ? raft::storage::initialise(*member.files, cluster_name, id, m_initial)
                                   : raft::storage::join(*member.files, cluster_name, id, m_random() | 1U);
    if (!made) {
        m_checker.report_violation("start", "member " + std::to_string(id));
    }
}

void raft_cluster::remove(member_id id)
{
    if (m_nodes.contains(id)) {
        crash(id, crash_kind::power);
        m_nodes.erase(id);
    }
}

void raft_cluster::start_joining_member(member_id id)
{
    node& member = add_node(id);
    if (!raft::storage::join(*member.files, cluster_name, id, m_random() | 1U) || !open(id, member)) {
        m_checker.report_violation("start", "member " + std::to_string(id));
    }
}

std::vector<member_id> raft_cluster::ids() const
{
    std::vector<member_id> all;
    for (const auto& [id, member] : m_nodes) {
        all.push_back(id);
    }
    return all;
}

} // namespace verbena::test
