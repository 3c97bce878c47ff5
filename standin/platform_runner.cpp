#include "standin/platform_runner.h"

#include "net/address.h"
#include "net/http_client.h"
#include "platform/names.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <chrono>

namespace verbena::standin {

namespace http = boost::beast::http;
namespace names = platform::names;
using net::no_throw;

namespace {

constexpr milliseconds event_pause{5};
constexpr milliseconds call_timeout{2'000};
constexpr const char* seal_value = "s1.standin";

std::string text_of(const http::request<http::string_body>& request, std::string_view name)
{
    return std::string(request[boost::beast::string_view(name.data(), name.size())]);
}

std::string head_of(unsigned status, const std::string& id, bool sealed)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\nRequest-Id: " + id + "\r\n";
    return sealed ? head + "Runner-Seal: " + seal_value + "\r\n" : head;
}

std::string whole_answer(unsigned status, const std::string& id, bool sealed, const std::string& body)
{
    return head_of(status, id, sealed) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

net::task<bool> write(net::tcp::socket& socket, std::string text)
{
    auto [failure, size] = co_await net::asio::async_write(socket, net::asio::buffer(text), no_throw);
    co_return !failure;
}

} // namespace

result<std::shared_ptr<platform_runner>> platform_runner::create(net::asio::io_context& io,
                                                                 runner_options options)
{
    BOOST_OUTCOME_TRY(net::tcp::acceptor acceptor, net::open_acceptor(io, options.listen));
    options.listen.port = acceptor.local_endpoint().port();
    return std::make_shared<platform_runner>(io, std::move(acceptor), std::move(options));
}

platform_runner::platform_runner(net::asio::io_context& io, net::tcp::acceptor acceptor,
                                 runner_options options)
    : m_io(io), m_acceptor(std::move(acceptor)), m_options(std::move(options)),
      m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
{
}

void platform_runner::start()
{
    net::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->accept_loop(); }, net::asio::detached);
}

void platform_runner::stop()
{
    net::asio::post(m_io, [self = shared_from_this()] {
        net::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

void platform_runner::set_faults(std::vector<runner_fault> faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults.assign(faults.begin(), faults.end());
}

std::vector<runner_request> platform_runner::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::vector<runner_order> platform_runner::orders() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

std::size_t platform_runner::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

runner_fault platform_runner::next_fault()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.empty()) {
        return runner_fault::none;
    }
    const runner_fault fault = m_faults.front();
    m_faults.pop_front();
    return fault;
}

net::task<void> platform_runner::accept_loop()
{
    while (true) {
        net::tcp::socket socket(net::asio::make_strand(m_io));
        auto [failure] = co_await m_acceptor.async_accept(socket, no_throw);
        if (failure) {
            co_return;
        }
        const auto executor = socket.get_executor();
        net::asio::co_spawn(
            executor,
            [self = shared_from_this(), accepted = std::move(socket)]() mutable {
                return self->serve(std::move(accepted));
            },
            net::asio::detached);
    }
}

net::task<void> platform_runner::serve(net::tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> message;
    auto [failure, size] = co_await http::async_read(socket, buffer, message, no_throw);
    if (failure) {
        co_return;
    }
    runner_request request;
    request.id = text_of(message, names::request_id);
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    request.team = text_of(message, names::team);
    request.expected_runner = text_of(message, names::expected_endpoint);
    request.deadline_ms = text_of(message, names::deadline);
    request.last_event = text_of(message, names::last_event);
    request.helpers = text_of(message, names::helpers);
    request.authorization = text_of(message, names::authorization);
    if (request.target == names::order) {
        {
            const std::lock_guard lock(m_mutex);
            m_orders.push_back({request.body, clock::now()});
        }
        co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        co_return;
    }
    const std::string self = m_options.answering_id.empty() ? m_options.id : m_options.answering_id;
    if (request.expected_runner != self) {
        co_await write(socket,
                       "HTTP/1.1 421 Misdirected\r\nRunner-Id: " + self + "\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    const runner_fault fault = next_fault();
    if (fault == runner_fault::refuse) {
        co_await write(socket, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: " + request.id +
                                   "\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
    }
    co_await answer(socket, request, fault);
}

net::task<void> platform_runner::answer(net::tcp::socket& socket, const runner_request& request,
                                        runner_fault fault)
{
    if (fault == runner_fault::no_answer) {
        char byte = 0;
        co_await socket.async_read_some(net::asio::buffer(&byte, 1), no_throw);
        const std::lock_guard lock(m_mutex);
        ++m_cancelled;
        co_return;
    }
    if (fault == runner_fault::reset) {
        co_return;
    }
    if (fault == runner_fault::fail) {
        co_await write(socket, whole_answer(500, request.id, true, "failed"));
        co_return;
    }
    const std::string id = fault == runner_fault::wrong_request_id ? "another-request" : request.id;
    if (!m_options.streams || fault == runner_fault::wrong_request_id) {
        std::string text = whole_answer(200, id, fault != runner_fault::no_mac, "ok " + request.body);
        text +=
            fault == runner_fault::extra_answer ? whole_answer(200, "another-request", true, "stray") : "";
        co_await write(socket, std::move(text));
        co_return;
    }
    co_await stream(socket, request, fault);
}

std::string platform_runner::event_text(std::uint32_t number) const
{
    return "id: " + std::to_string(number) + "\ndata: " + m_options.id + "\n\n";
}

net::task<void> platform_runner::stream(net::tcp::socket& socket, const runner_request& request,
                                        runner_fault fault)
{
    const bool headed = co_await write(socket, head_of(200, request.id, fault != runner_fault::no_mac) +
                                                   "Content-Type: text/event-stream\r\n"
                                                   "Transfer-Encoding: chunked\r\n\r\n");
    const auto after = static_cast<std::uint32_t>(
        request.last_event.empty() ? 0 : std::strtoul(request.last_event.c_str(), nullptr, 10));
    bool open = headed;
    for (std::uint32_t number = after + 1; open && number <= m_options.events; ++number) {
        const std::string event = event_text(number);
        if (fault == runner_fault::cut_in_event && number == after + 2) {
            co_await write(socket, chunk(event.substr(0, event.size() / 2)));
            co_return;
        }
        open = co_await write(socket, chunk(event));
        co_await net::sleep_for(event_pause);
    }
    if (open) {
        co_await write(socket, "0\r\n\r\n");
        co_return;
    }
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

std::string platform_runner::check_in_body(const std::string& state, std::uint64_t born,
                                           std::uint64_t sequence) const
{
    const std::string address = m_options.listen.host + ":" + std::to_string(m_options.listen.port);
    return boost::json::serialize(boost::json::value{{"backend", m_options.service},
                                                     {"addr", address},
                                                     {"zone", m_options.failure_domain},
                                                     {"version", "v1"},
                                                     {"slots", 16},
                                                     {"state", state},
                                                     {"cold_left_ms", 0},
                                                     {"seq", sequence},
                                                     {"born", born}});
}

net::task<unsigned> platform_runner::tell(host_port control, std::string path, std::string body)
{
    net::http_call call;
    call.target = std::move(path);
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = std::move(body);
    const result<net::http_response> answer =
        co_await net::fetch_http(std::move(control), std::move(call), call_timeout);
    co_return answer ? answer.value().status : 0;
}

net::task<unsigned> platform_runner::check_in(host_port control, std::string state)
{
    std::string body = check_in_body(state, m_born, ++m_sequence);
    std::string path = std::string(names::check_in) + m_options.id;
    co_return co_await tell(std::move(control), std::move(path), std::move(body));
}

net::task<unsigned> platform_runner::check_in_with_earlier_start(host_port control)
{
    constexpr std::uint64_t earlier_ms = 60'000;
    constexpr std::uint64_t high_sequence = 1'000'000;
    std::string body = check_in_body("draining", m_born - earlier_ms, high_sequence);
    std::string path = std::string(names::check_in) + m_options.id;
    co_return co_await tell(std::move(control), std::move(path), std::move(body));
}

net::task<unsigned> platform_runner::leave(host_port control)
{
    std::string body = boost::json::serialize(boost::json::value{{"born", m_born}});
    std::string path = std::string(names::leave) + m_options.id;
    co_return co_await tell(std::move(control), std::move(path), std::move(body));
}

} // namespace verbena::standin
