#pragma once

#include "base/metrics.h"
#include "net/http_server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbena::standin {

struct infrastructure_options {
    host_port listen{"127.0.0.1", 0};
    double calls_per_s = 50;
    milliseconds lease{3'000}; // within which holders may not act in the order A, B, A
};

// Faults of the infrastructure; applied to each call while they are set.
struct infrastructure_faults {
    milliseconds delay{};               // before a call is carried out and answered
    bool silent = false;                // calls are neither carried out nor answered
    bool answers_lost = false;          // calls are carried out and not answered
    std::optional<milliseconds> late{}; // calls are not answered, and carried out after this time
};

// A report as it arrived, carried out or not.
struct received_report {
    std::string holder;
    std::map<std::string, std::uint64_t> counts; // by team

    bool operator==(const received_report&) const = default;
};

// An order of endpoints that was carried out.
struct scale_order {
    std::string service;
    std::string failure_domain;
    std::uint64_t desired = 0;
    std::string holder;
    std::uint64_t token = 0;
    time_point at;
};

// Stand-in for the infrastructure that takes calls of duties. Checks the token of each duty and subject,
// keeps its rate, and records what breaks the rules: a duty has one holder at a time, and all reports of a
// window that are sent, accepted or not, have the same counts.
class infrastructure : public net::http_handler, public std::enable_shared_from_this<infrastructure> {
public:
    static result<std::shared_ptr<infrastructure>> create(net::asio::io_context& io,
                                                          const infrastructure_options& options);

    infrastructure(net::asio::io_context& io, const infrastructure_options& options);

    net::task<void> handle(net::http_exchange& exchange) override;

    host_port address() const { return {m_options.listen.host, m_server->port()}; }

    void set_faults(const infrastructure_faults& faults);

    // Accepted reports: counts of each team, by window.
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> reports() const;

    // The first report of each window that arrived, carried out or not.
    std::map<std::uint64_t, received_report> received() const;

    // Accepted orders, in order.
    std::vector<scale_order> orders() const;

    // Names of the holders whose calls were accepted, in order; a holder that acts again at once is named
    // once.
    std::vector<std::string> holders() const;

    // Calls by status of their answer, also of answers that were not sent.
    std::map<unsigned, std::uint64_t> calls() const;

    // What broke the rule, in words.
    std::vector<std::string> violations() const;

private:
    struct call {
        std::string duty;
        std::string subject;
        std::string holder;
        std::uint64_t token = 0;
        std::string service;
        std::string failure_domain;
        std::uint64_t desired = 0;
        std::uint64_t window = 0;
        std::map<std::string, std::uint64_t> counts;
    };

    static std::optional<call> parse(const net::http_request& request);
    bool take_rate();
    void record_received(const call& value);
    // Carries a call out, unless it is fenced. Returns the status of the answer.
    unsigned execute(const call& value);
    void judge_holder(const call& value);

    net::asio::io_context& m_io;
    infrastructure_options m_options;
    metrics m_counters;
    std::shared_ptr<net::http_server> m_server;
    mutable std::mutex m_mutex;
    infrastructure_faults m_faults;
    double m_allowance = 0;
    time_point m_allowance_at;
    std::map<std::string, std::uint64_t> m_highest;                        // token, by duty and subject
    std::map<std::string, std::map<std::uint64_t, std::string>> m_senders; // by duty and token
    std::map<std::string, std::map<std::string, time_point>> m_last_call;  // by duty and holder
    std::map<std::string, std::string> m_last_holder;                      // by duty
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> m_reports;
    std::map<std::uint64_t, received_report> m_received;
    std::vector<scale_order> m_orders;
    std::vector<std::string> m_holders;
    std::map<unsigned, std::uint64_t> m_calls;
    std::vector<std::string> m_violations;
};

} // namespace verbena::standin
