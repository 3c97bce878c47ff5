#include "base/random.h"
#include "platform/names.h"
#include "platform_fixture.h"
#include "process_fixture.h"
#include "soak_seeds.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <sstream>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

namespace http = boost::beast::http;

constexpr milliseconds grace{8'000};
constexpr milliseconds stop_delay{2'500};
// Load of one seed; all stops begin early enough to end before it.
constexpr milliseconds load_time{14'000};
constexpr milliseconds request_deadline{5'500};
constexpr std::size_t max_reports = 3;

enum class request_kind : std::uint8_t { stream, safe, unsafe };

struct kind_terms {
    const char* path;
    std::size_t max_attempts;
};

// As in platform_deployment::configuration.
kind_terms terms_of(request_kind kind)
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
std::string long_limits(std::uint64_t version)
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

std::string describe_action(const planned_action& action)
{
    static const std::vector<std::string> names{
        "SIGTERM entry ", "SIGTERM twice entry ", "SIGTERM and SIGHUP entry ",
        "SIGHUP entry ",  "publish at control ",  "stop control ",
        "busy threads "};
    return std::to_string(action.at.count()) + " ms: " + names[static_cast<std::size_t>(action.kind)] +
           std::to_string(action.index) + " (" + std::to_string(action.duration.count()) + " ms)\n";
}

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

// What all callers of a seed share.
struct caller_context {
    std::vector<host_port> fronts;
    time_point end; // no request is sent later
    std::mutex mutex;
    std::vector<seen_request> seen;
    std::atomic<std::uint64_t> next_id{1};
    std::atomic<std::size_t> running{0};
    std::string id_prefix;
};

struct caller_options {
    std::size_t home = 0; // the entry that it connects to first
    bool one_a_second = false;
    bool heeds_close = true; // otherwise it tries the next request on the connection until that has ended
    std::uint64_t seed = 0;
};

// A caller that keeps its connection until the entry has closed it and then connects to another entry.
class caller {
public:
    caller(std::shared_ptr<caller_context> context, caller_options options)
        : m_context(std::move(context)), m_options(options), m_random(options.seed), m_entry(options.home)
    {
    }

    net::task<void> run()
    {
        while (clock::now() < m_context->end) {
            if (!m_stream && !co_await connect()) {
                continue;
            }
            const std::uint64_t choice = m_random() % 10;
            const request_kind kind = choice < 5   ? request_kind::stream
                                      : choice < 8 ? request_kind::unsafe
                                                   : request_kind::safe;
            seen_request seen = begin_request(kind);
            const std::string text = request_text(seen);
            m_stream->expires_after(request_deadline + 5s);
            auto [failure, size] =
                co_await net::asio::async_write(*m_stream, net::asio::buffer(text), net::no_throw);
            seen.sent = clock::now();
            co_await finish_request(std::move(seen), failure);
            co_await net::sleep_for(
                milliseconds(m_options.one_a_second ? 900 + m_random() % 200 : 5 + m_random() % 60));
        }
    }

    // Sends one request whose header is completed at `at`.
    net::task<void> send_late(time_point connect_at, time_point at, request_kind kind)
    {
        co_await sleep_until(connect_at);
        if (!co_await connect_to(m_options.home)) {
            co_return;
        }
        seen_request seen = begin_request(kind);
        const std::string text = request_text(seen);
        const std::size_t half = text.size() / 2;
        m_stream->expires_after(at - clock::now() + request_deadline + 5s);
        auto [first_failure, first_size] =
            co_await net::asio::async_write(*m_stream, net::asio::buffer(text.data(), half), net::no_throw);
        co_await sleep_until(at);
        auto [failure, size] = co_await net::asio::async_write(
            *m_stream, net::asio::buffer(text.data() + half, text.size() - half), net::no_throw);
        seen.sent = clock::now();
        co_await finish_request(std::move(seen), first_failure ? first_failure : failure);
    }

private:
    static net::task<void> sleep_until(time_point at)
    {
        co_await net::sleep_for(std::chrono::duration_cast<milliseconds>(at - clock::now()));
    }

    net::task<bool> connect()
    {
        for (std::size_t i = 0; i < m_context->fronts.size(); ++i) {
            if (co_await connect_to((m_entry + i) % m_context->fronts.size())) {
                co_return true;
            }
        }
        co_await net::sleep_for(50ms);
        co_return false;
    }

    net::task<bool> connect_to(std::size_t entry)
    {
        const host_port address = m_context->fronts[entry];
        m_stream.emplace(co_await net::asio::this_coro::executor);
        m_buffer.clear();
        m_stream->expires_after(1s);
        const net::tcp::endpoint endpoint(net::asio::ip::address_v4::loopback(), address.port);
        auto [failure] = co_await m_stream->async_connect(endpoint, net::no_throw);
        if (failure) {
            m_stream.reset();
            co_return false;
        }
        m_entry = entry;
        co_return true;
    }

    seen_request begin_request(request_kind kind)
    {
        seen_request seen;
        seen.id = m_context->id_prefix + std::to_string(m_context->next_id++);
        seen.kind = kind;
        seen.entry = m_entry;
        return seen;
    }

    std::string request_text(const seen_request& seen) const
    {
        namespace names = platform::names;
        const std::string body = "body of " + seen.id;
        std::ostringstream text;
        text << "POST " << terms_of(seen.kind).path
             << " HTTP/1.1\r\nHost: 127.0.0.1:" << m_context->fronts[m_entry].port << "\r\n"
             << names::request_id << ": " << seen.id << "\r\n"
             << names::deadline << ": " << request_deadline.count() << "\r\n"
             << names::authorization << ": Bearer key-clerks\r\n"
             << names::tokens << ": 1000,100\r\nContent-Length: " << body.size() << "\r\n\r\n"
             << body;
        return text.str();
    }

    net::task<void> finish_request(seen_request seen, net::error_code failure)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        bool keeps = false;
        if (!failure) {
            auto [read_failure, size] = co_await http::async_read(*m_stream, m_buffer, parser, net::no_throw);
            failure = read_failure;
            seen.status = parser.is_header_done() ? parser.get().result_int() : 0;
            seen.complete = !failure && parser.is_done();
            seen.body = parser.get().body();
            seen.answer_id = std::string(parser.get()["Request-Id"]);
            keeps = seen.complete && (parser.keep_alive() || !m_options.heeds_close);
        }
        seen.failure = failure ? failure.message() : "";
        seen.ended = clock::now();
        if (!keeps) {
            m_stream.reset();
            m_entry = m_options.one_a_second ? m_options.home
                                             : (seen.entry + 1 + m_random() % 2) % m_context->fronts.size();
        }
        const std::lock_guard lock(m_context->mutex);
        m_context->seen.push_back(std::move(seen));
    }

    std::shared_ptr<caller_context> m_context;
    const caller_options m_options;
    random_engine m_random;
    std::size_t m_entry;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

std::string fault_text(runner_fault fault)
{
    switch (fault) {
    case runner_fault::none:
        return "no fault";
    case runner_fault::pause_before_head:
        return "pause before its answer";
    case runner_fault::pause_in_stream:
        return "pause in its answer";
    case runner_fault::cut_in_event:
        return "broke off in an event";
    case runner_fault::reset:
        return "broke off before its answer";
    default:
        return "fault " + std::to_string(static_cast<int>(fault));
    }
}

bool breaks_off(runner_fault fault)
{
    return fault == runner_fault::cut_in_event || fault == runner_fault::reset ||
           fault == runner_fault::wrong_request_id;
}

// Runs the plan of one seed against a deployment and judges what callers and runners saw.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed)
        : m_seed(seed), m_plan(plan_maker(seed).make()), m_random(seed), m_system(deployment_options())
    {
    }

    void run()
    {
        m_system.start_serving();
        BOOST_TEST_REQUIRE(eventually([this] { return m_system.publish_document(long_limits(2)) == 200; }));
        for (const auto& runner : m_system.runners()) {
            std::vector<runner_fault> faults(5'000);
            std::generate(faults.begin(), faults.end(),
                          [this] { return m_plan.faults[m_random() % m_plan.faults.size()]; });
            runner->set_faults(faults);
        }
        m_begin = clock::now();
        start_callers();
        run_actions();
        BOOST_TEST(eventually([this] { return m_callers->running == 0; }), "a caller has no end");
        judge();
    }

private:
    static process_deployment_options deployment_options()
    {
        process_deployment_options options;
        options.entry_domains = {"domain-a", "domain-a", "domain-b"};
        options.runners_per_service = 4;
        options.stop_delay = stop_delay;
        options.grace = grace;
        return options;
    }

    void start_caller(const caller_options& options, std::function<net::task<void>(caller&)> body)
    {
        ++m_callers->running;
        auto value = std::make_shared<caller>(m_callers, options);
        net::asio::co_spawn(
            net::asio::make_strand(m_system.threads().io),
            [value, body = std::move(body)] { return body(*value); },
            [value, context = m_callers](const std::exception_ptr&) { --context->running; });
    }

    void start_callers()
    {
        m_callers->end = m_begin + load_time;
        m_callers->id_prefix = "s" + std::to_string(m_seed) + "-";
        for (std::size_t i = 0; i < m_system.entry_count(); ++i) {
            m_callers->fronts.push_back(m_system.front(i));
        }
        for (std::size_t entry = 0; entry < m_system.entry_count(); ++entry) {
            const std::size_t busy = m_plan.busy_callers[entry];
            for (std::size_t i = 0; i < busy + m_plan.slow_callers[entry]; ++i) {
                start_caller({entry, i >= busy, m_random() % 2 == 0, m_random()},
                             [](caller& value) { return value.run(); });
            }
        }
        for (const planned_action& action : m_plan.actions) {
            for (int i = 0; action.kind <= action_kind::stop_and_reload && i < 3; ++i) {
                // Requests whose header arrives as the listener closes.
                const time_point closes = m_begin + action.at + stop_delay;
                const time_point at = closes + milliseconds(m_random() % 120) - 20ms;
                const request_kind kind = i == 0 ? request_kind::unsafe : request_kind::stream;
                start_caller({action.index, true, true, m_random()}, [closes, at, kind](caller& value) {
                    return value.send_late(closes - 1s, at, kind);
                });
            }
        }
    }

    void run_actions()
    {
        std::vector<std::thread> workers;
        for (const planned_action& action : m_plan.actions) {
            workers.emplace_back([this, action] {
                std::this_thread::sleep_until(m_begin + action.at);
                run_action(action);
            });
        }
        while (clock::now() < m_begin + load_time) {
            for (const auto& runner : m_system.runners()) {
                runner->set_pause(1s + milliseconds(m_random() % 2'000));
            }
            std::this_thread::sleep_for(250ms);
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
    }

    void run_action(const planned_action& action)
    {
        switch (action.kind) {
        case action_kind::reload:
            m_system.signal(action.index, SIGHUP);
            return;
        case action_kind::publish:
            m_system.publish_document(long_limits(++m_version), action.index);
            return;
        case action_kind::stop_control: {
            server_process& control = m_system.control_process(action.index);
            control.signal(SIGTERM);
            if (control.wait_exit(grace)) {
                std::this_thread::sleep_for(action.duration);
                (void)control.start();
            }
            return;
        }
        case action_kind::busy:
            return keep_busy(action.index, action.duration);
        default:
            return stop_entry(action);
        }
    }

    static void keep_busy(std::size_t count, milliseconds duration)
    {
        const time_point end = clock::now() + duration;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < count; ++i) {
            threads.emplace_back([end] {
                while (clock::now() < end) {
                }
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
    }

    void stop_entry(const planned_action& action)
    {
        const bool reload_first = action.duration.count() % 2 == 0;
        if (action.kind == action_kind::stop_and_reload && reload_first) {
            m_system.signal(action.index, SIGHUP);
            std::this_thread::sleep_for(action.duration);
        }
        seen_stop stop{action.index, clock::now(), std::nullopt};
        m_system.signal(action.index, SIGTERM);
        if (action.kind == action_kind::stop_twice) {
            std::this_thread::sleep_for(action.duration);
            m_system.signal(action.index, SIGTERM);
        }
        if (action.kind == action_kind::stop_and_reload && !reload_first) {
            std::this_thread::sleep_for(action.duration);
            m_system.signal(action.index, SIGHUP);
        }
        stop.left = m_system.wait_exit(action.index, grace + 2s);
        const bool started = stop.left && m_system.entry(action.index).start().has_value();
        const std::lock_guard lock(m_mutex);
        m_stops.push_back(stop);
        m_all_started = m_all_started && started;
    }

    std::string since_begin(time_point at) const
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(at - m_begin).count()) + " ms";
    }

    // Whether the connection ended with the process, in contrast to an answer that the entry gave up.
    bool ends_with_process(const seen_request& seen) const
    {
        return std::any_of(m_stops.begin(), m_stops.end(), [&seen](const seen_stop& stop) {
            return stop.entry == seen.entry && stop.left && seen.ended > stop.left->at - 50ms &&
                   seen.sent < stop.left->at;
        });
    }

    // Whether a runner was still at work on the request in the last sixth of the grace period of a stop.
    bool is_at_end_of_grace(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        for (const seen_stop& stop : m_stops) {
            if (stop.entry != seen.entry || seen.sent > stop.first_signal + 3s ||
                seen.ended < stop.first_signal) {
                continue;
            }
            for (const seen_run& run : runs) {
                if (run.request.received < stop.first_signal + grace &&
                    (!run.request.ended || *run.request.ended > stop.first_signal + grace * 5 / 6)) {
                    return true;
                }
            }
        }
        return false;
    }

    // Returns what is wrong with an answer, or nothing.
    std::string find_fault(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        const std::size_t max_attempts = terms_of(seen.kind).max_attempts;
        if (runs.size() > max_attempts) {
            return seen.kind == request_kind::unsafe ? "unsafe request ran twice" : "more runs than allowed";
        }
        if (!seen.complete) {
            return runs.empty() ? "" : find_loss(seen, runs);
        }
        const std::vector<unsigned> not_run{503, 429, 408, 421};
        if (std::find(not_run.begin(), not_run.end(), seen.status) != not_run.end() && !runs.empty()) {
            return "refused request ran";
        }
        if (seen.status != 200) {
            return "";
        }
        return seen.kind == request_kind::stream ? check_events(seen)
               : seen.body == "ok body of " + seen.id && seen.answer_id == seen.id
                   ? ""
                   : "answer of another request or incomplete";
    }

    std::string find_loss(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        if (seen.ended >= seen.sent + request_deadline || is_at_end_of_grace(seen, runs)) {
            return "";
        }
        const auto broken = std::count_if(runs.begin(), runs.end(),
                                          [](const seen_run& run) { return breaks_off(run.request.fault); });
        if (broken == 0) {
            return ends_with_process(seen) ? "connection closed as the entry exited" : "connection closed";
        }
        if (runs.size() < terms_of(seen.kind).max_attempts) {
            return "connection closed after a runner broke off, attempts left";
        }
        return static_cast<std::size_t>(broken) == runs.size() || is_broken_by_last_runner(seen, runs)
                   ? ""
                   : "connection closed while the other of its runners worked on";
    }

    // Whether the runner whose events the caller received last broke its answer off.
    static bool is_broken_by_last_runner(const seen_request& seen, const std::vector<seen_run>& runs)
    {
        const std::size_t at = seen.body.rfind("data: ");
        return at != std::string::npos && std::any_of(runs.begin(), runs.end(), [&](const seen_run& run) {
                   return breaks_off(run.request.fault) &&
                          seen.body.substr(at).starts_with("data: " + run.runner + "\n");
               });
    }

    // A stream consists of the events 1 to 4, each once, and nothing else.
    static std::string check_events(const seen_request& seen)
    {
        std::istringstream lines(seen.body);
        for (int number = 1; number <= 4; ++number) {
            std::string id;
            std::string data;
            std::string end;
            std::getline(lines, id);
            std::getline(lines, data);
            std::getline(lines, end);
            if (id != "id: " + std::to_string(number) || !data.starts_with("data: model-") || !end.empty()) {
                return "stream without event " + std::to_string(number) + " in its place";
            }
        }
        return lines.peek() == std::istringstream::traits_type::eof() ? "" : "stream with a further part";
    }

    std::string describe_request(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        std::ostringstream text;
        text << seen.id << " " << terms_of(seen.kind).path << " at entry " << seen.entry << ", sent after "
             << since_begin(seen.sent) << ", ended after " << since_begin(seen.ended) << ", status "
             << seen.status << (seen.complete ? ", complete" : ", not complete: " + seen.failure)
             << ", body: " << seen.body << "\n";
        for (const seen_run& run : runs) {
            text << "  run at " << run.runner << " after " << since_begin(run.request.received) << ", "
                 << fault_text(run.request.fault) << ", ended after "
                 << (run.request.ended ? since_begin(*run.request.ended) : "-") << "\n";
        }
        for (const seen_stop& stop : m_stops) {
            if (stop.entry == seen.entry) {
                text << "  SIGTERM of the entry after " << since_begin(stop.first_signal) << ", left after "
                     << (stop.left ? since_begin(stop.left->at) : "-") << "\n";
            }
        }
        text << m_system.entry_output(seen.entry, "\"" + seen.id + "\"")
             << m_system.entry_output(seen.entry, "shutdown_step")
             << m_system.entry_output(seen.entry, "signal_received");
        return text.str();
    }

    std::map<std::string, std::vector<seen_run>> collect_runs() const
    {
        std::map<std::string, std::vector<seen_run>> runs;
        for (std::size_t i = 0; i < m_system.runners().size(); ++i) {
            for (const standin::runner_request& request : m_system.runners()[i]->requests()) {
                runs[request.id].push_back(
                    {(i % 2 == 0 ? "model-" : "desk-") + std::to_string(i / 2), request});
            }
        }
        return runs;
    }

    void judge_stops()
    {
        BOOST_TEST(m_all_started, "an entry did not start again");
        for (const seen_stop& stop : m_stops) {
            BOOST_TEST((stop.left && stop.left->at <= stop.first_signal + grace + 1s),
                       "entry " << stop.entry << " has not left in time after SIGTERM");
            BOOST_TEST((!stop.left || stop.left->code == 0),
                       "entry " << stop.entry << " ended by signal " << (stop.left ? stop.left->signal : 0));
        }
    }

    void judge()
    {
        BOOST_TEST_CONTEXT("seed " << m_seed << "\n" << m_plan.describe())
        {
            judge_stops();
            const auto runs = collect_runs();
            const std::lock_guard lock(m_callers->mutex);
            std::map<std::string, std::size_t> failures;
            std::map<std::string, std::size_t> outcomes;
            for (const seen_request& seen : m_callers->seen) {
                const auto found = runs.find(seen.id);
                const std::vector<seen_run> own =
                    found == runs.end() ? std::vector<seen_run>{} : found->second;
                ++outcomes[std::to_string(seen.status) + (seen.complete ? "" : " incomplete") +
                           (own.empty() ? "" : " run")];
                const std::string fault = find_fault(seen, own);
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
    const soak_plan m_plan;
    random_engine m_random;
    std::shared_ptr<caller_context> m_callers = std::make_shared<caller_context>();
    time_point m_begin;
    std::atomic<std::uint64_t> m_version{2};
    std::mutex m_mutex;
    std::vector<seen_stop> m_stops;
    bool m_all_started = true;
    process_deployment m_system;
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_soak)

// Guards against entries that outlive their grace period and against restarts that don't serve again.
BOOST_AUTO_TEST_CASE(an_entry_leaves_within_its_grace_period_and_serves_after_its_restart)
{
    process_deployment system;
    system.start_serving();
    const time_point begin = clock::now();
    BOOST_TEST_REQUIRE(system.signal(0, SIGTERM));
    const auto left = system.wait_exit(0, 9s);
    BOOST_TEST_REQUIRE(left.has_value(), system.entry_output(0));
    BOOST_TEST(left->code == 0);
    BOOST_TEST((left->at - begin < 9s));
    system.start(0);
    BOOST_TEST_REQUIRE(system.wait_ready(0));
    BOOST_TEST(eventually([&, probes = 0]() mutable {
        const auto answer = system.request(0, "/safe/1", "again", "again-" + std::to_string(probes++));
        return answer && answer.value().status == 200;
    }));
}

// Guards against requests that are lost, run twice or are answered wrongly around stops, reloads, changes of
// the configuration and pauses of runners.
BOOST_AUTO_TEST_CASE(callers_get_whole_answers_around_planned_stops)
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        soak_run(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
