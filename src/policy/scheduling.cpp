#include "policy/scheduling.h"

#include "policy/estimate.h"

#include <algorithm>

namespace verbena::policy {

namespace {

constexpr double min_weight = 0.001;
constexpr std::uint32_t request_class_count = 3;

double work_of(const queued_request& request)
{
    return work_units(request.prompt_tokens, request.max_tokens);
}

class first_come_first_served final : public scheduling_policy {
public:
    std::string_view name() const override { return "fcfs"; }
    double start_of(const queued_request& /*request*/) const override { return 0; }
    double push(const queued_request& /*request*/, double /*weight*/) override { return 0; }
    void dispatched(const queue_entry& /*entry*/, time_point /*now*/) override {}

    dispatch_order order(const queue_entry& entry, time_point /*now*/) const override
    {
        return {.sequence = entry.sequence};
    }

    bool may_pass(const queue_entry& /*blocked*/, time_point /*now*/) const override { return false; }
    bool holds_memory(const queue_entry& /*blocked*/, time_point /*now*/) const override { return true; }
    void idle(length_class /*length*/) override {}
};

// Base of the policies with fair queueing between teams within a length class.
class fair_queueing_policy : public scheduling_policy {
public:
    double start_of(const queued_request& request) const override
    {
        return clock_of(request.length()).start_of(request.team);
    }

    double push(const queued_request& request, double weight) override
    {
        return clock_of(request.length()).push(request.team, work_of(request), weight);
    }

    void dispatched(const queue_entry& entry, time_point /*now*/) override
    {
        clock_of(entry.request.length()).dispatched(entry.start);
    }

    bool may_pass(const queue_entry& /*blocked*/, time_point /*now*/) const override { return true; }

    bool holds_memory(const queue_entry& blocked, time_point now) const override
    {
        return promotions(blocked.request, now) > 0;
    }

    void idle(length_class length) override { clock_of(length).reset(); }

private:
    fair_queue_clock& clock_of(length_class length) { return m_clocks[static_cast<std::size_t>(length)]; }
    const fair_queue_clock& clock_of(length_class length) const
    {
        return m_clocks[static_cast<std::size_t>(length)];
    }

    std::array<fair_queue_clock, length_class_count> m_clocks;
};

class class_shares final : public fair_queueing_policy {
public:
    std::string_view name() const override { return "class_shares"; }

    void dispatched(const queue_entry& entry, time_point now) override
    {
        fair_queueing_policy::dispatched(entry, now);
        const double work = work_of(entry.request);
        double& debt = m_debt[level_of(entry, now)];
        debt += promoted(entry, now) ? work * native_per_promoted : -work;
        debt = std::clamp(debt, -max_debt, max_debt);
    }

    dispatch_order order(const queue_entry& entry, time_point now) const override
    {
        const std::uint32_t level = level_of(entry, now);
        const bool promoted_next = m_debt[level] <= 0;
        dispatch_order order;
        order.level = level;
        order.turn = promoted(entry, now) == promoted_next ? 0 : 1;
        order.rank = request_rank(entry.request, now);
        order.start = entry.start;
        order.sequence = entry.sequence;
        return order;
    }

private:
    // Native (not promoted) work dispatched at a level per unit of promoted work, while both are waiting.
    static constexpr double native_per_promoted = 3;
    // Limits the influence of past dispatches to about the work of one long prompt.
    static constexpr double max_debt = 4'000;

    static std::uint32_t level_of(const queue_entry& entry, time_point now)
    {
        return promoted_level(entry.request, now);
    }

    static bool promoted(const queue_entry& entry, time_point now)
    {
        return entry.request.length() != length_class::short_prompt &&
               quarters_waited(entry.request, now) > 0;
    }

    // Per level: promoted work not yet balanced by native work of the level.
    std::array<double, length_class_count> m_debt{};
};

class shortest_work final : public fair_queueing_policy {
public:
    std::string_view name() const override { return "shortest_work"; }

    dispatch_order order(const queue_entry& entry, time_point now) const override
    {
        // Each quarter waited divides the work by 8, so that after three quarters the largest prompt goes
        // ahead of the smallest new one.
        double work = work_of(entry.request);
        for (std::uint32_t i = 0; i < quarters_waited(entry.request, now); ++i) {
            work /= 8;
        }
        return {.rank = work, .start = entry.start, .sequence = entry.sequence};
    }
};

} // namespace

std::uint32_t quarters_waited(const queued_request& request, time_point now)
{
    const auto total = request.deadline - request.arrival;
    if (total <= clock::duration::zero()) {
        return 4;
    }
    if (now <= request.arrival) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::int64_t>(4, (now - request.arrival) / (total / 4)));
}

std::uint32_t promotions(const queued_request& request, time_point now)
{
    const std::uint32_t quarters = quarters_waited(request, now);
    const std::uint32_t batch_delay = request.priority_class == request_class::batch ? 2 : 0;
    return quarters - std::min(quarters, batch_delay);
}

std::uint32_t promoted_level(const queued_request& request, time_point now)
{
    const auto level = static_cast<std::uint32_t>(request.length());
    return level - std::min(level, promotions(request, now));
}

std::uint32_t engine_level(const queued_request& request, time_point now)
{
    return request.length() == length_class::short_prompt ? 0 : std::max(1U, promoted_level(request, now));
}

std::uint32_t request_rank(const queued_request& request, time_point now)
{
    const auto own = static_cast<std::uint32_t>(request.priority_class);
    return own > 0 && quarters_waited(request, now) >= 3 ? own - 1 : own;
}

std::uint32_t engine_rank(const queued_request& request, time_point now)
{
    const std::uint32_t level = engine_level(request, now);
    return level * request_class_count + (level == 0 ? request_rank(request, now) : 0);
}

std::uint32_t engine_priority(const queued_request& request, time_point now)
{
    return static_cast<std::uint32_t>(length_class_count) * request_class_count - 1 -
           engine_rank(request, now);
}

double fair_queue_clock::start_of(std::string_view team) const
{
    const auto found = m_finish.find(team);
    return found == m_finish.end() ? m_now : std::max(m_now, found->second);
}

double fair_queue_clock::push(std::string_view team, double work, double weight)
{
    const double start = start_of(team);
    m_finish.insert_or_assign(std::string(team), start + work / std::max(min_weight, weight));
    return start;
}

void fair_queue_clock::dispatched(double start)
{
    m_now = std::max(m_now, start);
}

void fair_queue_clock::reset()
{
    m_now = 0;
    m_finish.clear();
}

std::unique_ptr<scheduling_policy> make_first_come_first_served()
{
    return std::make_unique<first_come_first_served>();
}

std::unique_ptr<scheduling_policy> make_class_shares()
{
    return std::make_unique<class_shares>();
}

std::unique_ptr<scheduling_policy> make_shortest_work()
{
    return std::make_unique<shortest_work>();
}

} // namespace verbena::policy
