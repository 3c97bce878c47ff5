#include "policy/slot_queue.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds objective{300};
constexpr milliseconds disconnect{2'000};
constexpr milliseconds first_event{50}; // at an endpoint with a free slot
constexpr std::size_t endpoint_count = 10;
constexpr std::size_t slots = 4;
constexpr double mean_answer_ms = 1'400;

struct caller {
    std::uint64_t number = 0;
    milliseconds arrival{};
    milliseconds answer{}; // time that the answer occupies a slot
};

struct outcome {
    std::size_t in_time = 0;
    std::size_t late = 0; // answered before the caller disconnects
    std::size_t lost = 0; // disconnected without an event
    std::size_t refused = 0;
    milliseconds longest_until_refused{};
};

// Callers that arrive at random at `load` times the rate that all slots together can serve.
std::vector<caller> make_callers(double load, milliseconds duration)
{
    random_engine random(1);
    std::vector<caller> callers;
    const double gap_ms = mean_answer_ms / static_cast<double>(endpoint_count * slots) / load;
    double next_ms = 0;
    while (next_ms < static_cast<double>(duration.count())) {
        next_ms -= gap_ms * std::log(static_cast<double>(below(random, 1'000) + 1) / 1'001);
        const milliseconds answer(300 + below(random, 2'201));
        callers.push_back({callers.size() + 1, milliseconds(static_cast<std::int64_t>(next_ms)), answer});
    }
    return callers;
}

// Endpoints with slots on a virtual clock of 5 ms.
class play {
public:
    // Requests wait in one queue until decide_slot() gives them a slot.
    outcome bind_late(const std::vector<caller>& callers)
    {
        std::vector<caller> waiting;
        run(callers, [&](const caller* arrived, milliseconds now) {
            if (arrived != nullptr) {
                waiting.push_back(*arrived);
                return;
            }
            for (std::size_t i = 0; i < waiting.size();) {
                i += decide(waiting, i, now) ? 0 : 1;
            }
        });
        return m_outcome;
    }

    // The first `endpoints` prefill a long prompt for `prefill` each second, before all others.
    play& with_long_prompts(std::size_t endpoints, milliseconds prefill)
    {
        m_slow_endpoints = endpoints;
        m_long_prefill = prefill;
        return *this;
    }

    // The queue counts all free slots alike and leaves it to the endpoints when to begin.
    play& counting_all_slots()
    {
        m_counts_all = true;
        return *this;
    }

    // Each request is bound at its arrival to the endpoint with the fewest requests and waits there.
    outcome bind_early(const std::vector<caller>& callers)
    {
        run(callers, [&](const caller* arrived, milliseconds now) {
            if (arrived == nullptr) {
                return;
            }
            auto& chosen = *std::min_element(m_busy.begin(), m_busy.end(), [](const auto& a, const auto& b) {
                return a.size() < b.size();
            });
            milliseconds start = now;
            if (chosen.size() >= slots) {
                std::sort(chosen.begin(), chosen.end());
                start = chosen[chosen.size() - slots];
            }
            chosen.push_back(start + arrived->answer);
            count(start - arrived->arrival);
        });
        return m_outcome;
    }

private:
    template <typename Step>
    void run(const std::vector<caller>& callers, const Step& step)
    {
        auto next = callers.begin();
        const milliseconds end = callers.back().arrival + disconnect;
        for (milliseconds now{}; now < end; now += 5ms) {
            for (auto& ends : m_busy) {
                std::erase_if(ends, [now](milliseconds end_of_answer) { return end_of_answer <= now; });
            }
            for (; next != callers.end() && next->arrival <= now; ++next) {
                step(&*next, now);
            }
            step(nullptr, now);
        }
    }

    // Time until an endpoint has prefilled its long prompt.
    milliseconds backlog(std::size_t endpoint, milliseconds now) const
    {
        const milliseconds since = now % 1'000ms;
        return endpoint < m_slow_endpoints && since < m_long_prefill ? m_long_prefill - since : 0ms;
    }

    policy::slot_supply find_supply(milliseconds now) const
    {
        policy::slot_supply supply;
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            const std::size_t used = m_busy[i].size();
            const milliseconds first = backlog(i, now) + first_event;
            const bool quick = m_counts_all || first <= objective;
            supply.freed_anywhere_per_ms += static_cast<double>(used) / mean_answer_ms;
            supply.freed_per_ms += quick ? static_cast<double>(used) / mean_answer_ms : 0;
            supply.free += quick ? slots - used : 0;
            if (!quick && used < slots) {
                supply.slow_first_event = std::min(supply.slow_first_event.value_or(first), first);
            }
        }
        return supply;
    }

    // The endpoint with a free slot that is quick, or not, and fills first.
    std::size_t choose(bool quick, milliseconds now) const
    {
        std::size_t best = endpoint_count;
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            const bool is_quick = m_counts_all || backlog(i, now) + first_event <= objective;
            if (m_busy[i].size() < slots && is_quick == quick &&
                (best == endpoint_count || backlog(i, now) < backlog(best, now))) {
                best = i;
            }
        }
        return best;
    }

    bool decide(std::vector<caller>& waiting, std::size_t index, milliseconds now)
    {
        std::vector<policy::waiting_prompt> queue;
        queue.reserve(waiting.size());
        for (const caller& item : waiting) {
            queue.push_back({{1, item.number}, at(item.arrival + objective), 50, 10});
        }
        const caller own = waiting[index];
        const milliseconds waited = now - own.arrival;
        const policy::slot_decision decision = policy::decide_slot(
            queue, {1, own.number}, find_supply(now), disconnect - waited - first_event, at(now));
        if (decision.action == policy::slot_action::wait) {
            return false;
        }
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        if (decision.action == policy::slot_action::refuse) {
            ++m_outcome.refused;
            m_outcome.longest_until_refused = std::max(m_outcome.longest_until_refused, waited);
            return true;
        }
        const std::size_t chosen = choose(decision.action == policy::slot_action::take, now);
        BOOST_TEST_REQUIRE(chosen < endpoint_count);
        const milliseconds start = now + backlog(chosen, now);
        m_busy[chosen].push_back(start + own.answer);
        count(start - own.arrival);
        return true;
    }

    void count(milliseconds waited)
    {
        const milliseconds answered = waited + first_event;
        ++(answered <= objective    ? m_outcome.in_time
           : answered <= disconnect ? m_outcome.late
                                    : m_outcome.lost);
    }

    std::vector<std::vector<milliseconds>> m_busy{endpoint_count}; // ends of the answers, by endpoint
    std::size_t m_slow_endpoints = 0;
    milliseconds m_long_prefill{};
    bool m_counts_all = false;
    outcome m_outcome;
};

policy::waiting_prompt waiter(std::uint64_t number, milliseconds due, double value = 10)
{
    return {{1, number}, at(due), 50, value};
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_slot_queue)

// Guards against requests that wait at an endpoint whose slots are taken while another one has a free slot:
// at 95% of the capacity nine of ten callers are to get their first event in time.
BOOST_AUTO_TEST_CASE(nearly_full_slots_still_serve_callers_in_time)
{
    const std::vector<caller> callers = make_callers(0.95, 30s);
    const outcome late_binding = play().bind_late(callers);
    const outcome early_binding = play().bind_early(callers);
    BOOST_TEST_MESSAGE("in time " << late_binding.in_time << " and " << early_binding.in_time << " of "
                                  << callers.size());
    BOOST_TEST(late_binding.in_time * 10 >= callers.size() * 9);
    BOOST_TEST(early_binding.in_time * 10 < callers.size() * 9);
    BOOST_TEST(late_binding.refused + late_binding.lost == 0U);
}

// Guards against an overload that makes every answer late: with three callers for two slots, most of the
// slots go to callers that are still in time, and nobody is kept until it disconnects.
BOOST_AUTO_TEST_CASE(overload_defers_some_callers_instead_of_delaying_all)
{
    const std::vector<caller> callers = make_callers(1.5, 20s);
    const outcome late_binding = play().bind_late(callers);
    const outcome early_binding = play().bind_early(callers);
    BOOST_TEST_MESSAGE("in time " << late_binding.in_time << " and " << early_binding.in_time << ", late "
                                  << late_binding.late << " and " << early_binding.late << ", refused "
                                  << late_binding.refused << " of " << callers.size());
    BOOST_TEST(late_binding.in_time * 2 >= callers.size());
    BOOST_TEST(early_binding.in_time * 2 < callers.size());
    BOOST_TEST(late_binding.lost == 0U);
    BOOST_TEST((late_binding.longest_until_refused < disconnect));
}

// Guards against free slots at endpoints that prefill long prompts for longer than the objective: a request
// that waits a little for a slot elsewhere is in time, and one that can't be in time gets its late answer.
BOOST_AUTO_TEST_CASE(slots_behind_long_prompts_do_not_count_as_free)
{
    const std::vector<caller> callers = make_callers(0.8, 20s);
    const outcome by_time = play().with_long_prompts(5, 700ms).bind_late(callers);
    const outcome by_slots = play().with_long_prompts(5, 700ms).counting_all_slots().bind_late(callers);
    BOOST_TEST_MESSAGE("in time " << by_time.in_time << " and " << by_slots.in_time << ", late "
                                  << by_time.late << " and " << by_slots.late << ", refused "
                                  << by_time.refused << " and " << by_slots.refused << " of "
                                  << callers.size());
    BOOST_TEST(by_time.in_time > by_slots.in_time);
    BOOST_TEST(by_time.refused + by_time.lost == 0U);
}

// Guards against a request that is held until it is late although nothing else can serve it in time.
BOOST_AUTO_TEST_CASE(takes_a_slow_slot_when_no_other_comes_in_time)
{
    const std::vector<policy::waiting_prompt> waiting{waiter(1, 300ms)};
    const auto decide = [&](double freed_per_ms, milliseconds slow_first_event) {
        const policy::slot_supply supply{0, freed_per_ms, freed_per_ms, slow_first_event};
        return policy::decide_slot(waiting, {1, 1}, supply, 2s, at(0ms)).action;
    };
    BOOST_TEST((decide(0.01, 400ms) == policy::slot_action::wait));       // a slot in 100 ms is in time
    BOOST_TEST((decide(0.002, 400ms) == policy::slot_action::take_slow)); // one in 500 ms is later
    BOOST_TEST((decide(0.002, 900ms) == policy::slot_action::wait));      // and here it is earlier
}

// Guards against slots kept for the schedulers of other domains that stay free while a caller becomes late,
// and against their use by requests that can wait or are late in any case.
BOOST_AUTO_TEST_CASE(takes_a_reserved_slot_only_to_be_in_time)
{
    const std::vector<policy::waiting_prompt> waiting{waiter(1, -10ms), waiter(2, 300ms),
                                                      waiter(3, 310ms, 5)};
    const auto action = [&](std::uint64_t number, double freed_per_ms) {
        const policy::slot_supply supply{0, freed_per_ms, freed_per_ms, std::nullopt, 1};
        return policy::decide_slot(waiting, {1, number}, supply, 60s, at(0ms)).action;
    };
    BOOST_TEST((action(2, 0.01) == policy::slot_action::wait)); // a slot in 100 ms is in time
    BOOST_TEST((action(2, 0.001) == policy::slot_action::take_reserved));
    BOOST_TEST((action(3, 0.001) == policy::slot_action::wait)); // there is one only
    BOOST_TEST((action(1, 0.001) == policy::slot_action::wait)); // late in any case
}

// Guards against a caller that is kept waiting although its slot cannot come before it disconnects, and
// against a time to return that does not follow the queue.
BOOST_AUTO_TEST_CASE(refuses_at_once_when_the_queue_is_too_long)
{
    std::vector<policy::waiting_prompt> waiting;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        waiting.push_back(waiter(number, -1ms * static_cast<int>(number)));
    }
    const policy::slot_supply supply{0, 0.01}; // one slot in 100 ms
    const auto last = policy::decide_slot(waiting, {1, 1}, supply, 2s, at(0ms));
    BOOST_TEST((last.action == policy::slot_action::refuse));
    BOOST_TEST((last.start_after == 10s));
    const auto first = policy::decide_slot(waiting, {1, 100}, supply, 2s, at(0ms));
    BOOST_TEST((first.action == policy::slot_action::wait));
    BOOST_TEST((first.start_after == 100ms));
}

// Guards against a free slot that goes to a request that is already late, or worth less, while another one
// could still be in time.
BOOST_AUTO_TEST_CASE(gives_the_free_slot_to_the_most_valuable_that_can_be_in_time)
{
    const std::vector<policy::waiting_prompt> waiting{waiter(1, -10ms), waiter(2, 100ms, 1),
                                                      waiter(3, 110ms)};
    const policy::slot_supply supply{1, 0.001};
    const auto action = [&](std::uint64_t number) {
        return policy::decide_slot(waiting, {1, number}, supply, 60s, at(0ms)).action;
    };
    BOOST_TEST((action(1) == policy::slot_action::wait));
    BOOST_TEST((action(2) == policy::slot_action::wait));
    BOOST_TEST((action(3) == policy::slot_action::take));
}

BOOST_AUTO_TEST_SUITE_END()
