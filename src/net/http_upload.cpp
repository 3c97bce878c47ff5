#include "net/http_connection.h"

#include <boost/beast/http/read.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace verbena::net {

namespace http = boost::beast::http;

http_response http_handler::refuse(unsigned status, const std::string& kind, const std::string& message,
                                   const std::string& remedy)
{
    const boost::json::value body = {
        {"error", {{"type", kind}, {"message", message}, {"remedy", remedy}, {"outcome", "not_run"}}}};
    return http_response{status, "application/json", boost::json::serialize(body) + "\n", {}};
}

task<http_server::next_step> http_server::refuse(connection_state& connection, refusal reason)
{
    count(reason.kind);
    connection.deadline.clear();
    http_exchange exchange(*this, connection.stream, http_request{}, false);
    http_response response = m_handler.refuse(reason.status, reason.kind, reason.message, reason.remedy);
    const result<void> sent = co_await exchange.reply(std::move(response));
    if (!sent) {
        count("refusal_not_sent");
        co_return next_step::close;
    }
    co_return next_step::linger;
}

task<std::optional<http_server::refusal>> http_server::read_body(connection_state& connection,
                                                                 upload& received)
{
    const time_point start = clock::now();
    const http_limits bounds = limits();
    while (!received.parser.is_done()) {
        connection.deadline.set(std::min(start + bounds.body_timeout, clock::now() + bounds.header_timeout));
        auto [failure, size] =
            co_await http::async_read_some(connection.stream, connection.buffer, received.parser, no_throw);
        if (failure) {
            co_return connection.deadline.expired() ? refusal::slow("the body did not arrive in time")
                                                    : refusal::for_failure(failure);
        }
        const std::uint64_t bytes = received.parser.get().body().size();
        if (received.reservation.set(bytes) > bounds.max_total_body) {
            co_return refusal{503, "upload_memory",
                              "the request bodies being received exceed the memory limit of the server",
                              "retry after a second"};
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - start);
        if (elapsed > bounds.body_rate_grace &&
            bytes * 1000 < static_cast<std::uint64_t>(elapsed.count()) * bounds.min_body_rate) {
            co_return refusal::slow("the body arrives too slowly");
        }
    }
    co_return std::nullopt;
}

} // namespace verbena::net
