#include "policy/even_load.h"
#include "policy/placement.h"
#include "policy_helpers.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <set>
#include <sstream>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t endpoint_count = 60;
constexpr std::size_t domain_count = 3;
constexpr double domain_size = 20;
constexpr std::uint32_t slots = 12;
constexpr milliseconds answer_time{1'850};
constexpr milliseconds first_event_time{50}; // after the prefill
constexpr milliseconds warm_up{2'000};       // until the first answers end
constexpr milliseconds play_time{4'000};

enum class method { least_loss, even };

struct load_case {
    std::size_t deciders = 0;
    milliseconds delay{}; // until the others hear of a choice
    double per_second = 0;
    bool alone = false; // the others never hear of it
};

struct spread_result {
    double sent_to_full = 0; // part of the requests sent to an endpoint without a slot while another has one
    double late = 0;         // part of the requests whose first event came after the objective
    std::size_t most = 0;    // requests at one endpoint
    std::size_t used = 0;    // endpoints with a request at the end
};

std::ostream& operator<<(std::ostream& out, const spread_result& value)
{
    return out << "sent to full " << value.sent_to_full << ", late " << value.late << ", most " << value.most
               << ", used " << value.used;
}

struct running_request {
    policy::work_key key;
    std::size_t decider = 0;
    std::size_t endpoint = 0;
    std::vector<std::size_t> helpers;
    milliseconds prefill{};
    time_point arrival;
    time_point first_event;
    bool has_slot = false;
    bool answering = false;
    bool counts = false; // sent after the deciders have heard of each other for a while
};

// Short prompts that deciders place on endpoints in three failure domains, each knowing its own choices at
// once and those of the others after a delay.
class shared_endpoints {
public:
    shared_endpoints(const load_case& load, method how) : m_case(load), m_how(how), m_deciders(load.deciders)
    {
    }

    spread_result play()
    {
        for (milliseconds elapsed{}; elapsed < play_time; ++elapsed) {
            m_now = at(elapsed);
            deliver_notes();
            advance_requests();
            std::poisson_distribution<int> arrivals(m_case.per_second / 1'000);
            for (int left = arrivals(m_random); left > 0; --left) {
                send(m_random() % m_case.deciders, elapsed >= warm_up);
            }
        }
        const auto part = [](std::size_t count, std::size_t all) {
            return static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(all, 1));
        };
        for (const running_request& request : m_live) {
            const bool waits = request.counts && !request.answering && m_now - request.arrival > 300ms;
            m_due += waits ? 1 : 0;
            m_late += waits ? 1 : 0;
        }
        m_result.sent_to_full = part(m_sent_to_full, m_sent);
        m_result.late = part(m_late, m_due);
        m_result.used = static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                                               [](std::size_t value) { return value != 0; }));
        return m_result;
    }

private:
    enum class change { start, first_event, end };

    struct decider {
        std::vector<policy::endpoint_load> loads{endpoint_count};
        policy::unheard_sends unheard;
    };

    struct note {
        time_point due;
        change what = change::start;
        std::size_t decider = 0;
        std::size_t endpoint = 0;
        policy::work_key key;
        policy::endpoint_work work;
    };

    static std::string domain_name(std::size_t index) { return std::to_string(index % domain_count); }

    void apply(policy::endpoint_load& load, const note& value) const
    {
        switch (value.what) {
        case change::start:
            load.start(value.key, value.work, 1, m_now);
            break;
        case change::first_event:
            load.first_event(value.key, 1, m_now);
            break;
        case change::end:
            load.end(value.key, 1, m_now);
            break;
        }
    }

    void tell(change what, const running_request& request, std::size_t endpoint,
              const policy::endpoint_work& work = {})
    {
        const note value{m_now + m_case.delay, what, request.decider, endpoint, request.key, work};
        apply(m_deciders[request.decider].loads[endpoint], value);
        if (!m_case.alone) {
            m_notes.push_back(value);
        }
    }

    void deliver_notes()
    {
        for (; !m_notes.empty() && m_notes.front().due <= m_now; m_notes.pop_front()) {
            const note& value = m_notes.front();
            for (std::size_t i = 0; i < m_deciders.size(); ++i) {
                decider& other = m_deciders[i];
                if (i == value.decider) {
                    continue;
                }
                apply(other.loads[value.endpoint], value);
                if (value.what == change::start && !value.work.prefill_only) {
                    other.unheard.record(1 + value.decider, domain_name(value.endpoint), m_now);
                } else {
                    other.unheard.hear(1 + value.decider, m_now);
                }
            }
        }
    }

    time_point prefill(std::size_t endpoint, milliseconds time)
    {
        m_prefill_end[endpoint] = std::max(m_prefill_end[endpoint], m_now) + time;
        return m_prefill_end[endpoint] + first_event_time;
    }

    void begin(running_request& request)
    {
        request.has_slot = true;
        ++m_running[request.endpoint];
        request.first_event = std::max(request.first_event, prefill(request.endpoint, request.prefill));
    }

    void advance_requests()
    {
        for (running_request& request : m_live) {
            if (!request.has_slot && m_running[request.endpoint] < slots) {
                begin(request);
            }
            if (request.has_slot && !request.answering && request.first_event <= m_now) {
                request.answering = true;
                m_due += request.counts ? 1 : 0;
                m_late += request.counts && m_now - request.arrival > 300ms ? 1 : 0;
                tell(change::first_event, request, request.endpoint);
                for (const std::size_t helper : request.helpers) {
                    tell(change::end, request, helper);
                }
            }
        }
        std::erase_if(m_live, [this](const running_request& request) {
            if (!request.answering || request.first_event + answer_time > m_now) {
                return false;
            }
            tell(change::end, request, request.endpoint);
            --m_running[request.endpoint];
            --m_requests[request.endpoint];
            return true;
        });
    }

    // The candidates of the decider, in random order; `order` receives their endpoints.
    std::vector<policy::placement_candidate> candidates(std::size_t from, std::vector<std::size_t>& order)
    {
        const std::size_t first = m_random() % endpoint_count;
        std::vector<policy::placement_candidate> found;
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            const std::size_t endpoint = (first + i) % endpoint_count;
            policy::placement_candidate candidate;
            candidate.load = &m_deciders[from].loads[endpoint];
            candidate.other_domain = endpoint % domain_count != from % domain_count;
            candidate.slots = slots;
            if (m_how == method::even) {
                candidate.unheard =
                    m_deciders[from].unheard.expected(domain_name(endpoint), m_case.delay, m_now);
                candidate.slots = candidate.other_domain
                                      ? policy::lent_slots(slots, candidate.unheard / domain_size)
                                      : slots;
            } else if (candidate.other_domain) {
                candidate.slots = 9; // the others leave 0.3 free
            }
            order.push_back(endpoint);
            found.push_back(candidate);
        }
        return found;
    }

    void send(std::size_t from, bool counts)
    {
        policy::model_request model;
        model.prompt_tokens = 5'000;
        model.output_tokens = 1'368;
        model.objective = 300ms;
        model.pause = 250ms;
        model.disconnect_after = 2s;
        policy::placement_options options;
        if (m_how == method::even && m_case.alone) {
            options = policy::options_alone();
        } else if (m_how == method::even) {
            options.draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        }
        std::vector<std::size_t> order;
        const auto found = candidates(from, order);
        const auto placed = policy::place(model, m_cost, found, m_now, options);
        BOOST_TEST_REQUIRE(placed.has_value());
        running_request request;
        request.key = {1 + from, ++m_number};
        request.decider = from;
        request.endpoint = order[placed->parts.front()];
        request.arrival = m_now;
        const double prefill_ms = m_cost.prefill_ms(model.prompt_tokens, placed->parts.size());
        request.prefill = milliseconds(std::lround(prefill_ms));
        request.counts = counts;
        if (counts) {
            ++m_sent;
            const bool other_free = std::any_of(m_requests.begin(), m_requests.end(),
                                                [](std::size_t value) { return value < slots; });
            m_sent_to_full += other_free && m_requests[request.endpoint] >= slots ? 1 : 0;
        }
        m_result.most = std::max(m_result.most, ++m_requests[request.endpoint]);
        policy::endpoint_work work;
        work.prefill_ms = prefill_ms;
        work.context_tokens = model.prompt_tokens;
        work.held_tokens = model.prompt_tokens + model.output_tokens;
        work.parts = static_cast<std::uint32_t>(placed->parts.size());
        work.due = m_now + model.objective;
        work.objective = model.objective;
        work.pause = model.pause;
        work.value = model.value;
        tell(change::start, request, request.endpoint, work);
        work.prefill_only = true;
        work.held_tokens = 0;
        for (std::size_t i = 1; i < placed->parts.size(); ++i) {
            const std::size_t helper = order[placed->parts[i]];
            request.helpers.push_back(helper);
            tell(change::start, request, helper, work);
            request.first_event = std::max(request.first_event, prefill(helper, request.prefill));
        }
        if (m_running[request.endpoint] < slots) {
            begin(request);
        }
        m_live.push_back(std::move(request));
    }

    static route::engine_rule engine()
    {
        return {slots, 405'000, 38, 1.31, 0.000917, 0.00213, 154, 0.162, 2048, 0.1};
    }

    const load_case m_case;
    const method m_how;
    const policy::engine_cost m_cost{engine()};
    random_engine m_random{7};
    std::vector<decider> m_deciders;
    std::deque<note> m_notes;
    std::vector<running_request> m_live;
    std::vector<std::size_t> m_requests = std::vector<std::size_t>(endpoint_count);
    std::vector<std::size_t> m_running = std::vector<std::size_t>(endpoint_count);
    std::vector<time_point> m_prefill_end = std::vector<time_point>(endpoint_count);
    time_point m_now = at(0ms);
    std::uint64_t m_number = 0;
    std::size_t m_sent = 0;
    std::size_t m_sent_to_full = 0;
    std::size_t m_due = 0;
    std::size_t m_late = 0;
    spread_result m_result;
};

spread_result play(const load_case& load, method how)
{
    const spread_result result = shared_endpoints(load, how).play();
    BOOST_TEST_MESSAGE((how == method::even ? "even " : "least loss ")
                       << load.deciders << " deciders, " << load.delay.count()
                       << (load.alone ? " ms, alone: " : " ms: ") << result);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_even_load)

// Load: 210 short prompts a second on 720 slots, more than half of them taken. A request that is sent to an
// endpoint without a slot waits for the end of an answer, which takes longer than its objective, although
// another endpoint would have begun at once. Up to a picture of 10 ms at most one request in a hundred may be
// sent so or begin late; with an older one at most one in ten may be sent so, and one in twenty begin late.
BOOST_AUTO_TEST_CASE(deciders_with_the_same_old_picture_do_not_overrun_endpoints_while_others_have_room)
{
    for (const std::size_t deciders : {3U, 28U, 105U}) {
        for (const milliseconds delay : {0ms, 10ms, 100ms, 500ms}) {
            const load_case load{deciders, delay, 210};
            const spread_result result = play(load, method::even);
            const double most_to_full = delay <= 10ms ? 0.01 : 0.1;
            const double most_late = delay <= 10ms ? 0.01 : 0.05;
            std::ostringstream text;
            text << deciders << " deciders, " << delay.count() << " ms, " << result;
            BOOST_TEST(result.sent_to_full <= most_to_full, text.str());
            BOOST_TEST(result.late <= most_late, text.str());
        }
    }
}

// Shows that these bounds tell the methods apart: the least expected loss sends all deciders to the same
// endpoints as soon as the picture is a tenth of a second old, or 28 choose with one of 10 ms.
BOOST_AUTO_TEST_CASE(the_least_loss_alone_overruns_endpoints)
{
    for (const load_case& load : {load_case{28, 10ms, 210}, load_case{105, 10ms, 210}}) {
        BOOST_TEST(play(load, method::least_loss).sent_to_full > 0.01);
    }
    for (const load_case& load : {load_case{28, 100ms, 210}, load_case{105, 100ms, 210},
                                  load_case{28, 500ms, 210}, load_case{105, 500ms, 210}}) {
        const spread_result result = play(load, method::least_loss);
        BOOST_TEST(result.sent_to_full > 0.1);
        BOOST_TEST(result.late > 0.1);
    }
}

// Load: no scheduler answers, and each entry knows its own work only. At 90 prompts a second a quarter of the
// slots are taken, so no endpoint needs to be full.
BOOST_AUTO_TEST_CASE(entries_that_choose_alone_do_not_overrun_endpoints_together)
{
    BOOST_TEST(play({28, 10ms, 90, true}, method::least_loss).sent_to_full > 0.01);
    for (const std::size_t deciders : {28U, 105U}) {
        const spread_result result = play({deciders, 10ms, 90, true}, method::even);
        BOOST_TEST(result.sent_to_full <= 0.01);
        BOOST_TEST(result.late <= 0.01);
    }
}

// Guards against spreading where the picture is fresh: answers with short pauses have to leave endpoints free
// for long prompts. Of 60 endpoints, 15 have the slots for 90 prompts a second.
BOOST_AUTO_TEST_CASE(schedulers_with_a_fresh_picture_leave_endpoints_free)
{
    const spread_result result = play({3, 10ms, 90}, method::even);
    BOOST_TEST(result.used <= 30U);
    BOOST_TEST(result.sent_to_full <= 0.01);
}

// Guards against counting a decider that has stopped, and against forgetting one that is late with its notes.
BOOST_AUTO_TEST_CASE(unheard_sends_follow_the_rate_and_the_age_of_the_notes)
{
    policy::unheard_sends sends;
    for (int ms = 0; ms < 2'000; ms += 10) {
        sends.record(1, "a", at(milliseconds(ms)));
    }
    BOOST_TEST(sends.expected("b", 10ms, at(2s)) == 0);
    BOOST_TEST(sends.expected("a", 10ms, at(1'990ms)) == 1, boost::test_tools::tolerance(0.05));
    BOOST_TEST(sends.expected("a", 100ms, at(1'990ms)) == 10, boost::test_tools::tolerance(0.05));
    // No note for 50 ms, where one has come each 10 ms.
    BOOST_TEST(sends.expected("a", 10ms, at(2'040ms)) > 3);
    sends.hear(1, at(2'040ms));
    BOOST_TEST(sends.expected("a", 10ms, at(2'040ms)) < 1);
    BOOST_TEST(sends.expected("a", 10ms, at(4s)) == 0);
    sends.hear(1, at(5s));
    BOOST_TEST(sends.expected("a", 10ms, at(5s)) < 0.001);
    sends.record(1, "a", at(6s));
    sends.remove(1);
    BOOST_TEST(sends.expected("a", 10ms, at(6s)) == 0);
}

// Guards against an even choice that ignores the loss: only endpoints within the tolerance are taken, as many
// as have room, and a full one only if all are.
BOOST_AUTO_TEST_CASE(takes_as_many_of_the_best_as_have_room)
{
    const auto chosen = [](const std::vector<policy::even_candidate>& candidates) {
        std::set<std::size_t> found;
        for (int i = 0; i < 100; ++i) {
            found.insert(policy::choose_with_room(candidates, 0.4, i / 100.0));
        }
        return found;
    };
    const std::set<std::size_t> fresh = chosen({{0.2, 3, 0}, {0.1, 2, 0}, {0.3, 12, 0}});
    BOOST_TEST(fresh == std::set<std::size_t>{1}, boost::test_tools::per_element());
    const std::set<std::size_t> full = chosen({{0.2, 3, 0}, {0.1, 0, 0}, {0.9, 12, 0}});
    BOOST_TEST(full == std::set<std::size_t>{0}, boost::test_tools::per_element());
    const std::set<std::size_t> shared = chosen({{0.2, 6, 4}, {0.1, 2, 4}, {0.3, 6, 4}, {0.9, 12, 4}});
    BOOST_TEST(shared == (std::set<std::size_t>{0, 2}), boost::test_tools::per_element());
    const std::set<std::size_t> none = chosen({{0.2, 0, 4}, {0.1, 0, 4}});
    BOOST_TEST(none == std::set<std::size_t>{1}, boost::test_tools::per_element());
}

// Guards against a reserve that does not follow the need: an idle domain lends all slots, a busy one whose
// notes are old keeps the more the older they are.
BOOST_AUTO_TEST_CASE(lends_the_slots_that_the_other_domain_does_not_need)
{
    BOOST_TEST(policy::lent_slots(12, 0) == 12U);
    BOOST_TEST(policy::lent_slots(12, 0.02) == 12U);
    BOOST_TEST(policy::lent_slots(12, 0.15) == 11U);
    BOOST_TEST(policy::lent_slots(12, 0.75) == 10U);
    BOOST_TEST(policy::lent_slots(12, 4) == 4U);
    BOOST_TEST(policy::lent_slots(12, 12) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
