#pragma once

#include "membership_group.h"

namespace verbena::test {

// A randomised run of a membership_group, fully determined by its seed: replacements, lost disks, power
// losses, splits, freezes and restarts. Never more machines are lost at once than the group has to tolerate;
// a machine counts as lost while it does not run, and for the time to catch up after its start. At the end
// the faults stop and the group must work again.
class membership_schedule {
public:
    explicit membership_schedule(std::uint64_t seed);

    std::vector<std::string> run();

    const membership_counts& counts() const { return m_counts; }

private:
    std::size_t pick(std::size_t count) { return static_cast<std::size_t>(m_group.random()() % count); }
    void pass(milliseconds span);
    // Machines that count as lost now.
    std::size_t lost() const;
    void restart_catch_up();
    std::optional<std::size_t> pick_sound_machine();

    void inject_fault();
    void replace_as_planned();
    void replace_after_loss();
    void lose_disks();
    void restart();
    void split();
    void freeze();
    void lose_all_power();
    void end_faults();

    std::size_t m_tolerated_losses;
    membership_group m_group;
    std::map<std::size_t, time_point> m_lost_until;
    time_point m_last_planned{};
    membership_counts m_counts;
};

} // namespace verbena::test
