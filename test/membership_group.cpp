#include "membership_group.h"

#include <algorithm>

namespace verbena::test {

using raft::member_id;

namespace {

constexpr milliseconds slice{20};
// The host's intervals and timeouts; see group_membership.cpp and raft_host.h.
constexpr milliseconds join_interval{150};
constexpr milliseconds reply_timeout{500};
constexpr milliseconds leader_loss_timeout{3'000};

} // namespace

void membership_counts::add(const membership_counts& other)
{
    planned += other.planned;
    sudden += other.sudden;
    lost_disks += other.lost_disks;
    at_the_end_of_a_member += other.at_the_end_of_a_member;
    late_requests += other.late_requests;
    splits += other.splits;
    freezes += other.freezes;
    power_losses += other.power_losses;
    reduced += other.reduced;
    acknowledged += other.acknowledged;
}

membership_group::membership_group(std::uint64_t seed, std::size_t machines, std::size_t tolerated_losses)
    : m_tolerated_losses(tolerated_losses), m_cluster(seed, machines), m_random(seed + 1)
{
    for (std::size_t i = 0; i < machines; ++i) {
        const member_id id = i + 1;
        m_machines.push_back({"member-" + std::to_string(id), id, true, false, false, 0,
                              control::membership_policy(tolerated_losses), now(), now()});
    }
    m_cluster.intercept = [this](raft::message& content) {
        const auto from = machine_of(content.from);
        const auto to = machine_of(content.to);
        return from && to && !separated(*from, *to);
    };
}

raft::replica* membership_group::replica_of(std::size_t index)
{
    const machine& value = m_machines.at(index);
    return value.up && value.member != 0 ? m_cluster.at(value.member) : nullptr;
}

std::optional<std::size_t> membership_group::machine_of(member_id id) const
{
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        if (m_machines[i].member == id && id != 0) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> membership_group::machine_at(const std::string& address) const
{
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        if (m_machines[i].address == address) {
            return i;
        }
    }
    return std::nullopt;
}

bool membership_group::separated(std::size_t a, std::size_t b) const
{
    return m_half.contains(a) != m_half.contains(b);
}

std::vector<std::size_t> membership_group::machines() const
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        if (!m_machines[i].removed) {
            all.push_back(i);
        }
    }
    return all;
}

void membership_group::run(milliseconds span)
{
    const time_point end = now() + span;
    run_until([this, end] { return now() >= end; }, span + slice);
}

bool membership_group::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const time_point end = now() + limit;
    while (!done()) {
        if (now() >= end) {
            return false;
        }
        while (!m_events.empty() && m_events.top().at <= now()) {
            const event due = m_events.top();
            m_events.pop();
            due.act();
        }
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            act(i);
        }
        m_cluster.run(slice);
    }
    m_counts.acknowledged = m_cluster.checker().acknowledged_count();
    return true;
}

void membership_group::act(std::size_t index)
{
    machine& own = m_machines[index];
    if (!own.up || own.frozen) {
        return;
    }
    raft::replica* member = replica_of(index);
    if (member != nullptr) {
        const raft::core& state = member->consensus();
        for (const raft::member& voter : own.policy.voters_to_ask(state, now())) {
            ask(index, voter);
        }
        if (const auto step = own.policy.next_removal(state, now())) {
            m_cluster.change(own.member, step->change);
        }
        member = replica_of(index);
    }
    if (member != nullptr && member->consensus().role() == raft::role::leader) {
        m_cluster.propose(own.member);
        member = replica_of(index);
    }
    if (member != nullptr && member->consensus().leader() != 0) {
        own.last_leader = now();
        return;
    }
    if (now() >= own.next_join && (own.member == 0 || now() - own.last_leader > leader_loss_timeout)) {
        own.next_join = now() + join_interval;
        request_membership(index, own.next_target++ % m_machines.size(), true);
    }
}

void membership_group::send(std::size_t from, std::size_t to, const std::function<void()>& deliver)
{
    const auto arrive = [this, from, to, deliver] {
        if (!separated(from, to) && is_up(to)) {
            deliver();
        }
    };
    if (!separated(from, to)) {
        m_events.push({now() + milliseconds(1 + pick(10)), ++m_event_count, arrive});
    }
    if (pick(100) < late_messages) {
        m_events.push({now() + milliseconds(pick(6'000)), ++m_event_count, arrive});
    }
}

raft::member_folder membership_group::held_by(std::size_t index)
{
    const raft::replica* member = replica_of(index);
    return member == nullptr ? raft::member_folder{}
                             : raft::member_folder{member->consensus().self(), member->consensus().folder()};
}

void membership_group::ask(std::size_t index, const raft::member& voter)
{
    const auto target = machine_at(voter.address);
    if (!target || *target == index) {
        return;
    }
    const std::uint64_t boot = m_machines[index].boot;
    const time_point sent = now();
    const raft::member_folder asked{voter.id, voter.folder};
    send(index, *target, [this, index, boot, sent, asked, target = *target] {
        if (held_by(target) == asked) {
            return;
        }
        send(target, index, [this, index, boot, sent, asked] {
            raft::replica* member = replica_of(index);
            if (member == nullptr || m_machines[index].boot != boot || now() - sent > reply_timeout) {
                return;
            }
            m_counts.reduced +=
                member->consensus().leader() == 0 && !member->consensus().known_lost_folders().contains(asked)
                    ? 1
                    : 0;
            member->report_lost_folder(asked);
        });
    });
}

void membership_group::request_membership(std::size_t index, std::size_t target, bool follow)
{
    if (target == index) {
        return;
    }
    const std::uint64_t boot = m_machines[index].boot;
    const time_point sent = now();
    const control::join_call call{m_machines[index].address, held_by(index)};
    send(index, target, [this, index, target, boot, sent, call, follow] {
        m_counts.late_requests += now() - sent > reply_timeout ? 1 : 0;
        const raft::replica* asked = replica_of(target);
        if (asked == nullptr) {
            return;
        }
        const raft::core& state = asked->consensus();
        const control::join_decision decision = m_machines[target].policy.join(state, call);
        const raft::member* leader = state.find_member(state.leader());
        const std::string leader_address = leader == nullptr ? std::string() : leader->address;
        if (decision.step) {
            m_cluster.change(m_machines[target].member, decision.step->change);
        }
        send(target, index, [this, index, boot, sent, call, follow, leader_address, id = decision.assigned] {
            machine& own = m_machines[index];
            if (own.boot != boot || now() - sent > reply_timeout || own.member != call.held.member) {
                return;
            }
            const raft::replica* member = replica_of(index);
            const bool without_leader = member == nullptr || member->consensus().leader() == 0;
            const auto named = machine_at(leader_address);
            if (id != 0 && id != own.member && without_leader) {
                become_member(index, id);
            } else if (id == 0 && follow && named) {
                request_membership(index, *named, false);
            }
        });
    });
}

void membership_group::become_member(std::size_t index, member_id id)
{
    machine& own = m_machines[index];
    if (const auto holder = machine_of(id); holder && *holder != index) {
        m_cluster.checker().report_violation("id used twice", "member " + std::to_string(id));
        return;
    }
    if (own.member != 0) {
        m_cluster.remove(own.member);
    }
    m_cluster.remove(id);
    own.member = id;
    own.last_leader = now();
    m_cluster.start_joining_member(id);
}

std::size_t membership_group::add_machine()
{
    const std::string address = "machine-" + std::to_string(m_machines.size() + 1);
    m_machines.push_back(
        {address, 0, true, false, false, 0, control::membership_policy(m_tolerated_losses), now(), now()});
    return m_machines.size() - 1;
}

void membership_group::stop(std::size_t index, crash_kind kind)
{
    machine& own = m_machines[index];
    thaw(index);
    if (own.member != 0 && own.up) {
        m_cluster.crash(own.member, kind);
    }
    own.up = false;
}

void membership_group::remove_machine(std::size_t index)
{
    stop(index, crash_kind::power);
    m_machines[index].removed = true;
}

void membership_group::lose_disk(std::size_t index)
{
    stop(index, crash_kind::power);
    machine& own = m_machines[index];
    if (own.member != 0) {
        m_cluster.remove(own.member);
    }
    own.member = 0;
    ++m_counts.lost_disks;
}

void membership_group::start(std::size_t index)
{
    machine& own = m_machines[index];
    if (own.up || own.removed) {
        return;
    }
    own.up = true;
    ++own.boot;
    own.policy = control::membership_policy(m_tolerated_losses);
    own.next_join = own.last_leader = now();
    if (own.member != 0 && !m_cluster.restart(own.member)) {
        m_cluster.checker().report_violation("start", m_cluster.open_error());
    }
}

void membership_group::freeze(std::size_t index)
{
    machine& own = m_machines[index];
    own.frozen = true;
    if (own.member != 0) {
        m_cluster.pause(own.member);
    }
}

void membership_group::thaw(std::size_t index)
{
    machine& own = m_machines[index];
    if (std::exchange(own.frozen, false) && own.member != 0) {
        m_cluster.resume(own.member);
    }
}

std::optional<std::size_t> membership_group::leader()
{
    return machine_of(m_cluster.leader());
}

std::size_t membership_group::voters()
{
    const raft::replica* member = m_cluster.at(m_cluster.leader());
    return member == nullptr ? 0 : member->consensus().membership().voter_count();
}

bool membership_group::votes(std::size_t index)
{
    const raft::replica* member = m_cluster.at(m_cluster.leader());
    if (member == nullptr) {
        return false;
    }
    const raft::core& state = member->consensus();
    const raft::member* found = state.membership_at(state.commit_index()).find(m_machines.at(index).member);
    return found != nullptr && found->voter;
}

bool membership_group::works()
{
    const raft::replica* member = m_cluster.at(m_cluster.leader());
    if (member == nullptr) {
        return false;
    }
    const raft::core_status status = member->consensus().status(now());
    const raft::log_index commit = status.commit;
    const auto up_to_date = [&](const raft::member_status& line) {
        const raft::replica* other = m_cluster.at(line.member.id);
        return other != nullptr && other->consensus().applied() + 20 >= commit;
    };
    return member->consensus().confirm_age(now()).has_value() &&
           std::all_of(status.members.begin(), status.members.end(),
                       [&up_to_date](const auto& line) { return !line.member.voter || up_to_date(line); });
}

} // namespace verbena::test
