#include "base/random.h"
#include "platform/names.h"
#include "platform_fixture.h"
#include "process_fixture.h"
#include "soak_seeds.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <map>
#include <sstream>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

namespace http = boost::beast::http;

constexpr milliseconds grace{4'000};
constexpr milliseconds stop_delay{300};
constexpr milliseconds request_deadline{3'000};
constexpr milliseconds prefill{60};
constexpr std::uint64_t stops_per_seed = 4;
constexpr std::size_t max_reports = 5;

// How the requests of a connection arrive around the close of the listener.
enum class arrival : std::uint8_t {
    late_header,  // the header is completed late
    late_body,    // the body is completed late
    new_connect,  // the connection itself is opened late
    one_segment,  // several requests at once on a kept connection
    until_the_end // one request after the other, until the connection fails
};

const char* to_text(arrival value)
{
    static constexpr std::array names{"late header", "late body", "new connection", "one segment",
                                      "until the end"};
    return names.at(static_cast<std::size_t>(value));
}

// A request as its caller saw it.
struct late_request {
    std::string id;
    std::string path;
    arrival kind = arrival::late_header;
    time_point sent;
    time_point ended;
    unsigned status = 0; // 0: the connection ended before the answer's header was complete
    bool complete = false;
    std::string body;
    std::string failure;
};

// What all callers share.
struct late_context {
    host_port front;
    std::mutex mutex;
    std::vector<late_request> seen;
    std::vector<std::string> endless; // connections that were open at the end of their time
    std::atomic<std::uint64_t> next_id{1};
    std::atomic<std::size_t> running{0};
};

struct late_plan {
    arrival kind = arrival::late_header;
    std::string path;
    time_point connect_at;
    time_point late_at;
    time_point end; // the entry has exited long before
};

// One connection to an entry that stops.
class late_caller {
public:
    late_caller(std::shared_ptr<late_context> context, late_plan plan, net::asio::any_io_executor executor)
        : m_context(std::move(context)), m_plan(std::move(plan)), m_stream(std::move(executor))
    {
    }

    net::task<void> run()
    {
        co_await sleep_until(m_plan.connect_at);
        const net::tcp::endpoint endpoint(net::asio::ip::address_v4::loopback(), m_context->front.port);
        m_stream.expires_after(std::chrono::duration_cast<milliseconds>(m_plan.end - clock::now()));
        auto [failure] = co_await m_stream.async_connect(endpoint, net::no_throw);
        if (failure) {
            note_end(failure);
            co_return;
        }
        switch (m_plan.kind) {
        case arrival::one_segment:
            co_await send_in_one_segment();
            break;
        case arrival::until_the_end:
            co_await send_until_the_end();
            break;
        default:
            co_await send_late();
        }
        co_await read_to_end();
    }

private:
    static net::task<void> sleep_until(time_point at)
    {
        co_await net::sleep_for(std::chrono::duration_cast<milliseconds>(at - clock::now()));
    }

    late_request begin_request()
    {
        late_request seen;
        seen.id = "late-" + std::to_string(m_context->next_id++);
        seen.path = m_plan.path;
        seen.kind = m_plan.kind;
        return seen;
    }

    std::string request_text(const late_request& seen) const
    {
        namespace names = platform::names;
        const std::string body = "body of " + seen.id;
        std::ostringstream text;
        text << "POST " << seen.path << " HTTP/1.1\r\nHost: 127.0.0.1:" << m_context->front.port << "\r\n"
             << names::request_id << ": " << seen.id << "\r\n"
             << names::deadline << ": " << request_deadline.count() << "\r\n"
             << names::authorization << ": Bearer key-clerks\r\n"
             << names::tokens << ": 1000,100\r\nContent-Length: " << body.size() << "\r\n\r\n"
             << body;
        return text.str();
    }

    net::task<net::error_code> write(std::string text)
    {
        auto [failure, size] =
            co_await net::asio::async_write(m_stream, net::asio::buffer(text), net::no_throw);
        co_return failure;
    }

    // Returns whether the connection can be used for a further answer.
    net::task<bool> read_answer(late_request seen, net::error_code failure)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (!failure) {
            auto [read_failure, size] = co_await http::async_read(m_stream, m_buffer, parser, net::no_throw);
            failure = read_failure;
            seen.status = parser.is_header_done() ? parser.get().result_int() : 0;
            seen.complete = !failure && parser.is_done();
            seen.body = parser.get().body();
        }
        seen.failure = failure ? failure.message() : "";
        seen.ended = clock::now();
        const bool keeps = seen.complete && parser.keep_alive();
        note_end(failure);
        const std::lock_guard lock(m_context->mutex);
        m_context->seen.push_back(std::move(seen));
        co_return keeps;
    }

    net::task<void> send_late()
    {
        late_request seen = begin_request();
        const std::string text = request_text(seen);
        const std::size_t body_at = text.find("\r\n\r\n") + 4;
        const std::size_t early = m_plan.kind == arrival::late_header ? body_at / 2
                                  : m_plan.kind == arrival::late_body ? body_at + 4
                                                                      : 0;
        net::error_code failure = co_await write(text.substr(0, early));
        if (m_plan.kind != arrival::new_connect) {
            co_await sleep_until(m_plan.late_at);
        }
        if (!failure) {
            failure = co_await write(text.substr(early));
        }
        seen.sent = clock::now();
        co_await read_answer(std::move(seen), failure);
    }

    net::task<void> send_in_one_segment()
    {
        late_request first = begin_request();
        net::error_code failure = co_await write(request_text(first));
        first.sent = clock::now();
        const bool is_kept = co_await read_answer(std::move(first), failure);
        if (!is_kept) {
            co_return;
        }
        co_await sleep_until(m_plan.late_at);
        std::string text;
        std::vector<late_request> requests;
        for (int i = 0; i < 3; ++i) {
            requests.push_back(begin_request());
            text += request_text(requests.back());
        }
        failure = co_await write(text);
        for (late_request& seen : requests) {
            seen.sent = clock::now();
            const bool keeps = co_await read_answer(std::move(seen), failure);
            if (!keeps && !failure) {
                failure = net::asio::error::eof;
            }
        }
    }

    // Goes on after an answer that announces the end of the connection, as some callers do.
    net::task<void> send_until_the_end()
    {
        net::error_code failure;
        bool is_closing = false;
        while (!failure && clock::now() < m_plan.end - 1s) {
            late_request seen = begin_request();
            failure = co_await write(request_text(seen));
            seen.sent = clock::now();
            if (is_closing) {
                co_await net::sleep_for(5ms);
            } else {
                is_closing = !co_await read_answer(std::move(seen), failure);
            }
        }
        note_end(failure);
    }

    // Asio need not complete a read that begins after the end of the connection has been read.
    net::task<void> read_to_end()
    {
        std::array<char, 4096> rest{};
        while (!m_has_ended) {
            auto [failure, size] = co_await m_stream.async_read_some(net::asio::buffer(rest), net::no_throw);
            note_end(failure);
        }
    }

    void note_end(net::error_code failure)
    {
        m_has_ended = m_has_ended || failure;
        if (failure == boost::beast::error::timeout) {
            const std::lock_guard lock(m_context->mutex);
            m_context->endless.push_back(std::string(to_text(m_plan.kind)) + " " + m_plan.path);
        }
    }

    std::shared_ptr<late_context> m_context;
    const late_plan m_plan;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_has_ended = false;
};

// Stops one entry again and again while requests arrive as it closes its listener.
class late_run {
public:
    late_run() { m_context->front = m_system.front(0); }

    void run(std::uint64_t first_seed, std::uint64_t last_seed)
    {
        m_system.start_serving();
        for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
            random_engine random(seed);
            for (std::uint64_t stop = 0; stop < stops_per_seed; ++stop) {
                BOOST_TEST_CONTEXT("seed " << seed << ", stop " << stop)
                {
                    run_stop(random);
                }
            }
        }
        judge_requests();
    }

private:
    void start_caller(late_plan plan)
    {
        ++m_context->running;
        const auto strand = net::asio::make_strand(m_system.threads().io);
        auto caller = std::make_shared<late_caller>(m_context, std::move(plan), strand);
        net::asio::co_spawn(
            strand, [caller] { return caller->run(); },
            [caller, context = m_context](const std::exception_ptr&) { --context->running; });
    }

    void start_callers(time_point first_signal, random_engine& random)
    {
        const time_point closes = first_signal + stop_delay;
        const time_point end = first_signal + grace + 2s;
        const auto offset = [&random](int from, int to) {
            return milliseconds(from + static_cast<int>(random() % static_cast<unsigned>(to - from)));
        };
        const auto start_some = [&](arrival kind, int count) {
            for (int i = 0; i < count; ++i) {
                static constexpr std::array paths{"/once/1", "/model/1", "/safe/1"};
                const time_point late_at =
                    closes + (kind == arrival::new_connect ? offset(-4, 8) : offset(-40, 120));
                const time_point connect_at = kind == arrival::new_connect   ? late_at
                                              : kind == arrival::one_segment ? first_signal - 180ms
                                                                             : closes - offset(50, 250);
                start_caller(
                    {kind, paths.at(static_cast<std::size_t>(i) % paths.size()), connect_at, late_at, end});
            }
        };
        // With few connections a drain ends soon after the listener has closed.
        const bool few = random() % 2 == 0;
        start_some(arrival::late_header, few ? 1 : 6);
        start_some(arrival::late_body, few ? 1 : 3);
        start_some(arrival::new_connect, few ? 3 : 12);
        start_some(arrival::one_segment, few ? 1 : 3);
        start_some(arrival::until_the_end, few ? 0 : 3);
    }

    void run_stop(random_engine& random)
    {
        BOOST_TEST_REQUIRE(m_system.wait_ready(0));
        BOOST_TEST_REQUIRE(eventually([this] {
            const auto answer =
                m_system.request(0, "/model/1", "probe", "late-probe-" + std::to_string(m_probes++));
            return answer && answer.value().status == 200;
        }));
        const time_point first_signal = clock::now() + 200ms;
        start_callers(first_signal, random);
        std::this_thread::sleep_until(first_signal);
        BOOST_TEST_REQUIRE(m_system.signal(0, SIGTERM));
        const auto left = m_system.wait_exit(0, grace + 1s);
        BOOST_TEST_REQUIRE(left.has_value(),
                           "the entry runs on: " << m_system.entry_output(0, "shutdown_step"));
        BOOST_TEST((left->at <= first_signal + grace), "the entry exited after its grace period");
        BOOST_TEST(left->code == 0);
        BOOST_TEST(left->signal == 0);
        BOOST_TEST_REQUIRE(eventually([this] { return m_context->running == 0; }), "a caller has no end");
        m_longest_stop = std::max(m_longest_stop, left->at - first_signal);
        ++m_stops;
        m_system.start(0);
    }

    // Returns what is wrong with a request that ran `runs` times, or nothing.
    static std::string find_fault(const late_request& seen, std::size_t runs)
    {
        if (runs > 1 && seen.path == "/once/1") {
            return "unsafe request ran twice";
        }
        if (runs > 0 && !seen.complete) {
            return "request ran and has no whole answer";
        }
        if (runs > 0 && seen.status != 200 && seen.status != 502) {
            return "request ran and was refused";
        }
        if (seen.status != 200 || !seen.complete) {
            return "";
        }
        if (seen.path != "/model/1") {
            return seen.body == "ok body of " + seen.id ? "" : "answer of another request";
        }
        for (int number = 1; number <= 4; ++number) {
            if (seen.body.find("id: " + std::to_string(number) + "\n") == std::string::npos) {
                return "stream without event " + std::to_string(number);
            }
        }
        return "";
    }

    void judge_requests()
    {
        std::map<std::string, std::size_t> runs;
        for (const auto& runner : m_system.runners()) {
            for (const standin::runner_request& request : runner->requests()) {
                ++runs[request.id];
            }
        }
        const std::lock_guard lock(m_context->mutex);
        std::map<std::string, std::size_t> outcomes;
        std::size_t failures = 0;
        for (const late_request& seen : m_context->seen) {
            const std::size_t own = runs.contains(seen.id) ? runs[seen.id] : 0;
            ++outcomes[std::string(to_text(seen.kind)) + " " + std::to_string(seen.status) +
                       (seen.complete ? "" : " incomplete") + (own == 0 ? "" : " run")];
            runs.erase(seen.id);
            const std::string fault = find_fault(seen, own);
            if (!fault.empty() && ++failures <= max_reports) {
                BOOST_ERROR(fault << ": " << seen.id << " " << seen.path << ", " << to_text(seen.kind)
                                  << ", status " << seen.status << ", runs " << own << ", "
                                  << (seen.ended - seen.sent).count() / 1'000'000 << " ms, " << seen.failure
                                  << "\n"
                                  << m_system.entry_output(0, "\"" + seen.id + "\""));
            }
        }
        for (const auto& [id, count] : runs) {
            // Requests that were sent after the announced end of a connection are not in `seen`.
            BOOST_TEST((!id.starts_with("late-") || id.starts_with("late-probe-")),
                       id << " ran without an answer");
        }
        for (const std::string& connection : m_context->endless) {
            BOOST_ERROR("connection without an end: " << connection);
        }
        std::ostringstream summary;
        for (const auto& [name, count] : outcomes) {
            summary << "; " << name << ": " << count;
        }
        BOOST_TEST_MESSAGE("stops " << m_stops << ", longest "
                                    << std::chrono::duration_cast<milliseconds>(m_longest_stop).count()
                                    << " ms, requests " << m_context->seen.size() << ", failures " << failures
                                    << ", connections without an end " << m_context->endless.size()
                                    << summary.str());
        BOOST_TEST(failures == 0U);
    }

    std::shared_ptr<late_context> m_context = std::make_shared<late_context>();
    std::size_t m_stops = 0;
    std::uint64_t m_probes = 0;
    clock::duration m_longest_stop{};
    process_deployment m_system{{.entry_domains = {"domain-a"},
                                 .runners_per_service = 2,
                                 .prefill = prefill,
                                 .stop_delay = stop_delay,
                                 .grace = grace}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_late)

// Guards against requests that are passed on and cut, or a hang, as an entry closes its listener.
BOOST_AUTO_TEST_CASE(requests_at_the_close_of_the_listener_are_answered_or_do_not_run)
{
    const auto [first, last] = soak_seeds();
    late_run().run(first, last);
}

BOOST_AUTO_TEST_SUITE_END()
