#include "standin/relay_service.h"

#include "standin/http_util.h"

namespace verbena::standin {

namespace {

std::optional<relay_direction> parse_direction(const std::string& text)
{
    if (text == "to_target") {
        return relay_direction::to_target;
    }
    if (text == "from_target") {
        return relay_direction::from_target;
    }
    if (text == "both") {
        return relay_direction::both;
    }
    return std::nullopt;
}

net::http_response no_content()
{
    return net::http_response{204, "application/json", {}, {}};
}

} // namespace

relay_service::relay_service(std::shared_ptr<relay> controlled) : m_relay(std::move(controlled)) {}

net::http_response relay_service::inject_fault(const net::http_request& request)
{
    const auto body = parse_object(request.body);
    const auto direction = body ? parse_direction(string_member(*body, "direction")) : std::nullopt;
    if (!direction) {
        return error_reply(400, "bad_direction", "direction must be to_target, from_target or both");
    }
    if (request.target == "/corrupt") {
        m_relay->corrupt_next(*direction);
        return no_content();
    }
    const boost::json::value* existing_only = body->if_contains("existing_only");
    m_relay->cut(*direction,
                 existing_only != nullptr && existing_only->is_bool() && existing_only->as_bool());
    return no_content();
}

net::http_response relay_service::execute(const net::http_request& request)
{
    if (request.method != "POST") {
        return error_reply(405, "method", "use POST");
    }
    if (request.target == "/cut" || request.target == "/corrupt") {
        return inject_fault(request);
    }
    if (request.target == "/heal") {
        m_relay->heal();
        return no_content();
    }
    if (request.target == "/close") {
        m_relay->close();
        return no_content();
    }
    return error_reply(404, "path", "use /cut, /corrupt, /heal or /close");
}

net::task<void> relay_service::handle(net::http_exchange& exchange)
{
    co_await send_reply(exchange, execute(exchange.request()));
}

} // namespace verbena::standin
