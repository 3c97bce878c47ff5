#include "standin/desk_service.h"

#include "standin/tokens.h"

namespace verbena::standin {

namespace json = boost::json;

namespace {

std::optional<std::uint64_t> parse_order_number(const std::string& text)
{
    return query_number("n=" + text, "n");
}

} // namespace

result<std::unique_ptr<desk_service>> desk_service::create(desk_options options, exit_function exit_process)
{
    auto service = std::make_unique<desk_service>(std::move(options), std::move(exit_process));
    BOOST_OUTCOME_TRY(service->m_event_log.open(service->m_options.event_log_path));
    return service;
}

desk_service::desk_service(desk_options options, exit_function exit_process)
    : m_options(std::move(options)), m_exit(std::move(exit_process))
{
}

net::task<void> desk_service::handle(net::http_exchange& exchange)
{
    if (m_unresponsive) {
        co_await wait_forever();
        co_return;
    }
    std::optional<net::http_response> response = execute(exchange.request());
    if (!response) {
        co_return;
    }
    if (m_options.delay.count() > 0) {
        co_await net::sleep_for(m_options.delay);
    }
    co_await send_reply(exchange, std::move(*response));
}

std::optional<net::http_response> desk_service::execute(const net::http_request& request)
{
    const std::vector<std::string> path = split_target(request.target).path;
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST" && request.target == "/fault") {
        return inject_fault(request.body);
    }
    if (request.method == "GET" && request.target == "/record") {
        return execution_counts();
    }
    if (request.method == "POST" && path == std::vector<std::string>{"orders"}) {
        return book_order(request);
    }
    if (request.method == "GET" && path.size() == 2 && path[0] == "stock") {
        return get_stock(path[1]);
    }
    const auto number = path.size() >= 2 && path[0] == "orders" ? parse_order_number(path[1]) : std::nullopt;
    if (number && request.method == "GET" && path.size() == 2) {
        return get_order(*number);
    }
    if (number && request.method == "PUT" && path.size() == 2) {
        return update_order(request, *number, false);
    }
    if (number && request.method == "POST" && path.size() == 3 && path[2] == "cancel") {
        return update_order(request, *number, true);
    }
    return error_reply(404, "not_found", "no such path");
}

std::optional<net::http_response> desk_service::book_order(const net::http_request& request)
{
    const std::uint64_t number = ++m_last_order_number;
    m_orders[number] = order{std::string(request.header("Idempotency-Key")), request.body, "booked"};
    record_execution(request, "book", number);
    if (m_exit_after_booking) {
        m_exit();
        return std::nullopt;
    }
    return json_reply(json::object{{"order", number}, {"state", "booked"}}, 201);
}

net::http_response desk_service::update_order(const net::http_request& request, std::uint64_t number,
                                              bool cancel)
{
    const auto it = m_orders.find(number);
    if (it == m_orders.end()) {
        return error_reply(404, "not_found", "no such order");
    }
    if (cancel) {
        it->second.state = "cancelled";
    } else {
        it->second.body = request.body;
    }
    record_execution(request, cancel ? "cancel" : "amend", number);
    return json_reply(json::object{{"order", number}, {"state", it->second.state}});
}

net::http_response desk_service::get_order(std::uint64_t number)
{
    const auto it = m_orders.find(number);
    if (it == m_orders.end()) {
        return error_reply(404, "not_found", "no such order");
    }
    return json_reply(json::object{
        {"order", number}, {"state", it->second.state}, {"key", it->second.key}, {"body", it->second.body}});
}

net::http_response desk_service::get_stock(const std::string& item) const
{
    return json_reply(json::object{{"item", item}, {"pieces", hash_prompt(item) % 1'000}});
}

net::http_response desk_service::execution_counts() const
{
    json::object executions_by_key;
    for (const auto& [key, count] : m_executions) {
        executions_by_key[key] = count;
    }
    return json_reply(json::object{{"orders", m_orders.size()}, {"runs", executions_by_key}});
}

net::http_response desk_service::inject_fault(const std::string& text)
{
    const auto body = parse_object(text);
    const std::string kind = body ? string_member(*body, "kind") : "";
    m_event_log.write(clock::now(), {{"fact", "fault"}, {"kind", kind}});
    if (kind == "die") {
        m_exit();
    } else if (kind == "hang") {
        m_unresponsive = true;
    } else if (kind == "die_after_run") {
        m_exit_after_booking = true;
    } else {
        return error_reply(400, "invalid_request", "unknown fault");
    }
    return json_reply(json::object{{"fault", kind}});
}

void desk_service::record_execution(const net::http_request& request, const char* operation,
                                    std::uint64_t number)
{
    const std::string key(request.header("Idempotency-Key"));
    ++m_executions[key];
    m_event_log.write(clock::now(), {{"fact", operation}, {"key", key}, {"order", number}});
}

std::map<std::string, std::uint64_t> desk_service::executions() const
{
    const std::lock_guard lock(m_mutex);
    return m_executions;
}

} // namespace verbena::standin
