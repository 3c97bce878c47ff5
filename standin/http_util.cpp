#include "standin/http_util.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace verbena::standin {

namespace json = boost::json;

target_parts split_target(std::string_view target)
{
    target_parts parts;
    const std::size_t query_start = target.find('?');
    if (query_start != std::string_view::npos) {
        parts.query = std::string(target.substr(query_start + 1));
        target = target.substr(0, query_start);
    }
    while (!target.empty()) {
        const std::size_t slash = target.find('/');
        const std::string_view part = target.substr(0, slash);
        if (!part.empty()) {
            parts.path.emplace_back(part);
        }
        target = slash == std::string_view::npos ? std::string_view{} : target.substr(slash + 1);
    }
    return parts;
}

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
        if (pair.size() <= name.size() || pair.substr(0, name.size()) != name || pair[name.size()] != '=') {
            continue;
        }
        const std::string_view text = pair.substr(name.size() + 1);
        std::uint64_t value = 0;
        const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (failure == std::errc() && rest == text.data() + text.size()) {
            return value;
        }
    }
    return std::nullopt;
}

net::http_response json_reply(const json::value& body, unsigned status)
{
    return net::http_response{status, "application/json", json::serialize(body) + "\n", {}};
}

net::http_response error_reply(unsigned status, const std::string& type, const std::string& message)
{
    return json_reply({{"error", {{"type", type}, {"message", message}}}}, status);
}

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failure;
    json::value value = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::uint64_t number_member(const json::object& object, std::string_view name, std::uint64_t default_value)
{
    const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_number()) {
        return default_value;
    }
    boost::system::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? default_value : number;
}

double double_member(const json::object& object, std::string_view name, double default_value)
{
    const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_number() ? value->to_number<double>() : default_value;
}

std::string string_member(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

net::task<bool> send_reply(net::http_exchange& exchange, net::http_response response)
{
    const result<void> sent = co_await exchange.reply(std::move(response));
    co_return sent.has_value();
}

net::task<void> wait_forever()
{
    net::steady_timer timer(co_await net::asio::this_coro::executor, time_point::max());
    co_await timer.async_wait(net::no_throw);
}

} // namespace verbena::standin
