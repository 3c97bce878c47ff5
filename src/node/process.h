#pragma once

#include "base/metrics.h"
#include "base/settings.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace verbena::node {

// What every role shares: the worker pool, signals, and the metrics and readiness endpoint.
class process : private net::http_handler {
public:
    // Called once on the first SIGTERM or SIGINT; the process ends when `stop` is called.
    using stop_action = std::function<void()>;

    // Called on SIGHUP: the settings file may have changed.
    using reload_action = std::function<void()>;

    static result<std::unique_ptr<process>> create(const settings::node_settingsT& settings);

    net::asio::io_context& io() { return m_io; }
    metrics& counters() { return m_metrics; }
    const settings::node_settingsT& settings() const { return m_settings; }
    incarnation self_incarnation() const { return m_incarnation; }

    // /ready answers 200 while this is true.
    void set_ready(bool ready) { m_ready = ready; }

    // Runs the workers until stop(); returns the exit code.
    int run(stop_action on_stop);
    void on_reload(reload_action action) { m_on_reload = std::move(action); }
    void stop(int exit_code = 0);

    explicit process(settings::node_settingsT settings);

private:
    net::task<void> handle(net::http_exchange& exchange) override;
    net::task<void> wait_for_signals();
    net::task<void> wait_for_reload();
    result<void> open_metrics();

    settings::node_settingsT m_settings;
    net::asio::io_context m_io;
    net::asio::executor_work_guard<net::asio::io_context::executor_type> m_work;
    net::asio::signal_set m_signals;
    net::asio::signal_set m_reload_signals;
    metrics m_metrics;
    std::shared_ptr<net::http_server> m_server;
    std::atomic<bool> m_ready{false};
    incarnation m_incarnation;
    std::atomic<int> m_exit_code{0};
    stop_action m_on_stop;
    reload_action m_on_reload;
};

} // namespace verbena::node
