#pragma once

#include "base/settings.h"
#include "net/asio.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace verbena::standin {

// What a runner does wrong with one request.
enum class runner_fault : std::uint8_t {
    none,
    refuse,           // says that the request has not run
    fail,             // answers 500
    cut_in_event,     // breaks off in the middle of its second event
    wrong_request_id, // sends the answer of another request
    extra_answer,     // sends a second answer behind its own
    no_mac,           // leaves out the MAC
    no_answer,        // runs the request and says nothing
    reset,            // runs the request and closes the connection
};

// A request as a runner has received it.
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
};

// An order that a runner has received, such as a reservation of memory.
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
    // Answers only requests for this runner; another one of the service may take over the address.
    std::string answering_id;
};

// A runner of the users' platform for tests: serves requests over HTTP and checks in at control members. It
// speaks the platform's protocol, so its names stand here as they do in platform/.
class platform_runner : public std::enable_shared_from_this<platform_runner> {
public:
    static result<std::shared_ptr<platform_runner>> create(net::asio::io_context& io, runner_options options);

    platform_runner(net::asio::io_context& io, net::tcp::acceptor acceptor, runner_options options);

    void start();
    void stop();

    // The faults of the next requests, in order; requests behind them are served well.
    void set_faults(std::vector<runner_fault> faults);

    std::vector<runner_request> requests() const;
    std::vector<runner_order> orders() const;
    // Connections of callers that were closed before the answer was complete.
    std::size_t cancelled() const;

    // Says "ready" or "draining" at the control member; the status of the answer, 0 without one.
    net::task<unsigned> check_in(host_port control, std::string state);
    net::task<unsigned> leave(host_port control);

    // Check-ins of an earlier start of the runner, which must change nothing.
    net::task<unsigned> check_in_with_earlier_start(host_port control);

private:
    net::task<void> accept_loop();
    net::task<void> serve(net::tcp::socket socket);
    net::task<unsigned> tell(host_port control, std::string path, std::string body);
    runner_fault next_fault();
    std::string event_text(std::uint32_t number) const;
    net::task<void> answer(net::tcp::socket& socket, const runner_request& request, runner_fault fault);
    net::task<void> stream(net::tcp::socket& socket, const runner_request& request, runner_fault fault);
    std::string check_in_body(const std::string& state, std::uint64_t born, std::uint64_t sequence) const;

    net::asio::io_context& m_io;
    net::tcp::acceptor m_acceptor;
    runner_options m_options;
    std::uint64_t m_born;
    std::uint64_t m_sequence = 0;

    mutable std::mutex m_mutex;
    std::deque<runner_fault> m_faults;
    std::vector<runner_request> m_requests;
    std::vector<runner_order> m_orders;
    std::size_t m_cancelled = 0;
};

} // namespace verbena::standin
