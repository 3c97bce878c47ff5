#pragma once

#include "base/metrics.h"
#include "base/settings.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace verbena::node {

// What a process does about a signal.
enum class signal_response : std::uint8_t { stop, ignore, exit, reload };

// `count`: signals of this kind that the process has received, this one included. A supervisor may repeat
// SIGTERM or send SIGHUP while requests are still being completed, so neither changes a stop in progress. A
// second SIGINT comes from a person at a terminal, who wants the process to end.
signal_response respond_to_signal(int number, std::uint32_t count, bool stopping);

std::string_view to_string(signal_response value);

// Functions common to all roles: the worker threads, signal handling, and the HTTP server for metrics and
// readiness.
class process : private net::http_handler {
public:
    // Called once, on the first SIGTERM or SIGINT; the process exits when stop() is called, which the action
    // has to ensure within a bounded time.
    using stop_action = std::function<void()>;

    // Called on SIGHUP before a stop, to reload the settings file.
    using reload_action = std::function<void()>;

    static result<std::unique_ptr<process>> create(const settings::node_settingsT& settings);

    net::asio::io_context& io() { return m_io; }
    metrics& counters() { return m_metrics; }
    const settings::node_settingsT& settings() const { return m_settings; }
    incarnation self_incarnation() const { return m_incarnation; }

    // /ready returns 200 while this is true, otherwise 503.
    void set_ready(bool ready) { m_ready = ready; }

    // Runs the worker threads until stop() is called; returns the exit code.
    int run(stop_action on_stop);
    // Answers further requests at the address of the metrics; empty for a target that it does not know.
    using call_handler = std::function<std::optional<net::http_response>(const net::http_request&)>;
    void on_call(call_handler handler);

    void on_reload(reload_action action) { m_on_reload = std::move(action); }
    void stop(int exit_code = 0);

    explicit process(settings::node_settingsT settings);

private:
    net::task<void> handle(net::http_exchange& exchange) override;
    std::optional<net::http_response> call(const net::http_request& request);
    net::task<void> wait_for_signals();
    void handle_signal(int number);
    result<void> open_metrics();

    settings::node_settingsT m_settings;
    net::asio::io_context m_io;
    net::asio::executor_work_guard<net::asio::io_context::executor_type> m_work;
    net::asio::signal_set m_signals;
    std::map<int, std::uint32_t> m_signal_counts;
    bool m_stopping = false;
    metrics m_metrics;
    std::shared_ptr<net::http_server> m_server;
    std::atomic<bool> m_ready{false};
    incarnation m_incarnation;
    std::atomic<int> m_exit_code{0};
    stop_action m_on_stop;
    reload_action m_on_reload;

    // Guards the member below; held alone.
    std::mutex m_call_mutex;
    call_handler m_on_call;
};

} // namespace verbena::node
