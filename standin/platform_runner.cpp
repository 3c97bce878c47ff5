#include "standin/platform_runner.h"

#include "net/address.h"
#include "net/http_client.h"
#include "net/receive_buffer.h"
#include "platform/names.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <chrono>
#include <sstream>

namespace verbena::standin {

namespace http = boost::beast::http;
namespace names = platform::names;
using net::no_throw;

namespace {

constexpr milliseconds event_interval{5};
constexpr milliseconds drip_interval{50}; // of bytes without an end
constexpr milliseconds control_timeout{2'000};
constexpr const char* mac_value = "s1.standin";
constexpr std::string_view health_path = "/healthz";

std::string header_text(const http::request<http::string_body>& request, std::string_view name)
{
    return std::string(request[boost::beast::string_view(name.data(), name.size())]);
}

std::string response_head(unsigned status, const std::string& id, bool with_mac)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\nRequest-Id: " + id + "\r\n";
    return with_mac ? head + "Runner-Seal: " + mac_value + "\r\n" : head;
}

std::string complete_response(unsigned status, const std::string& id, bool with_mac, const std::string& body)
{
    return response_head(status, id, with_mac) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
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

bool is_unframed(runner_fault fault)
{
    return fault == runner_fault::unframed || fault == runner_fault::unframed_cut ||
           fault == runner_fault::unframed_reset || fault == runner_fault::unframed_crash ||
           fault == runner_fault::unframed_restart;
}

void reset(net::tcp::socket& socket)
{
    net::error_code ignored;
    socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::uint64_t unix_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

// Redirects that a runner follows.
constexpr int max_redirects = 2;

// The address to which a response redirects.
result<host_port> redirect_target(const net::http_response& response)
{
    static constexpr std::string_view scheme = "http://";
    for (const auto& [name, value] : response.headers) {
        if (response.status == 307 && name == "Location" && value.starts_with(scheme)) {
            const std::string rest = value.substr(scheme.size());
            return parse_host_port(rest.substr(0, rest.find('/')));
        }
    }
    return make_error(error_kind::not_found, "the response is no redirect", "use the response");
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
    : m_io(io), m_acceptor(std::move(acceptor)), m_options(std::move(options)), m_start_ms(unix_ms())
{
}

void platform_runner::start()
{
    net::asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept_loop(); },
        net::asio::detached);
}

void platform_runner::stop()
{
    net::asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        net::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

void platform_runner::set_faults(std::vector<runner_fault> faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults.assign(faults.begin(), faults.end());
}

void platform_runner::set_resume_fault(runner_fault fault)
{
    const std::lock_guard lock(m_mutex);
    m_resume_fault = fault;
}

void platform_runner::report_tickets_as_used()
{
    const std::lock_guard lock(m_mutex);
    m_reports_tickets = true;
}

std::string platform_runner::report_body() const
{
    const std::lock_guard lock(m_mutex);
    boost::json::array tickets;
    for (const runner_order& order : m_orders) {
        const boost::json::value parsed = boost::json::parse(order.body);
        if (m_reports_tickets) {
            tickets.push_back({{"id", parsed.at("id")}, {"state", "used"}});
        }
    }
    boost::json::object report{{"tickets", std::move(tickets)}};
    if (m_identity_calls == identity_calls::report_and_health) {
        report["born"] = m_start_ms;
    }
    return boost::json::serialize(report);
}

net::task<void> platform_runner::answer_probe(net::tcp::socket& socket, const runner_request& request)
{
    ++m_probes;
    if (request.target == names::report) {
        const std::string report = report_body();
        co_await net::sleep_for(m_report_delay.exchange(milliseconds(0)));
        co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) +
                                   "\r\n\r\n" + report);
        co_return;
    }
    if (m_refused_health_calls > 0) {
        --m_refused_health_calls;
        co_await write(socket, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    if (m_identity_calls != identity_calls::none) {
        answer += "Runner-Id: " + answering_id() + "\r\n";
    }
    answer += "\r\n";
    co_await write(socket, std::move(answer));
}

void platform_runner::set_pause(milliseconds pause)
{
    const std::lock_guard lock(m_mutex);
    m_pause = pause;
}

milliseconds platform_runner::pause() const
{
    const std::lock_guard lock(m_mutex);
    return m_pause;
}

void platform_runner::set_request_limit(std::optional<std::string> text)
{
    const std::lock_guard lock(m_mutex);
    m_request_limit = std::move(text);
}

void platform_runner::set_head(std::string head, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_head = std::move(head);
    m_head_bytes = bytes;
}

std::string platform_runner::cut_head(const std::string& request_id) const
{
    const std::lock_guard lock(m_mutex);
    std::string head = m_head;
    const auto placeholder = head.find("ID");
    if (placeholder != std::string::npos) {
        head.replace(placeholder, 2, request_id);
    }
    return head.substr(0, m_head_bytes);
}

std::string platform_runner::limit_headers() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_request_limit) {
        return {};
    }
    std::string headers;
    std::istringstream lines(*m_request_limit);
    std::string line;
    do {
        std::getline(lines, line);
        headers.append(names::request_limit).append(": ").append(line).append("\r\n");
    } while (!lines.eof());
    return headers;
}

std::string platform_runner::with_limit(std::string answer) const
{
    return answer.insert(answer.find("\r\n") + 2, limit_headers());
}

std::vector<runner_request> platform_runner::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::vector<time_point> platform_runner::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
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

std::size_t platform_runner::refused() const
{
    const std::lock_guard lock(m_mutex);
    return m_refused;
}

runner_fault platform_runner::take_fault(const runner_request& request)
{
    const std::lock_guard lock(m_mutex);
    if (!request.last_event.empty() && m_resume_fault != runner_fault::none) {
        return m_resume_fault;
    }
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
        auto socket = std::make_shared<net::tcp::socket>(net::asio::make_strand(m_io));
        auto [failure] = co_await m_acceptor.async_accept(*socket, no_throw);
        if (failure) {
            co_return;
        }
        if (m_answers_early) {
            net::set_receive_buffer(*socket, net::http_receive_buffer);
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
        }
        net::asio::co_spawn(
            socket->get_executor(),
            [self = shared_from_this(), socket]() -> net::task<void> {
                co_await self->serve(socket);
                const std::lock_guard lock(self->m_mutex);
                self->m_open.erase(socket);
            },
            net::asio::detached);
    }
}

void platform_runner::set_crash(runner_crash crash)
{
    const std::lock_guard lock(m_mutex);
    m_crash = std::move(crash);
}

std::vector<time_point> platform_runner::crashes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

bool platform_runner::crashes_under(const runner_request& request) const
{
    const std::lock_guard lock(m_mutex);
    // Of "a:10,b:20,c:30" the part c belongs to the request itself.
    const std::string shared = request.prompt_parts.substr(0, request.prompt_parts.rfind(','));
    return m_crash && ("," + shared + ":").find("," + m_crash->part + ":") != std::string::npos;
}

std::string platform_runner::registered_id() const
{
    const std::lock_guard lock(m_mutex);
    return m_current_id.empty() ? m_options.id : m_current_id;
}

std::string platform_runner::answering_id() const
{
    return m_options.answering_id.empty() ? registered_id() : m_options.answering_id;
}

net::task<void> platform_runner::crash()
{
    std::set<std::shared_ptr<net::tcp::socket>> open;
    runner_crash crash;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_acceptor.is_open()) {
            co_return; // another request has crashed it meanwhile
        }
        net::error_code ignored;
        m_acceptor.close(ignored);
        crash = m_crash.value_or(runner_crash{});
        m_crashes.push_back(clock::now());
        open = m_open;
        m_current_id = m_options.id + "-" + std::to_string(m_crashes.size());
    }
    for (const auto& socket : open) {
        net::asio::post(socket->get_executor(), [socket] {
            net::error_code ignored;
            socket->close(ignored);
        });
    }
    net::asio::co_spawn(
        net::asio::make_strand(m_io),
        [self = shared_from_this(), crash]() -> net::task<void> {
            if (crash.control.port == 0) {
                co_return;
            }
            co_await net::sleep_for(crash.restart_after);
            result<net::tcp::acceptor> acceptor = net::open_acceptor(self->m_io, self->m_options.listen);
            if (!acceptor) {
                co_return;
            }
            {
                const std::lock_guard lock(self->m_mutex);
                self->m_acceptor = std::move(acceptor.value());
                self->m_start_ms = unix_ms();
                self->m_last_sequence = 0;
            }
            self->start();
            constexpr int max_check_ins = 20;
            constexpr milliseconds check_in_interval{100};
            for (int i = 0; i < max_check_ins && co_await self->check_in(crash.control, "ready") != 200;
                 ++i) {
                co_await net::sleep_for(check_in_interval);
            }
        },
        net::asio::detached);
}

void platform_runner::take_over()
{
    const std::lock_guard lock(m_mutex);
    m_crashes.push_back(clock::now());
    if (!m_keeps_id) {
        m_current_id = m_options.id + "-" + std::to_string(m_crashes.size());
    }
    m_start_ms = unix_ms();
    m_last_sequence = 0;
}

net::task<void> platform_runner::serve(std::shared_ptr<net::tcp::socket> open)
{
    net::tcp::socket& socket = *open;
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    auto [head_failure, head_size] = co_await http::async_read_header(socket, buffer, parser, no_throw);
    if (head_failure) {
        co_return;
    }
    if (!m_answers_early || parser.get().target() == names::order) {
        auto [failure, size] = co_await http::async_read(socket, buffer, parser, no_throw);
        if (failure) {
            co_return;
        }
    }
    const http::request<http::string_body>& message = parser.get();
    runner_request request;
    request.id = header_text(message, names::request_id);
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    request.team = header_text(message, names::team);
    request.expected_runner = header_text(message, names::expected_endpoint);
    request.deadline_ms = header_text(message, names::deadline);
    request.last_event = header_text(message, names::last_event);
    request.helpers = header_text(message, names::helpers);
    request.authorization = header_text(message, names::authorization);
    request.prompt_parts = header_text(message, names::prompt_parts);
    request.received = clock::now();
    const bool is_probe = request.target == names::report || request.target == health_path;
    if (!is_probe) {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(request.received);
    }
    if (request.target == names::order) {
        {
            const std::lock_guard lock(m_mutex);
            m_orders.push_back({request.body, clock::now()});
        }
        if (m_endless_orders) {
            co_await write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            co_await send_endless(socket, chunk(" "), drip_interval);
            co_return;
        }
        co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        co_return;
    }
    if (is_probe) {
        co_await answer_probe(socket, request);
        co_return;
    }
    if (request.expected_runner != answering_id()) {
        co_await write(socket, "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + request.id +
                                   "\r\nRunner-Id: " + answering_id() + "\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    const runner_fault fault = take_fault(request);
    if (fault == runner_fault::refuse || fault == runner_fault::refuse_for_2s) {
        {
            const std::lock_guard lock(m_mutex);
            ++m_refused;
        }
        const std::string wait = fault == runner_fault::refuse ? "" : "Retry-After: 2\r\n";
        co_await write(socket, with_limit("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: " + request.id +
                                          "\r\n" + wait + "Content-Length: 0\r\n\r\n"));
        co_return;
    }
    std::size_t position = 0;
    {
        const std::lock_guard lock(m_mutex);
        request.fault = fault;
        position = m_requests.size();
        m_requests.push_back(request);
    }
    if (m_options.prefill > milliseconds::zero()) {
        co_await net::sleep_for(m_options.prefill);
    }
    if (crashes_under(request)) {
        co_await crash();
        co_return;
    }
    co_await send_answer(socket, request, fault);
    if (fault == runner_fault::answer_twice) {
        co_await send_answer(socket, request, runner_fault::none);
    }
    const std::lock_guard lock(m_mutex);
    m_requests[position].ended = clock::now();
}

net::task<void> platform_runner::send_cut_head(net::tcp::socket& socket, const runner_request& request,
                                               runner_fault fault)
{
    co_await write(socket, cut_head(request.id));
    net::error_code ignored;
    if (fault == runner_fault::half_closed || fault == runner_fault::half_closed_reset) {
        socket.shutdown(net::tcp::socket::shutdown_send, ignored);
    }
    if (fault == runner_fault::half_closed) {
        std::array<char, 16 * 1024> rest{};
        while (true) {
            auto [failure, size] = co_await socket.async_read_some(net::asio::buffer(rest), no_throw);
            if (failure) {
                co_return;
            }
        }
    }
    if (fault == runner_fault::cut_head_reset || fault == runner_fault::half_closed_reset) {
        co_await net::sleep_for(event_interval); // what was written is not discarded by the reset
        reset(socket);
    }
}

net::task<void> platform_runner::send_answer(net::tcp::socket& socket, const runner_request& request,
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
    if (fault == runner_fault::cut_head || fault == runner_fault::cut_head_reset ||
        fault == runner_fault::half_closed || fault == runner_fault::half_closed_reset) {
        co_await send_cut_head(socket, request, fault);
        co_return;
    }
    if (fault == runner_fault::pause_before_head) {
        co_await net::sleep_for(pause());
    }
    if (fault == runner_fault::fail) {
        co_await write(socket, with_limit(complete_response(500, request.id, true, "failed")));
        co_return;
    }
    if (fault == runner_fault::stale_refusal || fault == runner_fault::stale_misdirected) {
        const bool refusal = fault == runner_fault::stale_refusal;
        co_await write(socket, std::string("HTTP/1.1 ") + (refusal ? "503 Busy" : "421 Misdirected") +
                                   "\r\nNot-Run: 1\r\nRequest-Id: another-request\r\nRetry-After: 60\r\n" +
                                   "Content-Length: 0\r\n\r\n");
        co_return;
    }
    if (fault == runner_fault::reject) {
        co_await write(socket, complete_response(400, request.id, true, "rejected"));
        co_return;
    }
    if (fault == runner_fault::plain_answer) {
        co_await write(socket, response_head(200, request.id, true) +
                                   "Content-Type: text/plain\r\nContent-Length: 9\r\n\r\nplain\n\n\n\n");
        co_return;
    }
    if (fault == runner_fault::endless_head) {
        co_await write(socket, "HTTP/1.1 200 OK\r\n");
        co_await send_endless(socket, "Filler: " + std::string(1'000, 'x') + "\r\n");
        co_return;
    }
    if (fault == runner_fault::dripping_head) {
        co_await write(socket, "HTTP/1.1 200 OK\r\nFiller: ");
        co_await send_endless(socket, "x", drip_interval);
        co_return;
    }
    if (fault == runner_fault::dripping_chunk) {
        co_await write(socket, response_head(200, request.id, true) + "Transfer-Encoding: chunked\r\n\r\n");
        co_await send_endless(socket, "x", drip_interval);
        co_return;
    }
    if (fault == runner_fault::endless_chunk || fault == runner_fault::endless_trailer ||
        fault == runner_fault::endless_body || fault == runner_fault::dripping_body) {
        co_await write(socket, response_head(200, request.id, true) + "Transfer-Encoding: chunked\r\n\r\n" +
                                   (fault == runner_fault::endless_trailer ? "0\r\n" : ""));
        if (fault == runner_fault::dripping_body) {
            co_await send_endless(socket, chunk("x"), drip_interval);
            co_return;
        }
        std::string filler(8'192, 'x');
        if (fault == runner_fault::endless_body) {
            filler = chunk(filler);
        } else if (fault == runner_fault::endless_trailer) {
            filler = "Filler: " + filler + "\r\n";
        }
        co_await send_endless(socket, std::move(filler));
        co_return;
    }
    const std::string id = fault == runner_fault::wrong_request_id ? "another-request" : request.id;
    if (!m_options.streams && is_unframed(fault)) {
        const std::string body = "ok " + request.body;
        co_await write(socket, response_head(200, id, true) + "\r\n" + body.substr(0, body.size() / 2));
        co_await net::sleep_for(event_interval); // the first half is not discarded by a reset
        if (fault == runner_fault::unframed_reset) {
            reset(socket);
            co_return;
        }
        if (fault == runner_fault::unframed_crash) {
            co_await crash();
            co_return;
        }
        if (fault == runner_fault::unframed_restart) {
            take_over();
            co_return;
        }
        co_await write(socket, body.substr(body.size() / 2));
        co_return;
    }
    if (!m_options.streams || fault == runner_fault::wrong_request_id) {
        std::string text =
            with_limit(complete_response(200, id, fault != runner_fault::no_mac, "ok " + request.body));
        if (fault == runner_fault::pause_in_body) {
            const std::size_t rest = request.body.size() / 2;
            co_await write(socket, text.substr(0, text.size() - rest));
            co_await net::sleep_for(pause());
            text.erase(0, text.size() - rest);
        }
        text += fault == runner_fault::extra_answer ? complete_response(200, "another-request", true, "stray")
                                                    : "";
        co_await write(socket, std::move(text));
        co_return;
    }
    co_await stream_events(socket, request, fault);
}

std::string platform_runner::event_text(std::uint32_t number) const
{
    return "id: " + std::to_string(number) + "\ndata: " + m_options.id + "\n\n";
}

net::task<void> platform_runner::stream_events(net::tcp::socket& socket, const runner_request& request,
                                               runner_fault fault)
{
    const bool head_sent = co_await write(
        socket, response_head(200, request.id, fault != runner_fault::no_mac) + limit_headers() +
                    (fault == runner_fault::leaving ? "Server-Leaving: 1\r\n" : "") +
                    "Content-Type: text/event-stream\r\n" +
                    (is_unframed(fault) ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n");
    const auto framed = [fault](const std::string& text) { return is_unframed(fault) ? text : chunk(text); };
    const auto last_event_number = static_cast<std::uint32_t>(
        request.last_event.empty() ? 0 : std::strtoul(request.last_event.c_str(), nullptr, 10));
    bool connected = head_sent;
    if (fault == runner_fault::no_events) {
        co_await write(socket, "0\r\n\r\n");
        co_return;
    }
    for (std::uint32_t number = last_event_number + 1; connected && number <= m_options.events; ++number) {
        std::string event = event_text(number);
        if (fault == runner_fault::cut_without_ids) {
            event.erase(0, event.find('\n') + 1);
        }
        const bool is_second = number == last_event_number + 2;
        if (is_second && (fault == runner_fault::pause_in_stream || fault == runner_fault::pause_and_cut)) {
            co_await net::sleep_for(pause());
        }
        if (is_second && (fault == runner_fault::cut_in_event || fault == runner_fault::unframed_cut ||
                          fault == runner_fault::cut_without_ids || fault == runner_fault::pause_and_cut)) {
            co_await write(socket, framed(event.substr(0, event.size() / 2)));
            co_return;
        }
        if (is_second && fault == runner_fault::unframed_reset) {
            reset(socket);
            co_return;
        }
        if (is_second && fault == runner_fault::unframed_crash) {
            co_await crash();
            co_return;
        }
        if (is_second && fault == runner_fault::unframed_restart) {
            take_over();
            co_return;
        }
        if (is_second && (fault == runner_fault::drip || fault == runner_fault::endless_event)) {
            co_await send_unfinished_event(socket, fault);
            co_return;
        }
        connected = co_await write(socket, framed(event));
        co_await net::sleep_for(event_interval);
    }
    if (connected) {
        co_await write(socket, is_unframed(fault) ? "" : "0\r\n\r\n");
        co_return;
    }
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

net::task<void> platform_runner::send_endless(net::tcp::socket& socket, std::string text,
                                              milliseconds interval)
{
    while (co_await write(socket, text)) {
        if (interval != milliseconds::zero()) {
            co_await net::sleep_for(interval);
        }
    }
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

net::task<void> platform_runner::send_unfinished_event(net::tcp::socket& socket, runner_fault fault)
{
    bool connected = co_await write(socket, chunk("data: "));
    while (connected) {
        if (fault == runner_fault::drip) {
            co_await net::sleep_for(drip_interval);
        }
        connected = co_await write(socket, chunk(std::string(fault == runner_fault::drip ? 1 : 8'192, 'x')));
    }
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

std::string platform_runner::check_in_body(const std::string& state, std::uint64_t start_ms,
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
                                                     {"born", start_ms}});
}

net::task<unsigned> platform_runner::post_json(host_port control, std::string path, std::string body)
{
    net::http_call call;
    call.target = std::move(path);
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = std::move(body);
    for (int redirects = 0;; ++redirects) {
        const result<net::http_response> response = co_await net::fetch_http(control, call, control_timeout);
        if (!response) {
            co_return 0;
        }
        const result<host_port> next = redirect_target(response.value());
        if (!next || redirects == max_redirects) {
            co_return response.value().status;
        }
        control = next.value();
    }
}

net::task<unsigned> platform_runner::check_in(host_port control, std::string state)
{
    std::string body = check_in_body(state, m_start_ms, ++m_last_sequence);
    std::string path = std::string(names::check_in) + registered_id();
    co_return co_await post_json(std::move(control), std::move(path), std::move(body));
}

net::task<unsigned> platform_runner::check_in_with_earlier_start(host_port control)
{
    constexpr std::uint64_t start_difference_ms = 60'000;
    constexpr std::uint64_t high_sequence = 1'000'000;
    std::string body = check_in_body("draining", m_start_ms - start_difference_ms, high_sequence);
    std::string path = std::string(names::check_in) + m_options.id;
    co_return co_await post_json(std::move(control), std::move(path), std::move(body));
}

net::task<unsigned> platform_runner::leave(host_port control)
{
    std::string body = boost::json::serialize(boost::json::value{{"born", m_start_ms}});
    std::string path = std::string(names::leave) + m_options.id;
    co_return co_await post_json(std::move(control), std::move(path), std::move(body));
}

} // namespace verbena::standin
