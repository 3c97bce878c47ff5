#include "membership_schedule.h"

#include <algorithm>

namespace verbena::test {

namespace {

// Time for which a machine that is back, or new, still counts as lost.
constexpr milliseconds catch_up{4'000};
// Time within which the group has to work again after the last fault.
constexpr milliseconds recovery{12'000};

constexpr time_point forever = time_point::max();

} // namespace

membership_schedule::membership_schedule(std::uint64_t seed)
    : m_tolerated_losses(1 + seed % 2),
      m_group(seed, 2 * m_tolerated_losses + 1 + (seed / 2) % 4, m_tolerated_losses)
{
    m_group.late_messages = static_cast<unsigned>(pick(2) * pick(30));
    m_group.cluster().faults.loss = static_cast<unsigned>(pick(8));
    m_group.cluster().faults.duplication = static_cast<unsigned>(pick(8));
    m_group.cluster().faults.slow = static_cast<unsigned>(pick(8));
}

std::size_t membership_schedule::lost() const
{
    return static_cast<std::size_t>(
        std::count_if(m_lost_until.begin(), m_lost_until.end(),
                      [this](const auto& item) { return item.second > m_group.now(); }));
}

void membership_schedule::pass(milliseconds span)
{
    m_group.run(span);
}

// Machines that count as lost have had no time to catch up while no group worked.
void membership_schedule::restart_catch_up()
{
    for (auto& [index, until] : m_lost_until) {
        until = until > m_group.now() ? m_group.now() + catch_up : until;
    }
}

std::optional<std::size_t> membership_schedule::pick_sound_machine()
{
    std::vector<std::size_t> sound;
    for (const std::size_t index : m_group.machines()) {
        const auto entry = m_lost_until.find(index);
        if (m_group.is_up(index) && (entry == m_lost_until.end() || entry->second <= m_group.now())) {
            sound.push_back(index);
        }
    }
    if (sound.empty()) {
        return std::nullopt;
    }
    const auto leader = m_group.leader();
    const bool leads = leader && std::find(sound.begin(), sound.end(), *leader) != sound.end();
    return leads && pick(3) == 0 ? *leader : sound[pick(sound.size())];
}

void membership_schedule::inject_fault()
{
    switch (pick(8)) {
    case 0:
    case 1:
    case 2:
        return replace_as_planned();
    case 3:
        return replace_after_loss();
    case 4:
        return lose_disks();
    case 5:
        return restart();
    case 6:
        return pick(2) == 0 ? split() : freeze();
    default:
        return lose_all_power();
    }
}

// The successor has had its time when the old machine ends, or has it soon afterwards; then disks are lost,
// at once or later.
void membership_schedule::replace_as_planned()
{
    const auto old = pick_sound_machine();
    if (!old || lost() != 0) {
        return;
    }
    ++m_counts.planned;
    m_group.add_machine();
    const milliseconds before(pick(2) == 0 ? 4'000 : 500 + pick(3'500));
    pass(before);
    m_group.remove_machine(*old);
    m_last_planned = m_group.now();
    pass(std::max(milliseconds(0), catch_up - before));
    const milliseconds gap(pick(2) == 0 ? 0 : pick(4'000));
    pass(gap);
    m_counts.at_the_end_of_a_member += before == catch_up && gap < milliseconds(100) ? 1 : 0;
    if (pick(4) != 0) {
        lose_disks();
    }
}

// Does not follow a planned replacement before the group has removed the replaced member: the suite
// membership_gone shows that case.
void membership_schedule::replace_after_loss()
{
    const auto old = pick_sound_machine();
    if (!old || lost() >= m_tolerated_losses || m_group.now() - m_last_planned < catch_up) {
        return;
    }
    ++m_counts.sudden;
    m_group.remove_machine(*old);
    m_lost_until[*old] = forever;
    pass(milliseconds(pick(5'000)));
    const std::size_t successor = m_group.add_machine();
    m_lost_until.erase(*old);
    m_lost_until[successor] = m_group.now() + catch_up;
}

void membership_schedule::lose_disks()
{
    std::vector<std::size_t> wiped;
    while (lost() < m_tolerated_losses) {
        const auto index = pick_sound_machine();
        if (!index) {
            break;
        }
        m_group.lose_disk(*index);
        m_lost_until[*index] = forever;
        wiped.push_back(*index);
        if (pick(4) == 0) {
            break;
        }
    }
    std::vector<std::size_t> others;
    if (pick(4) == 0) {
        others = m_group.machines();
        for (const std::size_t index : others) {
            m_group.stop(index, crash_kind::power);
        }
    }
    pass(milliseconds(100 + pick(2'000)));
    for (const std::size_t index : others) {
        m_group.start(index);
    }
    if (!others.empty()) {
        restart_catch_up();
    }
    for (const std::size_t index : wiped) {
        m_group.start(index);
        m_lost_until[index] = m_group.now() + catch_up;
    }
}

void membership_schedule::restart()
{
    const auto index = pick_sound_machine();
    if (!index || lost() >= m_tolerated_losses) {
        return;
    }
    m_group.stop(*index, pick(2) == 0 ? crash_kind::power : crash_kind::process);
    m_lost_until[*index] = forever;
    pass(milliseconds(100 + pick(4'000)));
    m_group.start(*index);
    m_lost_until[*index] = m_group.now() + catch_up;
}

// A split lasts beyond the tolerated losses. As many disks as tolerated may be lost meanwhile; a machine that
// could not reach the others is back only when the split ends.
void membership_schedule::split()
{
    std::set<std::size_t> half;
    for (const std::size_t index : m_group.machines()) {
        if (pick(2) == 0) {
            half.insert(index);
        }
    }
    ++m_counts.splits;
    m_group.split(half);
    pass(milliseconds(200 + pick(3'000)));
    if (pick(2) == 0) {
        lose_disks();
        pass(milliseconds(pick(3'000)));
    }
    m_group.split({});
    restart_catch_up();
    if (pick(2) == 0) {
        pass(catch_up);
    }
}

void membership_schedule::freeze()
{
    const auto index = pick_sound_machine();
    if (!index || lost() >= m_tolerated_losses) {
        return;
    }
    ++m_counts.freezes;
    m_group.freeze(*index);
    m_lost_until[*index] = forever;
    pass(milliseconds(200 + pick(4'000)));
    m_group.thaw(*index);
    m_lost_until[*index] = m_group.now() + catch_up;
}

void membership_schedule::lose_all_power()
{
    ++m_counts.power_losses;
    const auto all = m_group.machines();
    for (const std::size_t index : all) {
        m_group.stop(index, crash_kind::power);
    }
    pass(milliseconds(100 + pick(900)));
    for (const std::size_t index : all) {
        m_group.start(index);
    }
    restart_catch_up();
}

void membership_schedule::end_faults()
{
    m_group.split({});
    m_group.late_messages = 0;
    m_group.cluster().faults = {};
    for (const std::size_t index : m_group.machines()) {
        m_group.thaw(index);
        m_group.start(index);
    }
}

std::vector<std::string> membership_schedule::run()
{
    pass(milliseconds(2'000));
    for (int round = 0; round < 6; ++round) {
        inject_fault();
        pass(milliseconds(pick(3'000)));
    }
    end_faults();
    raft_checker& checker = m_group.cluster().checker();
    if (!m_group.run_until([this] { return m_group.works(); }, recovery)) {
        checker.report_violation("no progress", "after the faults ended");
    } else {
        const raft::member_id leader = m_group.cluster().leader();
        checker.check_acknowledged_applied(leader, m_group.cluster().at(leader)->consensus().applied());
    }
    const membership_counts seen = m_group.counts();
    m_counts.add(seen);
    return checker.violations();
}

} // namespace verbena::test
