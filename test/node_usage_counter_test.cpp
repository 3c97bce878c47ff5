#include "node/usage_counter.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

using slices = std::vector<std::unique_ptr<wire::usage_sliceT>>;

// An entry with clocks that the test sets.
struct fixture {
    node::usage_counter counter;
    time_point now = time_point{} + 1h;
    node::usage_counter::wall_time wall{std::chrono::hours(24 * 365 * 50)};

    void pass(milliseconds time)
    {
        now += time;
        wall += time;
    }
    void record(const std::string& team) { counter.record(team, now, wall); }
    slices take(std::uint64_t acknowledged = 0) { return counter.slices_after(acknowledged, now, wall); }
};

std::uint32_t sum(const slices& items)
{
    std::uint32_t total = 0;
    for (const auto& item : items) {
        for (const auto& count : item->teams) {
            total += count->requests;
        }
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_usage_counter)

// Guards against work and bytes in deployments without the duty.
BOOST_FIXTURE_TEST_CASE(counts_nothing_unless_asked_for, fixture)
{
    record("a");
    pass(10s);
    BOOST_TEST(take().empty());
    BOOST_TEST(counter.flush(now) == 0U);
}

// Guards against a slice that reaches into two windows while the clocks agree, and against counts that are
// lost or sent twice between slices.
BOOST_FIXTURE_TEST_CASE(slices_end_on_the_wall_clock_and_lose_nothing, fixture)
{
    pass(130ms);
    counter.set_kept(20s, now, wall);
    std::uint64_t acknowledged = 0;
    std::uint32_t counted = 0;
    time_point end = now;
    for (int i = 0; i < 300; ++i) {
        record(i % 3 == 0 ? "a" : "b");
        pass(i == 100 ? 3s : 37ms);
        for (const auto& item : take(acknowledged)) {
            BOOST_TEST(item->number == acknowledged + 1);
            acknowledged = item->number;
            const time_point slice_end = now - milliseconds(item->age_ms);
            BOOST_TEST(((wall - milliseconds(item->age_ms)).time_since_epoch() % 500ms).count() == 0);
            BOOST_TEST((slice_end - milliseconds(item->length_ms) == end));
            end = slice_end;
            for (const auto& count : item->teams) {
                counted += count->requests;
            }
        }
    }
    pass(1s);
    BOOST_TEST(counted + sum(take(acknowledged)) == 300U);
}

// Guards against counts that are lost with the member that held them: a new leader acknowledges nothing and
// gets all that is kept, the oldest first and not all in one message.
BOOST_FIXTURE_TEST_CASE(sends_all_kept_slices_again, fixture)
{
    counter.set_kept(20s, now, wall);
    for (int i = 0; i < 120; ++i) {
        record("a");
        pass(500ms);
    }
    const slices first = take();
    BOOST_TEST(first.size() == 16U);
    BOOST_TEST(first.front()->age_ms <= 20'000U);
    BOOST_TEST(first.front()->age_ms >= 19'500U);
    std::uint32_t total = 0;
    for (slices next = take(); !next.empty(); next = take(next.back()->number)) {
        total += sum(next);
    }
    BOOST_TEST(total == 41U);
}

// Guards against ages that follow a wall clock that is stepped.
BOOST_FIXTURE_TEST_CASE(ages_survive_a_step_of_the_wall_clock, fixture)
{
    counter.set_kept(20s, now, wall);
    record("a");
    pass(700ms);
    wall -= 1h;
    record("a");
    pass(700ms);
    wall += 2h;
    record("a");
    pass(800ms);
    const slices items = take();
    BOOST_TEST(sum(items) == 3U);
    std::uint32_t covered = items.back()->age_ms;
    for (const auto& item : items) {
        covered += item->length_ms;
        BOOST_TEST(item->length_ms <= 1'000U);
    }
    BOOST_TEST(covered == 2'200U);
}

// Guards against the loss of the last counts of a process that ends.
BOOST_FIXTURE_TEST_CASE(flush_closes_the_open_slice, fixture)
{
    counter.set_kept(20s, now, wall);
    record("a");
    pass(100ms);
    BOOST_TEST(take().empty());
    BOOST_TEST(counter.flush(now) == 1U);
    BOOST_TEST(sum(take()) == 1U);
}

// Guards against a pause of the count that looks like time without requests.
BOOST_FIXTURE_TEST_CASE(numbers_have_a_gap_after_a_pause_of_the_count, fixture)
{
    counter.set_kept(20s, now, wall);
    pass(500ms);
    BOOST_TEST(take().size() == 1U);
    counter.set_kept(0s, now, wall);
    record("a");
    pass(5s);
    counter.set_kept(20s, now, wall);
    pass(500ms);
    const slices items = take(1);
    BOOST_REQUIRE(items.size() == 1U);
    BOOST_TEST(items.front()->number == 3U);
    BOOST_TEST(items.front()->teams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
