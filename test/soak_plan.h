#pragma once

#include "base/random.h"
#include "platform_fixture.h"
#include "process_fixture.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

// Requests, faults and planned actions of the soak on real processes.
namespace verbena::soak {

using namespace std::chrono_literals;

inline constexpr milliseconds grace{8'000};
inline constexpr milliseconds stop_delay{2'500};
// Load of one seed; all stops begin early enough to end before it.
inline constexpr milliseconds load_time{14'000};
inline constexpr milliseconds request_deadline{5'500};

enum class request_kind : std::uint8_t { stream, safe, unsafe };

struct kind_terms {
    const char* path;
    std::size_t max_attempts;
};

// As in platform_deployment::configuration.
inline kind_terms terms_of(request_kind kind)
{
    switch (kind) {
    case request_kind::stream:
        return {"/model/1", 2};
    case request_kind::safe:
        return {"/safe/1", 2};
    default:
        return {"/once/1", 1};
    }
}

// The configuration of the deployment with time limits that are longer than the pauses of the runners.
inline std::string long_limits(std::uint64_t version)
{
    std::string document = platform_deployment::configuration(version);
    for (const std::string field : {"\"timeout_ms\":1500", "\"timeout_ms\":3000"}) {
        document.replace(document.find(field), field.size(), "\"timeout_ms\":6000");
    }
    return document;
}

// A request as its caller saw it.
struct seen_request {
    std::string id;
    request_kind kind = request_kind::stream;
    std::size_t entry = 0;
    time_point sent; // its last byte
    time_point ended;
    unsigned status = 0; // 0: the connection ended before the answer's header was complete
    bool complete = false;
    std::string answer_id;
    std::string body;
    std::string failure;
};

// A run of a request as its runner saw it.
struct seen_run {
    std::string runner;
    standin::runner_request request;
};

// A planned stop of an entry.
struct seen_stop {
    std::size_t entry = 0;
    time_point first_signal;
    std::optional<server_process::exit_report> left;
};

enum class action_kind : std::uint8_t {
    stop,
    stop_twice,
    stop_and_reload,
    reload,
    publish,
    stop_control,
    busy
};

struct planned_action {
    milliseconds at{};
    action_kind kind = action_kind::stop;
    std::size_t index = 0;   // of the entry or control process
    milliseconds duration{}; // until the second signal, the restart or the end of the busy threads
};

inline std::string describe_action(const planned_action& action)
{
    static const std::vector<std::string> names{
        "SIGTERM entry ", "SIGTERM twice entry ", "SIGTERM and SIGHUP entry ",
        "SIGHUP entry ",  "publish at control ",  "stop control ",
        "busy threads "};
    return std::to_string(action.at.count()) + " ms: " + names[static_cast<std::size_t>(action.kind)] +
           std::to_string(action.index) + " (" + std::to_string(action.duration.count()) + " ms)\n";
}

using standin::runner_fault;

// Faults and load of one seed.
struct soak_plan {
    std::vector<planned_action> actions;
    std::vector<runner_fault> faults; // one of these for each request
    // Callers with many requests, and those with one a second, of each entry.
    std::vector<std::size_t> busy_callers{0, 0, 0};
    std::vector<std::size_t> slow_callers{1, 1, 1};

    std::string describe() const
    {
        std::string text;
        for (std::size_t i = 0; i < busy_callers.size(); ++i) {
            text += "entry " + std::to_string(i) + ": " + std::to_string(busy_callers[i]) +
                    " busy callers, " + std::to_string(slow_callers[i]) + " with one request a second\n";
        }
        for (const planned_action& action : actions) {
            text += describe_action(action);
        }
        return text;
    }
};

// Draws the plan of a seed.
class plan_maker {
public:
    explicit plan_maker(std::uint64_t seed) : m_seed(seed), m_random(seed) {}

    soak_plan make()
    {
        make_load();
        make_faults();
        make_stops();
        for (int i = 0; i < 2; ++i) {
            add(random_time(500ms, 11s), action_kind::publish, below(3), 0ms);
            add(random_time(500ms, 11s), action_kind::reload, below(3), 0ms);
        }
        add(random_time(500ms, 4s), action_kind::stop_control, below(3), random_time(300ms, 2s));
        if (below(2) == 0) {
            add(random_time(8s, 10s), action_kind::stop_control, below(3), random_time(300ms, 2s));
        }
        if (below(3) == 0) {
            add(random_time(1s, 8s), action_kind::busy, 2 + below(3), random_time(1s, 3s));
        }
        std::sort(m_plan.actions.begin(), m_plan.actions.end(),
                  [](const planned_action& a, const planned_action& b) { return a.at < b.at; });
        return m_plan;
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    milliseconds random_time(milliseconds from, milliseconds to)
    {
        return from + milliseconds(below(static_cast<std::uint64_t>((to - from).count())));
    }

    void add(milliseconds at, action_kind kind, std::size_t index, milliseconds duration)
    {
        m_plan.actions.push_back({at, kind, index, duration});
    }

    void make_load()
    {
        if (m_seed % 3 == 0) {
            m_plan.busy_callers = {10, 10, 10};
        } else if (m_seed % 3 == 1) {
            m_plan.busy_callers[below(3)] = 24;
        }
    }

    void make_faults()
    {
        const auto put = [this](runner_fault fault, int count) {
            m_plan.faults.insert(m_plan.faults.end(), static_cast<std::size_t>(count), fault);
        };
        if (m_random() % 2 == 0) {
            // Runners that pause often and break nothing off: no answer has a reason to be incomplete.
            put(runner_fault::pause_in_stream, 25);
            put(runner_fault::pause_before_head, 15);
            put(runner_fault::refuse, 2);
        } else {
            put(runner_fault::pause_in_stream, 5);
            put(runner_fault::pause_before_head, 4);
            put(runner_fault::cut_in_event, 3);
            put(runner_fault::reset, 1);
            put(runner_fault::wrong_request_id, 1);
        }
        put(runner_fault::extra_answer, 2);
        put(runner_fault::answer_twice, 2);
        put(runner_fault::none, static_cast<int>(100 - m_plan.faults.size()));
    }

    void make_stops()
    {
        std::vector<std::size_t> order{0, 1, 2};
        std::shuffle(order.begin(), order.end(), m_random);
        const bool overlapping = below(2) == 0;
        milliseconds at = random_time(800ms, 1'500ms);
        for (std::size_t i = 0; i < order.size(); ++i) {
            const auto kind = static_cast<action_kind>((m_seed + i) % 3);
            add(at, kind, order[i],
                kind == action_kind::stop_twice ? random_time(200ms, 2s) : random_time(1ms, 300ms));
            at += overlapping ? random_time(200ms, 1'500ms) : random_time(2'200ms, 2'600ms);
        }
    }

    const std::uint64_t m_seed;
    random_engine m_random;
    soak_plan m_plan;
};

} // namespace verbena::soak
