#include "base/random.h"
#include "policy/scaling.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <random>
#include <vector>

using namespace verbena;
using namespace std::chrono_literals;
using policy::scaling_sample;
using policy::service_scaling;

namespace {

constexpr std::uint32_t slots = 4;
constexpr policy::scaling_limits limits{2, 20, 10s, 2s};
const time_point start = time_point{} + 1h;

// A service in three failure domains, second by second. A request occupies a place for one second; what finds
// no place waits, and those that wait for longer than a second are late. Orders take effect after the boot
// time and `order_delay`.
struct play {
    struct zone {
        std::uint32_t ready = 6;
        std::uint32_t ordered = 6;
        std::deque<std::pair<time_point, std::uint32_t>> orders;
        bool lost = false;
        bool silent = false;
    };

    service_scaling scaling{limits};
    std::map<std::string, zone> zones{{"a", {}}, {"b", {}}, {"c", {}}};
    time_point now = start;
    milliseconds order_delay{};
    double waiting = 0;
    double served = 0;
    double late = 0;
    std::uint32_t ups = 0;
    std::uint32_t downs = 0;
    std::vector<double> works;        // by second
    std::vector<std::uint32_t> needs; // endpoints for each domain at 0.7 of their places, by second

    std::uint32_t ready() const
    {
        std::uint32_t count = 0;
        for (const auto& [name, value] : zones) {
            count += value.lost ? 0 : value.ready;
        }
        return count;
    }

    std::uint32_t ordered() const
    {
        std::uint32_t count = 0;
        for (const auto& [name, value] : zones) {
            count += value.ordered;
        }
        return count;
    }

    void carry_out(zone& value)
    {
        while (!value.orders.empty() && value.orders.front().first <= now) {
            value.ready = value.orders.front().second;
            value.orders.pop_front();
        }
    }

    void order()
    {
        for (const auto& [name, count] : scaling.desired(now)) {
            zone& value = zones[name];
            if (count == value.ordered) {
                continue;
            }
            const bool up = count > value.ordered;
            (up ? ups : downs) += 1;
            value.orders.emplace_back(now + order_delay + (up ? limits.boot_time : 0ms), count);
            value.ordered = count;
        }
    }

    void step(double requests)
    {
        for (auto& [name, value] : zones) {
            carry_out(value);
        }
        const double places = slots * ready();
        const double wanted = requests + waiting;
        const double done = std::min(wanted, places);
        const double late_now = std::min(waiting, done);
        waiting = wanted - done;
        served += done;
        late += late_now;
        double in_work_sum = 0;
        double waiting_sum = 0;
        for (auto& [name, value] : zones) {
            const double share = value.lost || ready() == 0 ? 0 : static_cast<double>(value.ready) / ready();
            scaling_sample sample;
            sample.ready = value.lost ? 0 : value.ready;
            sample.starting = value.lost || value.ordered < value.ready ? 0 : value.ordered - value.ready;
            sample.slots = sample.ready * slots;
            sample.in_work = static_cast<std::uint32_t>(done * share);
            sample.waiting = static_cast<std::uint32_t>(waiting * share);
            sample.answered = sample.in_work;
            in_work_sum += sample.in_work;
            waiting_sum += sample.waiting;
            sample.late = static_cast<std::uint32_t>(late_now * share);
            if (!value.silent) {
                scaling.record(name, sample, now);
            }
        }
        works.push_back(in_work_sum + std::min(waiting_sum, in_work_sum));
        const double need = std::ceil(expected_work() / (slots * 0.7) - 1e-9);
        needs.push_back(static_cast<std::uint32_t>(std::ceil(need / static_cast<double>(zones.size()))));
        order();
        now += 1s;
    }

    // The load that the rule expects after the reaction time of 12 s: it goes on as it has risen from each
    // quarter of that time to the next, if that is more than its usual variation.
    double expected_work() const
    {
        constexpr std::size_t remembered = 13;
        if (works.size() < remembered) {
            return works.back();
        }
        const auto mean = [end = works.end()](std::ptrdiff_t first, std::ptrdiff_t last) {
            return std::accumulate(end - first, end - last, 0.0) / static_cast<double>(first - last);
        };
        const std::array<double, 4> means{mean(13, 10), mean(10, 7), mean(7, 4), mean(4, 0)};
        const double rise = std::min({means[1] - means[0], means[2] - means[1], means[3] - means[2]});
        if (3 * rise < 2 * std::sqrt(std::max(means[0], 1.0))) {
            return works.back();
        }
        return std::clamp(means[3] + 4.5 * rise, works.back(), 1.5 * works.back());
    }

    // Changes of the number of a domain that the rule gives for the load in the seconds from `first` on: it
    // rises to the need at once, and falls, a fifth at a time and every half hold time, to the largest need
    // of the hold time and one more, unless that is more than the long hold time has needed.
    std::uint32_t changes_by_rule(std::size_t first) const
    {
        constexpr std::size_t hold = 30; // twice the reaction time of 12 s, and at least 30 s
        constexpr std::size_t long_hold = 600;
        const auto largest = [this](std::size_t second, std::size_t length) {
            const auto last = needs.begin() + static_cast<std::ptrdiff_t>(second) + 1;
            return *std::max_element(last - static_cast<std::ptrdiff_t>(std::min(second, length)) - 1, last);
        };
        std::uint32_t number = zone{}.ready;
        std::uint32_t changes = 0;
        std::size_t fell = 0;
        for (std::size_t second = 0; second < needs.size(); ++second) {
            const std::uint32_t previous = number;
            number = std::max(number, needs[second]);
            const std::uint32_t kept = std::min(largest(second, hold) + 1, largest(second, long_hold));
            if (kept < number && second - fell >= hold / 2) {
                number = std::max(kept, number - std::max(number / 5, 1U));
                fell = second;
            }
            changes += second >= first && number != previous ? 1 : 0;
        }
        return changes;
    }

    void run(int seconds, const std::function<double(int)>& requests)
    {
        for (int second = 0; second < seconds; ++second) {
            step(requests(second));
        }
    }

    void run(int seconds, double requests)
    {
        run(seconds, [requests](int) { return requests; });
    }

    // Forgets what has happened so far.
    void reset_counts() { served = late = ups = downs = 0; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_scaling)

// Guards against numbers that change though the load varies only as arrivals do.
BOOST_AUTO_TEST_CASE(even_load_keeps_its_number)
{
    play day;
    day.run(200, 48);
    day.reset_counts();
    day.run(600, [](int second) { return 48 + 7 * std::sin(second * 1.7) + 4 * std::sin(second * 0.61); });
    BOOST_TEST(day.ups + day.downs <= 3U);
    BOOST_TEST(day.late == 0);
    BOOST_TEST(day.ordered() <= 27U);
}

// The same for arrivals at random, of which some seconds are late.
BOOST_AUTO_TEST_CASE(random_arrivals_do_not_make_the_number_flap)
{
    play day;
    random_engine random(3);
    std::poisson_distribution<int> arrivals(48);
    const auto load = [&](int) { return static_cast<double>(arrivals(random)); };
    day.run(200, load);
    day.reset_counts();
    const std::size_t first = day.needs.size();
    day.run(1'200, load);
    const std::uint32_t by_rule = 3 * day.changes_by_rule(first);
    BOOST_TEST(day.ups + day.downs <= by_rule);
    BOOST_TEST(by_rule <= 30U, "a change of a domain in two minutes");
    BOOST_TEST(day.late <= 0.001 * day.served);
    BOOST_TEST(day.ordered() <= 33U);
}

// Guards against a step up that is met late, in small parts, or by more than it needs.
BOOST_AUTO_TEST_CASE(step_up_is_met_after_one_boot)
{
    play day;
    day.run(120, 40);
    const std::uint32_t before = day.ordered();
    day.reset_counts();
    day.run(2, 120);
    BOOST_TEST(day.ordered() >= 30U, "places for the new load are ordered at once");
    day.run(28, 120);
    BOOST_TEST(day.waiting == 0);
    day.reset_counts();
    day.run(200, 120);
    BOOST_TEST(day.late == 0);
    BOOST_TEST(day.ordered() > before);
    BOOST_TEST(day.ordered() <= 54U, "a step is not taken for a rise that goes on");
    BOOST_TEST(day.ups <= 3U);
}

// Guards against room that is given up while it is needed, and against room that stays idle for good.
BOOST_AUTO_TEST_CASE(step_down_gives_up_room_late_and_in_steps)
{
    play day;
    day.run(120, 65);
    const std::uint32_t before = day.ordered();
    day.reset_counts();
    day.run(25, 16);
    BOOST_TEST(day.ordered() == before, "idle for less than the hold time");
    day.run(240, 16);
    BOOST_TEST(day.ordered() <= 9U);
    BOOST_TEST(day.ordered() >= 6U);
    BOOST_TEST(day.ups == 0U);
    BOOST_TEST(day.late == 0);
}

// Guards against a number that follows each tooth: endpoints would be ordered and given up all day.
BOOST_AUTO_TEST_CASE(sawtooth_keeps_room_for_its_peaks)
{
    play day;
    const auto tooth = [](int second) { return 20.0 + second % 25 * 2; };
    day.run(150, tooth);
    day.reset_counts();
    day.run(500, tooth);
    BOOST_TEST(day.ups + day.downs <= 6U);
    BOOST_TEST(day.late == 0);
}

// Guards against a rise that is only seen when callers are late.
BOOST_AUTO_TEST_CASE(steady_rise_is_met_in_time)
{
    play day;
    day.run(60, 40);
    day.reset_counts();
    day.run(60, [](int second) { return 40.0 + 2 * second; });
    BOOST_TEST(day.late == 0);
    // Faster than endpoints boot: the load doubles within the boot time.
    play steep;
    steep.run(60, 40);
    steep.reset_counts();
    steep.run(34, [](int second) { return 40.0 + 3.5 * second; });
    BOOST_TEST(steep.late <= 0.13 * steep.served);
}

// Guards against a domain whose load finds no room elsewhere, and against its number given up before it
// returns.
BOOST_AUTO_TEST_CASE(lost_domain_moves_its_share)
{
    play day;
    day.run(120, 55);
    const std::uint32_t before = day.zones["a"].ordered;
    day.zones["b"].lost = true;
    day.run(30, 55);
    BOOST_TEST(day.waiting == 0);
    BOOST_TEST(day.zones["a"].ordered > before);
    BOOST_TEST(day.zones["b"].ordered >= 6U);
    day.reset_counts();
    day.run(60, 55);
    BOOST_TEST(day.late == 0);
    day.zones["b"].lost = false;
    day.run(10, 55);
    BOOST_TEST(day.downs == 0U, "the others keep their room while the domain returns");
    day.run(200, 55);
    BOOST_TEST(day.zones["a"].ordered <= before + 1);
    BOOST_TEST(day.late == 0);
}

// Guards against room that operators have emptied on purpose and that is still counted.
BOOST_AUTO_TEST_CASE(domain_out_of_service_moves_its_share)
{
    service_scaling scaling(limits);
    scaling_sample sample{.ready = 6, .slots = 24, .in_work = 16, .answered = 16};
    time_point now = start;
    for (; now < start + 12s; now += 1s) {
        scaling.record("a", sample, now);
        scaling.record("b", sample, now);
        scaling.desired(now);
    }
    scaling_sample out = sample;
    out.in_service = false;
    scaling.record("a", sample, now);
    scaling.record("b", out, now);
    const auto numbers = scaling.desired(now);
    BOOST_TEST(numbers.at("a") >= 12U);
    BOOST_TEST(numbers.at("b") == 6U);
    for (; now < start + 1'000s; now += 1s) {
        scaling.record("a", sample, now);
        scaling.record("b", out, now);
        BOOST_TEST((scaling.desired(now).at("b") == 6U || now > start + 300s),
                   "kept for a short maintenance");
    }
    BOOST_TEST(scaling.desired(now).at("b") == 2U);
}

// Guards against a report that is late or missing being read as no load.
BOOST_AUTO_TEST_CASE(missing_reports_take_nothing_away)
{
    play day;
    day.run(120, 65);
    const std::uint32_t before = day.ordered();
    day.zones["c"].silent = true;
    day.run(6, 65);
    day.reset_counts();
    day.run(120, 10);
    BOOST_TEST(day.downs == 0U);
    BOOST_TEST(day.ordered() >= before);
    day.zones["c"].silent = false;
    day.run(200, 10);
    BOOST_TEST(day.ordered() <= 9U);

    scaling_sample late;
    late.age = 3s;
    late.ready = 4;
    late.in_work = 1'000;
    const auto numbers = day.scaling.desired(day.now);
    day.scaling.record("a", late, day.now);
    BOOST_TEST(day.scaling.desired(day.now) == numbers, "an older report than the one held is ignored");
}

// Guards against endpoints that are ordered again while they are on their way.
BOOST_AUTO_TEST_CASE(orders_carried_out_late_are_not_added_up)
{
    play day;
    day.run(120, 40);
    day.order_delay = 8s;
    day.reset_counts();
    day.run(60, 120);
    BOOST_TEST(day.waiting == 0);
    BOOST_TEST(day.ordered() <= 60U, "limit of all domains");
    const std::uint32_t ordered = day.ordered();
    day.reset_counts();
    day.run(200, 120);
    BOOST_TEST(day.ordered() <= ordered);
    BOOST_TEST(day.ups == 0U, "what was given up was not needed");
    BOOST_TEST(day.late == 0);
}

// Guards against an overload that is counted again for each new endpoint until the last one takes requests.
BOOST_AUTO_TEST_CASE(growth_under_way_is_not_repeated)
{
    service_scaling scaling(limits);
    std::uint32_t ordered = 6;
    for (int second = 0; second < 30; ++second) {
        const time_point now = start + second * 1s;
        const std::uint32_t ready = std::min<std::uint32_t>(ordered, 6 + std::max(second - 20, 0) / 2);
        scaling.record("a",
                       {.ready = ready,
                        .starting = ordered - ready,
                        .slots = ready * 4,
                        .in_work = 12,
                        .answered = 20,
                        .late = second < 15 ? 0U : 4U},
                       now);
        const auto numbers = scaling.desired(now);
        ordered = numbers.contains("a") ? numbers.at("a") : ordered;
    }
    BOOST_TEST(ordered >= 8U);
    BOOST_TEST(ordered <= 9U);
}

// Guards against late answers at few requests, as long prompts cause them, that lead to no growth, and
// against growth that is given up as soon as it has helped.
BOOST_AUTO_TEST_CASE(late_answers_add_room_below_the_slots)
{
    service_scaling scaling(limits);
    std::uint32_t ordered = 6;
    std::uint32_t highest = 0;
    std::uint32_t changes = 0;
    for (time_point now = start; now < start + 400s; now += 1s) {
        // 12 requests in work are too many for 6 endpoints with 24 slots, and few enough for 8.
        const std::uint32_t late = ordered < 8 && now > start + 15s ? 4 : 0;
        scaling.record(
            "a", {.ready = ordered, .slots = ordered * 4, .in_work = 12, .answered = 20, .late = late}, now);
        for (const auto& [name, count] : scaling.desired(now)) {
            changes += count != ordered ? 1 : 0;
            ordered = count;
            highest = std::max(highest, count);
        }
    }
    BOOST_TEST(ordered >= 8U);
    BOOST_TEST(highest <= 12U);
    BOOST_TEST(changes <= 8U);
}

// Guards against an order by a new holder that takes away endpoints which it has not seen yet, or that are on
// their way.
BOOST_AUTO_TEST_CASE(new_holder_starts_from_what_was_ordered)
{
    const scaling_sample sample{.ready = 3, .slots = 12, .in_work = 1, .answered = 1};
    service_scaling observed(limits);
    observed.record("a", sample, start);
    BOOST_TEST(observed.desired(start).empty());
    scaling_sample more = sample;
    more.ready = 7;
    observed.record("a", more, start + 9s);
    observed.record("a", more, start + 11s);
    BOOST_TEST(observed.desired(start + 11s).at("a") == 7U);

    service_scaling restored(limits);
    restored.restore("a", 9, start);
    restored.record("a", sample, start);
    BOOST_TEST(restored.desired(start).at("a") == 9U);
    BOOST_TEST(restored.desired(start).at("a") == 9U, "asked again, the same number");
}

// Guards against numbers outside the limits.
BOOST_AUTO_TEST_CASE(numbers_stay_within_the_limits)
{
    play day;
    day.run(60, 1'000);
    BOOST_TEST(day.ordered() == 60U);
    day.waiting = 0;
    day.run(600, 0);
    BOOST_TEST(day.ordered() == 6U);
    day.scaling.set_limits({3, 20, 10s, 2s});
    day.run(1, 0);
    BOOST_TEST(day.ordered() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
