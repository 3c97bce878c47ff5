#include "control/usage_duty.h"
#include "control_fixture.h"
#include "node/usage_counter.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

using counts = std::map<std::string, std::uint64_t>;

constexpr milliseconds window_length = 5s;

// True time and the steady clock of all machines.
struct clocks {
    time_point now = time_point{} + 1h;
    control::wall_time wall = start_time;

    std::uint64_t window() const
    {
        return static_cast<std::uint64_t>(wall.time_since_epoch() / window_length);
    }
};

struct entry {
    std::string name;
    incarnation id = 0;
    node::usage_counter counter{};
    std::uint64_t acknowledged = 0;
    bool wanted = false;
    bool reachable = true;
    milliseconds clock_error{};
};

// A member of the group. Its state machine is replaced by that of the others where logs are replicated.
struct member {
    control::state_machine state;
    control::usage_collector collector{{window_length, 10s}};
    std::vector<event::usage_windowT> steps;
    control::usage_duty duty{collector, [this](const event::usage_windowT& line) { steps.push_back(line); }};
    milliseconds clock_error{};

    void apply(const std::vector<std::uint8_t>& command)
    {
        BOOST_TEST(!state.apply(state.applied_index() + 1, command).empty());
    }
};

// A group whose members share one log, entries, and the counts that are true.
struct metered_site {
    clocks time;
    std::vector<std::unique_ptr<entry>> entries;
    std::vector<std::unique_ptr<member>> members;
    std::size_t leader = 0;
    std::map<std::uint64_t, counts> truth;
    std::map<std::uint64_t, std::set<counts>> sent; // by window
    bool calls_answered = true;

    metered_site(std::size_t entry_count, std::size_t member_count)
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            start_entry("e" + std::to_string(i), i + 1);
        }
        for (std::size_t i = 0; i < member_count; ++i) {
            members.push_back(std::make_unique<member>());
        }
    }

    entry& start_entry(const std::string& name, incarnation id)
    {
        entries.push_back(std::make_unique<entry>());
        entries.back()->name = name;
        entries.back()->id = id;
        return *entries.back();
    }

    void record(entry& at, const std::string& team)
    {
        at.counter.record(team, time.now, time.wall + at.clock_error);
        ++truth[time.window()][team];
    }

    void poll(entry& from, member& to, bool leads)
    {
        wire::pollT poll;
        poll.name = from.name;
        poll.role = wire::role::entry;
        poll.incarnation = from.id;
        if (leads && from.wanted) {
            poll.usage_slices =
                from.counter.slices_after(from.acknowledged, time.now, time.wall + from.clock_error);
        }
        wire::poll_replyT reply;
        to.collector.observe_clock(time.wall + to.clock_error, time.now);
        to.collector.answer(poll, leads, time.now, reply);
        from.counter.set_kept(milliseconds(reply.usage_kept_ms), time.now, time.wall + from.clock_error);
        if (leads) {
            from.wanted = reply.usage_wanted;
            from.acknowledged = reply.usage_acknowledged;
        }
    }

    // All members apply what the leader proposes, and the leader calls.
    void work()
    {
        member& acting = *members[leader];
        const control::duty_context context{time.now, time.wall + acting.clock_error, acting.state};
        const std::vector<std::uint8_t> command = acting.duty.next_command(context);
        if (!command.empty()) {
            for (auto& each : members) {
                each->apply(command);
            }
            return;
        }
        if (const auto call = acting.duty.next_call(context)) {
            const auto& report = std::get<control::usage_report>(*call);
            sent[report.window].insert(report.counts);
            acting.duty.on_outcome(
                *call, calls_answered ? control::duty_outcome::accepted : control::duty_outcome::unknown,
                context);
        }
    }

    // Runs for `duration`; each entry begins a request every 40 ms.
    void run(milliseconds duration)
    {
        const time_point end = time.now + duration;
        for (int step = 0; time.now < end; ++step) {
            time.now += 20ms;
            time.wall += 20ms;
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (entries[i]->reachable && step % 2 == 0) {
                    record(*entries[i], step % 10 == 0 ? "small" : "large");
                }
                if (entries[i]->reachable && (step + i) % 15 == 0) {
                    for (std::size_t m = 0; m < members.size(); ++m) {
                        poll(*entries[i], *members[m], m == leader);
                    }
                }
            }
            work();
        }
    }

    void lead(std::size_t next)
    {
        members[leader]->duty.on_hold(false, time.now);
        leader = next;
        members[leader]->duty.on_hold(true, time.now);
        for (auto& each : entries) { // the new leader is another member, which has acknowledged nothing
            each->wanted = false;
            each->acknowledged = 0;
        }
    }

    // Whether the reports of windows `first` to `last` were each sent with one set of counts within `error`
    // of the truth.
    void check(std::uint64_t first, std::uint64_t last, double error) const
    {
        for (std::uint64_t window = first; window <= last; ++window) {
            BOOST_TEST_CONTEXT("window " << window - first)
            {
                BOOST_REQUIRE(sent.contains(window));
                BOOST_TEST(sent.at(window).size() == 1U);
                for (const auto& [team, requests] : truth.at(window)) {
                    const auto found = sent.at(window).begin()->find(team);
                    BOOST_REQUIRE(found != sent.at(window).begin()->end());
                    BOOST_TEST(std::abs(static_cast<double>(found->second) - static_cast<double>(requests)) <=
                               error * static_cast<double>(requests));
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_usage)

// Guards against counts that are lost between slices, polls and windows, and against late reports.
BOOST_AUTO_TEST_CASE(reports_each_window_whole_and_in_time)
{
    metered_site site(5, 3);
    site.run(2s);
    const std::uint64_t first = site.time.window() + 1;
    site.run(60s);
    const std::uint64_t last = site.time.window() - 2;
    site.check(first, last, 0);
    BOOST_TEST(site.sent.begin()->first == first); // the first window of all was seen in part
    const member& leader = *site.members[0];
    for (const auto& line : leader.steps) {
        BOOST_TEST(line.since_end_ms < 3'000U);
        BOOST_TEST((line.outcome != "recorded" || (line.entries == 5 && line.missing == 0)));
    }
    BOOST_TEST(leader.state.usage().unfinished().size() <= 1U);
    BOOST_TEST(leader.state.snapshot() == site.members[1]->state.snapshot());
}

// Guards against two reports of one window with different counts after a hand-over, and against a new leader
// that reports what it has gathered so far.
BOOST_AUTO_TEST_CASE(a_new_leader_repeats_the_recorded_counts_and_gathers_the_others)
{
    metered_site site(5, 3);
    site.run(3s);
    const std::uint64_t first = site.time.window() + 1;
    site.calls_answered = false; // no one knows whether the infrastructure has the reports
    for (std::size_t i = 0; i < 40; ++i) {
        site.run(milliseconds(3'300 + 170 * (i % 10)));
        site.lead((i + 1) % 3);
    }
    site.calls_answered = true;
    site.run(10s);
    site.check(first, site.time.window() - 2, 0);
    BOOST_TEST(site.members[site.leader]->state.usage().last_finished() >= site.time.window() - 2);
}

// Guards against other counts after all members have been killed between the record and the report,
// and against a member that takes new slices only, as if an earlier run's acknowledgements were its own.
BOOST_AUTO_TEST_CASE(recorded_counts_survive_the_death_of_all_members)
{
    metered_site site(3, 3);
    site.run(3s);
    site.calls_answered = false;
    site.run(12s);
    const std::uint64_t window = site.sent.rbegin()->first;
    const std::vector<std::uint8_t> saved = site.members[1]->state.snapshot();
    site.members.clear(); // the entries still count their slices as acknowledged
    for (int i = 0; i < 3; ++i) {
        site.members.push_back(std::make_unique<member>());
        BOOST_TEST_REQUIRE(site.members.back()->state.restore(saved).has_value());
    }
    BOOST_TEST(site.members[0]->state.snapshot() == saved);
    site.calls_answered = true;
    site.run(20s);
    site.check(window, site.time.window() - 2, 0);
}

// Guards against windows that are held back by an entry that never comes back, and against reports that lack
// more than the last counts of an entry that dies.
BOOST_AUTO_TEST_CASE(an_entry_that_dies_delays_one_window_and_loses_little)
{
    metered_site site(5, 1);
    site.run(13s);
    const std::uint64_t window = site.time.window();
    site.entries[0]->reachable = false;
    site.run(20s);
    site.check(window, site.time.window() - 2, 0.04);
    std::uint32_t missing = 0;
    for (const auto& line : site.members[0]->steps) {
        BOOST_TEST(line.since_end_ms <= 7'100U);
        missing += line.missing;
    }
    BOOST_TEST(missing == 1U);
}

// Guards against a report that waits for the last counts of a process that has been replaced.
BOOST_AUTO_TEST_CASE(a_restarted_entry_is_not_waited_for)
{
    metered_site site(5, 1);
    site.run(13s);
    site.entries[0]->reachable = false;
    site.start_entry("e0", 100);
    site.run(20s);
    for (const auto& line : site.members[0]->steps) {
        BOOST_TEST(line.since_end_ms <= 3'000U);
    }
}

// Guards against the loss of counts of an entry that is cut off for a while and reports late.
BOOST_AUTO_TEST_CASE(an_entry_that_was_cut_off_sends_what_it_has_kept)
{
    metered_site site(5, 1);
    site.run(13s);
    const std::uint64_t window = site.time.window();
    site.entries[0]->reachable = false;
    site.run(5s);
    site.entries[0]->reachable = true;
    site.run(20s);
    site.check(window, site.time.window() - 2, 0);
    BOOST_TEST(site.members[0]->collector.late_requests() == 0);
}

// Guards against a leader that reports too little because it has led for a short time only and does not know
// all entries yet.
BOOST_AUTO_TEST_CASE(a_leader_that_has_just_begun_reports_nothing)
{
    metered_site site(2, 2);
    site.run(13s);
    site.lead(1);
    const std::size_t before = site.sent.size();
    site.entries[1]->reachable = false; // not known to the new leader for a while
    site.run(1'500ms);
    site.entries[1]->reachable = true;
    site.run(1s);
    BOOST_TEST(site.sent.size() == before);
    site.run(12s);
    site.check(site.sent.begin()->first, site.time.window() - 2, 0);
}

// Guards against windows in the time of a clock that is wrong: at an entry at all times, at the leader from a
// step on.
BOOST_AUTO_TEST_CASE(steps_of_wall_clocks_do_not_move_windows)
{
    metered_site site(5, 1);
    site.entries[0]->clock_error = 17min;
    site.run(3s);
    const std::uint64_t first = site.time.window() + 1;
    site.run(10s);
    site.entries[1]->clock_error = -3s;
    site.members[0]->clock_error = 40s;
    site.run(20s);
    site.members[0]->clock_error = 0s;
    site.run(20s);
    site.check(first, site.time.window() - 2, 0.02);
}

// Guards against an estimate that never follows a clock that has been set right.
BOOST_AUTO_TEST_CASE(a_step_that_lasts_is_followed)
{
    control::true_time estimate;
    time_point now = time_point{} + 1h;
    control::wall_time wall = start_time;
    for (int i = 0; i < 100; ++i, now += 500ms, wall += 500ms) {
        estimate.observe(i < 10 ? wall - 1h : wall, now);
        if (i == 60) {
            BOOST_TEST((estimate.at(now) == wall - 1h));
        }
    }
    BOOST_TEST((estimate.at(now) == wall));
    BOOST_TEST((estimate.when(wall) == now));
}

// Guards against a table that grows while the infrastructure accepts nothing, and against a record that
// changes.
BOOST_AUTO_TEST_CASE(the_table_is_bounded_and_the_first_record_holds)
{
    control::state_machine state;
    const auto record = [&state](std::uint64_t window, std::uint64_t requests) {
        log_entry::record_usageT body;
        body.window = window;
        body.counts.push_back(std::make_unique<log_entry::team_countT>());
        body.counts.back()->team = "a";
        body.counts.back()->requests = requests;
        state.apply(state.applied_index() + 1, control::make_duty_command(std::move(body)));
    };
    for (std::uint64_t window = 1; window <= control::usage_table::max_windows + 10; ++window) {
        record(window, window);
    }
    record(300, 1);
    record(5, 1);
    const control::usage_table& table = state.usage();
    BOOST_TEST(table.unfinished().size() == control::usage_table::max_windows);
    BOOST_TEST(table.last_finished() == 10U);
    BOOST_TEST(table.unfinished().at(300).at("a") == 300U);
}

BOOST_AUTO_TEST_SUITE_END()
