#include "soak_caller.h"
#include "soak_judge.h"
#include "soak_seeds.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::soak;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds trouble_time = 10s; // load of one seed
constexpr std::size_t max_reports = 3;
// The limits of the users' data sheets.
constexpr std::uint64_t max_entry_memory = 260'000'000;
constexpr std::uint64_t max_control_memory = 160'000'000;
// Machines follow a configuration this long after it was accepted.
constexpr milliseconds config_time = 2s;
constexpr std::size_t entry_descriptors = 400;

enum class trouble_kind : std::uint8_t {
    endless,           // bytes without an end from a runner
    unframed,          // answers that end with their connection, whole or not
    held_address,      // an entry restarts while its address is in use
    restart,           // an entry restarts
    no_team,           // a configuration takes the last team away, a later one brings it back
    silent_connections // more than the entry has descriptors for
};

struct trouble {
    milliseconds at{};
    trouble_kind kind = trouble_kind::endless;
    std::size_t index = 0; // of the runner or entry
    runner_fault fault = runner_fault::none;
    std::size_t requests = 0; // with the fault
    milliseconds duration{};
};

std::string describe(const trouble& value)
{
    static const std::vector<std::string> names{"endless bytes of runner ", "unframed answers of runner ",
                                                "address in use at entry ", "restart of entry ",
                                                "no team, entry ",          "silent connections at entry "};
    return std::to_string(value.at.count()) + " ms: " + names[static_cast<std::size_t>(value.kind)] +
           std::to_string(value.index) + " (fault " + std::to_string(static_cast<int>(value.fault)) + ", " +
           std::to_string(value.requests) + " requests, " + std::to_string(value.duration.count()) + " ms)\n";
}

// Draws troubles of which any may happen beside any other. One entry restarts, so that the others serve, and
// the teams change at most once, so that each request can be judged by the time at which it was sent.
class trouble_maker {
public:
    trouble_maker(std::uint64_t seed, std::size_t entries, std::size_t runners)
        : m_random(seed), m_entries(entries), m_runners(runners)
    {
    }

    std::vector<trouble> make()
    {
        const std::vector<runner_fault> endless{
            runner_fault::endless_head,    runner_fault::endless_event,  runner_fault::endless_chunk,
            runner_fault::endless_trailer, runner_fault::endless_body,   runner_fault::dripping_body,
            runner_fault::dripping_head,   runner_fault::dripping_chunk, runner_fault::drip};
        const std::vector<runner_fault> unframed{runner_fault::unframed, runner_fault::unframed_cut,
                                                 runner_fault::unframed_reset};
        for (std::uint64_t i = 1 + below(3); i > 0; --i) {
            add_faults(trouble_kind::endless, endless, 12);
            add_faults(trouble_kind::unframed, unframed, 40);
        }
        const std::size_t restarted = below(m_entries);
        add({time(0ms, 5s), below(2) == 0 ? trouble_kind::held_address : trouble_kind::restart, restarted,
             runner_fault::none, 0, time(0ms, 3s)});
        if (below(2) == 0) {
            add({time(0ms, 8s), trouble_kind::silent_connections, below(m_entries), runner_fault::none, 0,
                 time(100ms, 3s)});
        }
        if (below(2) == 0) {
            add({time(1s, 4s), trouble_kind::no_team, 0, runner_fault::none, 0, time(2'500ms, 4s)});
        }
        return m_troubles;
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    milliseconds time(milliseconds from, milliseconds to)
    {
        return from + milliseconds(below(static_cast<std::uint64_t>((to - from).count())));
    }

    void add(const trouble& value) { m_troubles.push_back(value); }

    void add_faults(trouble_kind kind, const std::vector<runner_fault>& faults, std::uint64_t max_requests)
    {
        add({time(0ms, 8s), kind, below(m_runners), faults[below(faults.size())], 1 + below(max_requests),
             0ms});
    }

    random_engine m_random;
    const std::size_t m_entries;
    const std::size_t m_runners;
    std::vector<trouble> m_troubles;
};

std::string without_teams(std::uint64_t version)
{
    std::string document = long_limits(version);
    document.replace(document.find("\"tenants\":"), std::string::npos, "\"tenants\":[]}");
    return document;
}

class trouble_run {
public:
    explicit trouble_run(std::uint64_t seed) : m_seed(seed), m_random(seed), m_system(deployment_options()) {}

    void run()
    {
        m_system.start_serving();
        BOOST_TEST_REQUIRE(eventually([this] { return m_system.publish_document(long_limits(2)) == 200; }));
        m_troubles = trouble_maker(m_seed, m_system.entry_count(), m_system.runners().size()).make();
        m_begin = clock::now();
        start_callers();
        std::vector<std::thread> workers;
        for (const trouble& value : m_troubles) {
            workers.emplace_back([this, value] {
                std::this_thread::sleep_until(m_begin + value.at);
                cause(value);
            });
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
        BOOST_TEST(eventually([this] { return m_callers->running == 0; }), "a caller has no end");
        judge();
    }

private:
    static process_deployment_options deployment_options()
    {
        process_deployment_options options;
        options.entry_domains = {"domain-a", "domain-a", "domain-b"};
        options.runners_per_service = 4;
        options.stop_delay = 500ms;
        options.grace = grace;
        options.descriptors = entry_descriptors;
        return options;
    }

    void start_callers()
    {
        m_callers->end = m_begin + trouble_time;
        m_callers->id_prefix = "t" + std::to_string(m_seed) + "-";
        for (std::size_t i = 0; i < m_system.entry_count(); ++i) {
            m_callers->fronts.push_back(m_system.front(i));
        }
        for (std::size_t i = 0; i < m_system.entry_count() * 8; ++i) {
            ++m_callers->running;
            const caller_options options{i % m_system.entry_count(), i % 8 == 0, m_random() % 2 == 0,
                                         m_random()};
            auto value = std::make_shared<caller>(m_callers, options);
            net::asio::co_spawn(
                m_system.threads().strand(), [value] { return value->run(); },
                [value, context = m_callers](const std::exception_ptr&) { --context->running; });
        }
    }

    void cause(const trouble& value)
    {
        switch (value.kind) {
        case trouble_kind::endless:
        case trouble_kind::unframed:
            m_system.runners()[value.index]->set_faults(
                std::vector<runner_fault>(value.requests, value.fault));
            return;
        case trouble_kind::no_team:
            return take_team_away(value.duration);
        case trouble_kind::silent_connections:
            return hold_connections(value);
        default:
            return restart(value);
        }
    }

    void restart(const trouble& value)
    {
        seen_stop stop{value.index, clock::now(), std::nullopt};
        m_system.signal(value.index, SIGTERM);
        stop.left = m_system.wait_exit(value.index, grace + 2s);
        std::optional<net::tcp::acceptor> holder;
        if (value.kind == trouble_kind::held_address && stop.left) {
            const net::tcp::endpoint address(net::asio::ip::address_v4::loopback(),
                                             m_system.front(value.index).port);
            holder.emplace(m_system.threads().io, address);
        }
        const bool started = stop.left && m_system.entry(value.index).start().has_value();
        std::this_thread::sleep_for(value.duration);
        holder.reset();
        const std::lock_guard lock(m_mutex);
        m_stops.push_back(stop);
        m_all_started = m_all_started && started;
    }

    void take_team_away(milliseconds duration)
    {
        const unsigned taken = m_system.publish_document(without_teams(3));
        const time_point since = clock::now() + config_time;
        std::this_thread::sleep_for(duration);
        const time_point until = clock::now();
        const unsigned brought_back = m_system.publish_document(long_limits(4));
        const std::lock_guard lock(m_mutex);
        if (taken == 200) {
            m_without_team = {since, until};
        }
        m_published = taken == 200 && brought_back == 200;
    }

    void hold_connections(const trouble& value)
    {
        net::asio::io_context io;
        std::vector<net::tcp::socket> held;
        held.reserve(entry_descriptors);
        const net::tcp::endpoint address(net::asio::ip::address_v4::loopback(),
                                         m_system.front(value.index).port);
        for (std::size_t i = 0; i < entry_descriptors; ++i) {
            net::error_code ignored;
            held.emplace_back(io);
            held.back().connect(address, ignored);
        }
        std::this_thread::sleep_for(value.duration);
    }

    // Whether the request was sent while each entry that was not restarting knew that there is no team.
    bool is_without_team(const seen_request& seen) const
    {
        return m_without_team && seen.sent > m_without_team->first && seen.sent < m_without_team->second;
    }

    std::string find_fault(const soak_judge& judge, const seen_request& seen,
                           const std::vector<seen_run>& runs) const
    {
        if (!runs.empty() && is_without_team(seen)) {
            return "request of a team that was taken away ran";
        }
        if (!runs.empty() && seen.status == 401) {
            return "request without a team ran";
        }
        return judge.find_fault(seen, runs);
    }

    void judge_processes()
    {
        for (const seen_stop& stop : m_stops) {
            BOOST_TEST((stop.left && stop.left->at <= stop.first_signal + grace + 1s),
                       "entry " << stop.entry << " has not left in time after SIGTERM");
            BOOST_TEST((!stop.left || stop.left->code == 0), "entry " << stop.entry << " ended by a signal");
        }
        BOOST_TEST(m_all_started);
        BOOST_TEST(m_published);
        for (std::size_t i = 0; i < m_system.entry_count(); ++i) {
            judge_process("entry " + std::to_string(i), m_system.entry(i), max_entry_memory);
            BOOST_TEST(serves(i), "entry " << i << " does not serve after the troubles");
        }
        for (std::size_t i = 0; i < m_system.control_count(); ++i) {
            judge_process("control process " + std::to_string(i), m_system.control_process(i),
                          max_control_memory);
        }
    }

    bool serves(std::size_t entry)
    {
        return eventually([&] {
            const std::string id = m_callers->id_prefix + "end-" + std::to_string(m_probes++);
            const auto answer = m_system.request(entry, "/model/1", "body", id);
            return answer && answer.value().status == 200;
        });
    }

    void judge_process(const std::string& name, server_process& process, std::uint64_t max_memory)
    {
        const std::optional<std::uint64_t> memory = process.peak_memory();
        BOOST_TEST(memory.has_value(), name << " has ended by itself");
#ifdef __SANITIZE_ADDRESS__
        // The sanitizer keeps freed memory.
        (void)max_memory;
#else
        BOOST_TEST(memory.value_or(0) <= max_memory, name << " used " << memory.value_or(0) << " bytes");
#endif
    }

    std::string describe_request(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        const auto since_begin = [this](time_point at) {
            return std::to_string(std::chrono::duration_cast<milliseconds>(at - m_begin).count()) + " ms";
        };
        std::ostringstream text;
        text << seen.id << " " << terms_of(seen.kind).path << " at entry " << seen.entry << ", sent after "
             << since_begin(seen.sent) << ", ended after " << since_begin(seen.ended) << ", status "
             << seen.status << (seen.complete ? ", complete" : ", not complete: " + seen.failure)
             << ", body: " << seen.body.substr(0, 200) << "\n";
        for (const seen_run& run : runs) {
            text << "  run at " << run.runner << " after " << since_begin(run.request.received) << ", fault "
                 << static_cast<int>(run.request.fault) << ", ended after "
                 << (run.request.ended ? since_begin(*run.request.ended) : "-") << "\n";
        }
        text << m_system.entry_output(seen.entry, "\"" + seen.id + "\"");
        return text.str();
    }

    void judge()
    {
        std::string plan;
        for (const trouble& value : m_troubles) {
            plan += describe(value);
        }
        BOOST_TEST_CONTEXT("seed " << m_seed << "\n" << plan)
        {
            judge_processes();
            const auto runs = collect_runs(m_system);
            const soak_judge judge(m_stops);
            const std::lock_guard lock(m_callers->mutex);
            std::map<std::string, std::size_t> failures;
            std::map<std::string, std::size_t> outcomes;
            for (const seen_request& seen : m_callers->seen) {
                const auto found = runs.find(seen.id);
                const std::vector<seen_run> own =
                    found == runs.end() ? std::vector<seen_run>{} : found->second;
                ++outcomes[std::to_string(seen.status) + (seen.complete ? "" : " incomplete") +
                           (own.empty() ? "" : " run")];
                const std::string fault = find_fault(judge, seen, own);
                if (!fault.empty() && ++failures[fault] <= max_reports) {
                    BOOST_ERROR(fault << ": request " << describe_request(seen, own));
                }
            }
            std::ostringstream summary;
            for (const auto& [name, count] : outcomes) {
                summary << "; " << name << ": " << count;
            }
            for (const auto& [name, count] : failures) {
                summary << "; FAILED " << name << ": " << count;
            }
            BOOST_TEST_MESSAGE("seed " << m_seed << ": requests " << m_callers->seen.size() << summary.str());
            BOOST_TEST(failures.empty());
        }
    }

    const std::uint64_t m_seed;
    random_engine m_random;
    std::shared_ptr<caller_context> m_callers = std::make_shared<caller_context>();
    std::vector<trouble> m_troubles;
    time_point m_begin;
    std::mutex m_mutex;
    std::vector<seen_stop> m_stops;
    std::optional<std::pair<time_point, time_point>> m_without_team;
    bool m_all_started = true;
    bool m_published = true;
    std::size_t m_probes = 0;
    process_deployment m_system;
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_trouble)

// Guards against processes that end or grow, and against requests that are lost, run twice or are answered
// wrongly, while runners send bytes without an end or unframed answers, entries start beside an address in
// use or lack descriptors, and the last team is taken away.
BOOST_AUTO_TEST_CASE(promises_hold_beside_overlapping_troubles)
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        trouble_run(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
