#include "node/process.h"

#include "base/event_log.h"
#include "base/held_signals.h"
#include "base/log.h"
#include "base/random.h"

namespace verbena::node {

signal_response respond_to_signal(int number, std::uint32_t count, bool stopping)
{
    if (number == SIGHUP) {
        return stopping ? signal_response::ignore : signal_response::reload;
    }
    if (!stopping) {
        return signal_response::stop;
    }
    return number == SIGINT && count > 1 ? signal_response::exit : signal_response::ignore;
}

std::string_view to_string(signal_response value)
{
    switch (value) {
    case signal_response::stop:
        return "stop";
    case signal_response::ignore:
        return "ignored";
    case signal_response::exit:
        return "exit";
    case signal_response::reload:
        return "reload";
    }
    return "unknown";
}

result<std::unique_ptr<process>> process::create(const settings::node_settingsT& settings)
{
    auto created = std::make_unique<process>(settings);
    BOOST_OUTCOME_TRY(created->open_metrics());
    return created;
}

process::process(settings::node_settingsT settings)
    : m_settings(std::move(settings)), m_io(static_cast<int>(m_settings.workers)),
      m_work(net::asio::make_work_guard(m_io)), m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_incarnation(make_incarnation())
{
}

result<void> process::open_metrics()
{
    if (m_settings.metrics_listen.empty()) {
        return success();
    }
    BOOST_OUTCOME_TRY(const host_port address, parse_host_port(m_settings.metrics_listen));
    net::http_limits limits;
    limits.max_body = 1024;
    limits.max_connections = 64;
    BOOST_OUTCOME_TRY(
        m_server, net::http_server::create(m_io, address, limits, *this, m_metrics, std::string("metrics")));
    m_server->start();
    return success();
}

void process::on_call(call_handler handler)
{
    const std::lock_guard lock(m_call_mutex);
    m_on_call = std::move(handler);
}

std::optional<net::http_response> process::call(const net::http_request& request)
{
    call_handler handler;
    {
        const std::lock_guard lock(m_call_mutex);
        handler = m_on_call;
    }
    return handler ? handler(request) : std::nullopt;
}

net::task<void> process::handle(net::http_exchange& exchange)
{
    net::http_response response;
    response.content_type = "text/plain; version=0.0.4";
    if (exchange.request().target == "/metrics") {
        response.body = m_metrics.render();
    } else if (exchange.request().target == "/ready") {
        response.status = m_ready ? 200 : 503;
        response.body = m_ready ? "ready\n" : "not ready\n";
    } else if (exchange.request().target == "/live") {
        response.body = "live\n";
    } else if (std::optional<net::http_response> answer = call(exchange.request())) {
        response = std::move(*answer);
    } else {
        response.status = 404;
        response.body = "use /metrics, /ready or /live\n";
    }
    const result<void> sent = co_await exchange.reply(std::move(response));
    if (!sent) {
        m_metrics.add("verbena_metrics_reply_failures_total", {});
    }
}

net::task<void> process::wait_for_signals()
{
    while (true) {
        auto [failure, number] = co_await m_signals.async_wait(net::no_throw);
        if (failure) {
            co_return;
        }
        handle_signal(number);
    }
}

void process::handle_signal(int number)
{
    const std::uint32_t count = ++m_signal_counts[number];
    const signal_response response = respond_to_signal(number, count, m_stopping);
    const char* name = number == SIGTERM ? "SIGTERM" : (number == SIGINT ? "SIGINT" : "SIGHUP");
    log::info("received " + std::string(name) + ": " + std::string(to_string(response)));
    event_log::write(event::signal_receivedT{{}, name, count, std::string(to_string(response))});
    switch (response) {
    case signal_response::stop:
        m_stopping = true;
        m_ready = false;
        m_on_stop();
        return;
    case signal_response::reload:
        if (m_on_reload) {
            m_on_reload();
        }
        return;
    case signal_response::exit:
        m_io.stop();
        return;
    case signal_response::ignore:
        return;
    }
}

int process::run(stop_action on_stop)
{
    m_on_stop = std::move(on_stop);
    net::asio::co_spawn(
        net::asio::make_strand(m_io), [this] { return wait_for_signals(); }, net::asio::detached);
    release_signals();
    std::vector<std::thread> workers;
    for (std::uint32_t i = 1; i < m_settings.workers; ++i) {
        workers.emplace_back([this] { m_io.run(); });
    }
    m_io.run();
    for (std::thread& worker : workers) {
        worker.join();
    }
    return m_exit_code;
}

void process::stop(int exit_code)
{
    m_exit_code = exit_code;
    m_work.reset();
    m_io.stop();
}

} // namespace verbena::node
