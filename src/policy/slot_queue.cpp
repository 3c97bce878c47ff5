#include "policy/slot_queue.h"

#include <algorithm>

namespace verbena::policy {

namespace {

// Bounds the predicted wait where no slot is in use that could become free.
constexpr double min_freed_per_ms = 1e-4;

double ms_per_slot(double freed_per_ms)
{
    return 1 / std::max(freed_per_ms, min_freed_per_ms);
}

// Requests that go before the own one if `free` slots are free. Free slots are units of work that have been
// served already.
std::size_t slots_ahead(const std::vector<waiting_prompt>& units, const work_key& own, std::size_t free,
                        double slot_ms, time_point now)
{
    const std::vector<work_key> order = serving_order(units, 1, -static_cast<double>(free) * slot_ms, now);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), own) - order.begin());
}

milliseconds to_ms(double value)
{
    return milliseconds(static_cast<std::int64_t>(value));
}

} // namespace

slot_decision decide_slot(const std::vector<waiting_prompt>& waiting, const work_key& own,
                          const slot_supply& supply, milliseconds give_up_after, time_point now)
{
    const double slot_ms = ms_per_slot(supply.freed_per_ms);
    // A slot is one unit of work for the serving order, and has to be free by the latest start in time.
    double first_event_ms = 0;
    double latest_start_ms = 0;
    std::vector<waiting_prompt> units = waiting;
    for (waiting_prompt& unit : units) {
        unit.due -= std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double, std::milli>(unit.prefill_ms));
        if (unit.key == own) {
            first_event_ms = unit.prefill_ms;
            latest_start_ms = std::chrono::duration<double, std::milli>(unit.due - now).count();
        }
        unit.prefill_ms = slot_ms;
    }
    const std::size_t ahead = slots_ahead(units, own, supply.free, slot_ms, now);
    if (ahead < supply.free) {
        return {};
    }
    const auto slots_before = static_cast<double>(ahead - supply.free + 1);
    const double start_ms = slots_before * slot_ms;
    const double give_up_ms = static_cast<double>(give_up_after.count());
    slot_decision decision;
    const bool is_late = start_ms > latest_start_ms;
    const std::size_t with_reserved = supply.free + supply.reserved;
    if (is_late && latest_start_ms > 0 && supply.reserved > 0 &&
        slots_ahead(units, own, with_reserved, slot_ms, now) < with_reserved) {
        decision.action = slot_action::take_reserved;
        return decision;
    }
    if (supply.slow_first_event) {
        const auto slow_ms = static_cast<double>(supply.slow_first_event->count());
        if (is_late && slow_ms <= start_ms + first_event_ms && slow_ms <= give_up_ms + first_event_ms) {
            decision.action = slot_action::take_slow;
            return decision;
        }
    }
    const double start_anywhere_ms =
        std::min(start_ms, slots_before * ms_per_slot(supply.freed_anywhere_per_ms));
    decision.action = start_anywhere_ms > give_up_ms ? slot_action::refuse : slot_action::wait;
    decision.start_after = to_ms(start_anywhere_ms);
    return decision;
}

} // namespace verbena::policy
