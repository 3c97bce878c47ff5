#include "policy/slot_queue.h"

#include <algorithm>

namespace verbena::policy {

slot_decision decide_slot(const std::vector<waiting_prompt>& waiting, const work_key& own,
                          const slot_supply& supply, milliseconds give_up_after, time_point now)
{
    // Bounds the predicted wait where no slot is in use that could become free.
    constexpr double min_freed_per_ms = 1e-4;
    const double ms_per_slot = 1 / std::max(supply.freed_per_ms, min_freed_per_ms);
    // A slot is one unit of work for the serving order, and has to be free by the latest start in time. The
    // free slots are units that have been served already.
    std::vector<waiting_prompt> units = waiting;
    for (waiting_prompt& unit : units) {
        unit.due -= std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double, std::milli>(unit.prefill_ms));
        unit.prefill_ms = ms_per_slot;
    }
    const double first_free_ms = -static_cast<double>(supply.free) * ms_per_slot;
    const std::vector<work_key> order = serving_order(std::move(units), 1, first_free_ms, now);
    const auto ahead = static_cast<std::size_t>(std::find(order.begin(), order.end(), own) - order.begin());
    if (ahead < supply.free) {
        return {};
    }
    const double start_ms = static_cast<double>(ahead - supply.free + 1) * ms_per_slot;
    const bool too_late = start_ms > static_cast<double>(give_up_after.count());
    slot_decision decision;
    decision.action = too_late ? slot_action::refuse : slot_action::wait;
    decision.start_after = milliseconds(static_cast<std::int64_t>(start_ms));
    return decision;
}

} // namespace verbena::policy
