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

    bool decide(std::vector<caller>& waiting, std::size_t index, milliseconds now)
    {
        policy::slot_supply supply;
        for (const auto& ends : m_busy) {
            supply.free += slots - ends.size();
        }
        const auto used = static_cast<double>(endpoint_count * slots - supply.free);
        supply.freed_per_ms = used / mean_answer_ms;
        std::vector<policy::waiting_prompt> queue;
        queue.reserve(waiting.size());
        for (const caller& item : waiting) {
            queue.push_back({{1, item.number}, at(item.arrival + objective), 50, 10});
        }
        const caller own = waiting[index];
        const milliseconds waited = now - own.arrival;
        const policy::slot_decision decision =
            policy::decide_slot(queue, {1, own.number}, supply, disconnect - waited - first_event, at(now));
        if (decision.action == policy::slot_action::wait) {
            return false;
        }
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        if (decision.action == policy::slot_action::refuse) {
            ++m_outcome.refused;
            m_outcome.longest_until_refused = std::max(m_outcome.longest_until_refused, waited);
            return true;
        }
        const auto free =
            std::find_if(m_busy.begin(), m_busy.end(), [](const auto& ends) { return ends.size() < slots; });
        BOOST_TEST_REQUIRE((free != m_busy.end()));
        free->push_back(now + own.answer);
        count(waited);
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
