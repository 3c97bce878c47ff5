#include "policy/retry_grants.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;
using policy::retry_cause;
using policy::retry_verdict;

namespace {

constexpr const char* service = "m";

// 28 entries take 120 requests a second; a sixth of their endpoints is dark for 5 s. A request to one of
// these is silent: 1 s later its entry wants to ask another endpoint, for callers that leave 2 s after that.
class dark_endpoints {
public:
    static constexpr std::size_t entries = 28;
    static constexpr double ratio = 0.2;
    static constexpr double slack = 20;

    // As each entry decides by its part of 0.8 of the budget, or as the schedulers do with 0.6 and the
    // entries with 0.2.
    explicit dark_endpoints(bool granted) : m_granted(granted)
    {
        policy::retry_budget_options options;
        options.share = ratio * (granted ? 0.2 : 0.8);
        options.min_retries = static_cast<std::uint32_t>(slack * (granted ? 0.2 : 0.8) / entries);
        m_budgets.assign(entries, policy::retry_budget(options));
        m_scheduler_of.assign(entries, 0);
        m_schedulers.emplace_back(policy::retry_grant_options{ratio * 0.6, slack * 0.6 / entries});
    }

    // From `time` on a scheduler that has not decided so far decides for the entries from `first` on. The
    // former one knows that they have left.
    void replace_scheduler(milliseconds time, std::size_t first)
    {
        m_events.emplace(time, [this, first, time] {
            m_schedulers.emplace_back(policy::retry_grant_options{ratio * 0.6, slack * 0.6 / entries});
            m_schedulers.back().begin(at(time));
            for (std::size_t i = first; i < entries; ++i) {
                m_schedulers[m_scheduler_of[i]].remove(i + 1, at(time));
                m_scheduler_of[i] = m_schedulers.size() - 1;
            }
        });
    }

    // One of `dark` endpoints is dark.
    void play(milliseconds dark_from, milliseconds end, std::uint64_t dark = 6)
    {
        random_engine random(5);
        std::multimap<milliseconds, request> due; // silent requests
        for (milliseconds now{}; now < end; now += 1ms) {
            for (auto event = m_events.begin(); event != m_events.end() && event->first <= now;) {
                event->second();
                event = m_events.erase(event);
            }
            if (below(random, 1'000) < 120) {
                const request made{below(random, entries), below(random, 4) == 0 ? 40.0 : 10.0};
                m_budgets[made.entry].record_request("", service, at(now));
                state_own_counts(made.entry, now);
                m_requests.push_back(now);
                const bool is_dark = below(random, dark) == 0;
                if (is_dark && now >= dark_from && now < dark_from + 5s) {
                    due.emplace(now + 1s, made);
                }
            }
            for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) {
                const bool sent = repeat(due.begin()->second, now);
                (sent ? answered : lost) += 1;
                (sent ? answered_value : lost_value) += due.begin()->second.value;
                if (sent) {
                    m_repeats.push_back(now);
                }
            }
        }
    }

    // The greatest part of the rule's bound that the repeats of any window use.
    double most_used() const
    {
        const auto within = [](const std::vector<milliseconds>& times, milliseconds from) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), from + 10s) -
                                       std::lower_bound(times.begin(), times.end(), from));
        };
        double most = 0;
        for (const milliseconds from : m_repeats) {
            most = std::max(most, within(m_repeats, from) / (ratio * within(m_requests, from) + slack));
        }
        return most;
    }

    int answered = 0;
    int lost = 0;
    double answered_value = 0;
    double lost_value = 0;

private:
    struct request {
        std::size_t entry = 0;
        double value = 0;
    };

    void state_own_counts(std::size_t entry, milliseconds now)
    {
        const auto counts = m_budgets[entry].service_counts(service, at(now));
        m_schedulers[m_scheduler_of[entry]].hear(service, entry + 1, {counts.requests, counts.retries},
                                                 at(now));
    }

    bool repeat(const request& made, milliseconds now)
    {
        policy::retry_budget& own = m_budgets[made.entry];
        if (!m_granted) {
            return own.try_retry("", service, at(now), retry_cause::silent);
        }
        state_own_counts(made.entry, now);
        const retry_verdict verdict = m_schedulers[m_scheduler_of[made.entry]].decide(
            service, retry_cause::silent, made.value, at(now));
        if (verdict == retry_verdict::granted) {
            own.record_retry("", service, at(now));
        }
        return verdict == retry_verdict::granted ||
               (verdict == retry_verdict::undecided && own.try_retry("", service, at(now)));
    }

    bool m_granted;
    std::vector<policy::retry_budget> m_budgets;
    std::vector<policy::retry_grants> m_schedulers;
    std::vector<std::size_t> m_scheduler_of;
    std::multimap<milliseconds, std::function<void()>> m_events;
    std::vector<milliseconds> m_requests;
    std::vector<milliseconds> m_repeats;
};

policy::retry_grants with_entries(std::uint32_t requests, std::uint32_t repeats)
{
    policy::retry_grants grants({0.1, 0});
    grants.hear(service, 1, {requests, repeats}, at(10s));
    return grants;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_retry_grants)

// Guards against callers of silent endpoints who are given up because the part of one entry is used up while
// the budget of all suffices.
BOOST_AUTO_TEST_CASE(all_silent_requests_are_repeated_while_the_budget_suffices)
{
    dark_endpoints before(false);
    before.play(12s, 30s);
    dark_endpoints now(true);
    now.play(12s, 30s);
    BOOST_TEST_MESSAGE("repeated: " << before.answered << " before, " << now.answered << " now, of "
                                    << now.answered + now.lost);
    BOOST_TEST(before.lost > 25);
    BOOST_TEST(now.lost == 0);
    BOOST_TEST(now.most_used() <= 1.0);
}

// Guards against more repeats than the rule allows while schedulers take over from each other, and against
// fewer repeats than if each entry decided meanwhile.
BOOST_AUTO_TEST_CASE(replaced_schedulers_keep_the_budget)
{
    for (const std::uint64_t dark : {6U, 1U}) {
        dark_endpoints play(true);
        for (const milliseconds time : {13'500ms, 15'500ms, 17'000ms}) {
            play.replace_scheduler(time, 0);
        }
        play.play(12s, 30s, dark);
        dark_endpoints before(false);
        before.play(12s, 30s, dark);
        BOOST_TEST_MESSAGE("repeated " << before.answered << " before, " << play.answered << " of "
                                       << play.answered + play.lost << ", most used " << play.most_used()
                                       << ", before " << before.most_used());
        BOOST_TEST(play.most_used() <= 1.0);
        BOOST_TEST(play.answered > before.answered);
    }
}

// Guards against two sides of a cut that both use the whole budget.
BOOST_AUTO_TEST_CASE(both_sides_of_a_cut_keep_the_budget)
{
    for (const std::uint64_t dark : {6U, 1U}) {
        dark_endpoints play(true);
        play.replace_scheduler(14s, 18);
        play.replace_scheduler(16s, 0);
        play.play(12s, 30s, dark);
        BOOST_TEST_MESSAGE("repeated " << play.answered << ", most used " << play.most_used());
        BOOST_TEST(play.most_used() <= 1.0);
    }
}

// Guards against a budget that goes to the first to ask when it does not suffice for all.
BOOST_AUTO_TEST_CASE(the_last_half_goes_to_the_more_valuable)
{
    policy::retry_grants grants = with_entries(1'000, 0); // 100 repeats
    std::map<double, int> granted;
    for (int i = 0; i < 400; ++i) {
        const double worth = i % 2 == 0 ? 1 : 10;
        const auto verdict = grants.decide(service, retry_cause::silent, worth, at(10s));
        granted[worth] += verdict == retry_verdict::granted ? 1 : 0;
    }
    BOOST_TEST(granted[1] + granted[10] == 100);
    BOOST_TEST(granted[10] > 60);
}

// Guards against lost answers that are not repeated because silent attempts have used up the budget.
BOOST_AUTO_TEST_CASE(lost_answers_come_before_silent_attempts)
{
    policy::retry_grants grants = with_entries(1'000, 70);
    for (int i = 0; i < 4; ++i) {
        const auto verdict = grants.decide(service, retry_cause::silent, 10, at(10s));
        BOOST_TEST((verdict == retry_verdict::granted));
    }
    BOOST_TEST((grants.decide(service, retry_cause::silent, 1, at(10s)) == retry_verdict::refused));
    BOOST_TEST((grants.decide(service, retry_cause::lost, 1, at(10s)) == retry_verdict::granted));
}

// Guards against repeats for callers who have left when the second answer begins.
BOOST_AUTO_TEST_CASE(hopeless_attempts_are_worth_nothing)
{
    policy::model_request request;
    request.value = 8;
    request.objective = 1'000ms;
    request.used = 400ms;
    request.disconnect_after = 2'000ms;
    BOOST_TEST(policy::repeat_worth(request, 300ms, 9s, false) == 8.0);
    BOOST_TEST(policy::repeat_worth(request, 700ms, 9s, false) == 2.0); // answered, but late
    BOOST_TEST(policy::repeat_worth(request, 700ms, 9s, true) == 8.0);
    BOOST_TEST(policy::repeat_worth(request, 300ms, 300ms, true) == 0.0);
    policy::retry_grants grants = with_entries(1'000, 0);
    BOOST_TEST((grants.decide(service, retry_cause::lost, 0, at(10s)) == retry_verdict::refused));
}

// Guards against a new scheduler that decides before the entries have told it what they have sent, and
// against the repeats of an entry that are forgotten when it moves to another scheduler.
BOOST_AUTO_TEST_CASE(what_is_not_known_is_not_granted)
{
    policy::retry_grants grants = with_entries(1'000, 0);
    grants.begin(at(10s));
    BOOST_TEST((grants.decide(service, retry_cause::lost, 1, at(10'400ms)) == retry_verdict::undecided));
    BOOST_TEST((grants.decide(service, retry_cause::lost, 1, at(11s)) == retry_verdict::granted));
    BOOST_TEST((grants.decide("other", retry_cause::lost, 1, at(11s)) == retry_verdict::undecided));
    grants.hear(service, 2, {10, 40}, at(11s));
    grants.remove(2, at(12s));
    BOOST_TEST(grants.state_of(service, at(12s)).limit == 100.0);
    BOOST_TEST(grants.state_of(service, at(12'500ms)).used == 40.0);
    BOOST_TEST(grants.state_of(service, at(22'500ms)).used == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
