#pragma once

#include "base/settings.h"
#include "net/asio.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbena::standin {

// Fault that a runner injects into one request.
enum class runner_fault : std::uint8_t {
    none,
    refuse,            // answers 503 and states that the request was not executed
    fail,              // answers 500
    cut_in_event,      // closes the connection in the middle of its second event
    wrong_request_id,  // sends the answer to another request
    extra_answer,      // sends a second answer after its own
    no_mac,            // omits the MAC
    no_answer,         // executes the request and sends no answer
    reset,             // executes the request and closes the connection without an answer
    leaving,           // announces in its answer that it leaves
    refuse_for_2s,     // answers 503, states that the request was not executed, and wants no other for 2 s
    drip,              // sends its second event a byte at a time, without an end
    endless_head,      // sends header fields without an end
    endless_event,     // sends an event without an end
    endless_chunk,     // sends bytes without an end in place of a chunk header
    dripping_head,     // sends a header field without an end, a byte at a time
    dripping_chunk,    // sends bytes in place of a chunk header without an end, a byte at a time
    endless_trailer,   // sends trailer fields without an end
    endless_body,      // sends chunks without an end
    dripping_body,     // the same, a byte at a time
    unframed,          // answers with neither a length nor chunks and ends with the connection
    unframed_cut,      // the same, and closes the connection in the middle of its second event
    unframed_reset,    // the same, and resets the connection before its second event
    unframed_crash,    // the same, and its process crashes before its second event
    unframed_restart,  // the same, and its next process accepts connections before this one ends
    pause_before_head, // sends nothing for the pause, then answers
    pause_in_stream,   // sends nothing for the pause before its second event, then goes on
    pause_in_body,     // of a runner without streams: the same in the middle of its body
    pause_and_cut,     // the same, and closes the connection in the middle of that event
    stale_refusal,     // executes the request and sends a refusal that was meant for another one
    stale_misdirected, // the same with 421
    reject,            // answers 400
    plain_answer,      // answers 200 with a body that is no event stream
    no_events,         // answers with an event stream that has no events
    cut_without_ids,   // sends events without ids and closes the connection in the middle of the second
    answer_twice,      // sends its complete answer a second time
    cut_head,          // sends the first bytes of the set head and closes the connection
    cut_head_reset,    // the same, and resets the connection
    half_closed,       // sends the first bytes of the set head, ends its side, reads what comes and runs on
    half_closed_reset, // the same, and resets the connection without reading on
};

// A request as received by a runner.
struct runner_request {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string team;
    std::string expected_runner;
    std::string deadline_ms;
    std::string last_event;
    std::string helpers;
    std::string authorization;
    std::string prompt_parts;
    time_point received;
    runner_fault fault = runner_fault::none;
    std::optional<time_point> ended; // when the runner stopped working on it
};

// Which calls tell who the runner is: the report its start, the health call its id.
enum class identity_calls : std::uint8_t { report_and_health, health, none };

// A process that ends as it begins to answer a request with a certain prompt part, and its restart.
struct runner_crash {
    std::string part;  // as in the request; the last part of a request is ignored
    host_port control; // where the restarted process checks in
    milliseconds restart_after{400};
};

// An order received by a runner, such as a reservation of memory.
struct runner_order {
    std::string body;
    time_point at;
};

struct runner_options {
    std::string id;
    std::string service;
    std::string failure_domain;
    host_port listen;
    std::uint32_t events = 4;
    bool streams = true;
    // Id under which the runner answers, if not `id`; requests that expect another runner are rejected with
    // 421. Simulates that another runner of the service has taken over the address.
    std::string answering_id;
    milliseconds prefill{}; // time until the first event or the body
};

// Test implementation of a runner of the users' platform: serves requests over HTTP and sends check-ins to
// control members. It implements the platform's protocol, so it uses the platform's names, as platform/ does.
class platform_runner : public std::enable_shared_from_this<platform_runner> {
public:
    static result<std::shared_ptr<platform_runner>> create(net::asio::io_context& io, runner_options options);

    platform_runner(net::asio::io_context& io, net::tcp::acceptor acceptor, runner_options options);

    void start();
    void stop();

    // Sets the faults of the next requests, in order. Later requests are served without a fault.
    void set_faults(std::vector<runner_fault> faults);

    // Sets the fault of all requests that resume a stream.
    void set_resume_fault(runner_fault fault);

    // Reports the reservations that it was asked for as used by a request from now on.
    void report_tickets_as_used();
    void set_report_delay(milliseconds delay) { m_report_delay = delay; }

    // Answers orders with a body that comes a byte at a time, without an end.
    void set_endless_orders(bool endless) { m_endless_orders = endless; }

    void set_identity_calls(identity_calls calls) { m_identity_calls = calls; }

    // The next process has the id of the one before in place of a new one.
    void keep_id() { m_keeps_id = true; }

    // Refuses this many of the next health calls, as a runner does that is full.
    void refuse_health_calls(int count) { m_refused_health_calls = count; }

    // Number of calls that asked who the runner is, or for its state.
    std::size_t probes() const { return m_probes; }

    // Sets how long the faults with a pause last.
    void set_pause(std::chrono::milliseconds pause);

    // Sets the text of the limit header of all answers; several, separated by line feeds, are sent as several
    // headers. Without a text the answers have no such header.
    void set_request_limit(std::optional<std::string> text);

    // Sets the head that the faults with a cut head send, and how many of its bytes. "ID" in it becomes the
    // id of the request.
    void set_head(std::string head, std::size_t bytes);

    // Answers requests before it reads their bodies, of which the kernel then takes a part only.
    void answer_early(bool early) { m_answers_early = early; }

    // Crashes under requests with a prompt part. The process is back after a while, with a new id.
    void set_crash(runner_crash crash);

    // The times at which the process has crashed.
    std::vector<time_point> crashes() const;

    std::vector<runner_request> requests() const;
    // When requests and orders have arrived, those that were refused included.
    std::vector<time_point> arrivals() const;
    std::vector<runner_order> orders() const;
    // Number of connections that the caller closed before the answer was complete.
    std::size_t cancelled() const;
    // Requests that were refused because of a fault.
    std::size_t refused() const;

    // Reports the state "ready" or "draining" to the control member. Returns the HTTP status of the
    // response, or 0 when there is none.
    net::task<unsigned> check_in(host_port control, std::string state);
    net::task<unsigned> leave(host_port control);

    // Sends a check-in that carries an earlier start time of the runner, which must have no effect.
    net::task<unsigned> check_in_with_earlier_start(host_port control);

private:
    net::task<void> accept_loop();
    net::task<void> serve(std::shared_ptr<net::tcp::socket> socket);
    bool crashes_under(const runner_request& request) const;
    // Closes all connections, refuses new ones, and checks in again some time later as a new process.
    net::task<void> crash();
    // Goes on as a new process at the same address, which knows nothing of the connections of the old one.
    void take_over();
    std::string registered_id() const;
    std::string answering_id() const;
    net::task<unsigned> post_json(host_port control, std::string path, std::string body);
    runner_fault take_fault(const runner_request& request);
    milliseconds pause() const;
    std::string report_body() const;
    net::task<void> answer_probe(net::tcp::socket& socket, const runner_request& request);
    std::string event_text(std::uint32_t number) const;
    std::string cut_head(const std::string& request_id) const;
    // The limit headers of an answer, each with its line end.
    std::string limit_headers() const;
    // Adds the limit headers to the text of a whole answer.
    std::string with_limit(std::string answer) const;
    net::task<void> send_cut_head(net::tcp::socket& socket, const runner_request& request,
                                  runner_fault fault);
    net::task<void> send_answer(net::tcp::socket& socket, const runner_request& request, runner_fault fault);
    net::task<void> stream_events(net::tcp::socket& socket, const runner_request& request,
                                  runner_fault fault);
    // Sends `text` again and again until the connection is closed.
    net::task<void> send_endless(net::tcp::socket& socket, std::string text, milliseconds interval = {});
    // Sends bytes of an event that never ends, until the connection is closed.
    net::task<void> send_unfinished_event(net::tcp::socket& socket, runner_fault fault);
    std::string check_in_body(const std::string& state, std::uint64_t start_ms, std::uint64_t sequence) const;

    net::asio::io_context& m_io;
    net::tcp::acceptor m_acceptor;
    runner_options m_options;
    std::uint64_t m_start_ms;
    std::uint64_t m_last_sequence = 0;

    mutable std::mutex m_mutex;
    std::deque<runner_fault> m_faults;
    bool m_reports_tickets = false;
    std::atomic<milliseconds> m_report_delay{milliseconds{0}};
    std::atomic<identity_calls> m_identity_calls{identity_calls::report_and_health};
    std::atomic<bool> m_keeps_id{false};
    std::atomic<bool> m_endless_orders{false};
    std::atomic<bool> m_answers_early{false};
    std::atomic<int> m_refused_health_calls{0};
    std::atomic<std::size_t> m_probes{0};
    runner_fault m_resume_fault = runner_fault::none;
    milliseconds m_pause{};
    std::optional<std::string> m_request_limit;
    std::string m_head;
    std::size_t m_head_bytes = 0;
    std::optional<runner_crash> m_crash;
    std::vector<time_point> m_crashes;
    std::set<std::shared_ptr<net::tcp::socket>> m_open;
    std::string m_current_id; // after a restart
    std::size_t m_refused = 0;
    std::vector<runner_request> m_requests;
    std::vector<time_point> m_arrivals;
    std::vector<runner_order> m_orders;
    std::size_t m_cancelled = 0;
};

} // namespace verbena::standin
