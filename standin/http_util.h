#pragma once

#include "net/http_server.h"

#include <boost/json/value.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::standin {

// Terminates the process immediately, as a crash would. Tests pass a function that only records the call.
using exit_function = std::function<void()>;

// Non-empty path segments of a request target, and its query without the question mark.
struct target_parts {
    std::vector<std::string> path;
    std::string query;
};

target_parts split_target(std::string_view target);

// Value of `name` in a query such as "from=3"; empty when it is absent or not a number.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name);

net::http_response json_reply(const boost::json::value& body, unsigned status = 200);
net::http_response error_reply(unsigned status, const std::string& type, const std::string& message);

// Parses a JSON object; empty when the text is not one.
std::optional<boost::json::object> parse_object(std::string_view text);

// Member of an object as a number or string. When it is absent or of another type, the numbers return
// `default_value` and the string is empty.
std::uint64_t number_member(const boost::json::object& object, std::string_view name,
                            std::uint64_t default_value);
double double_member(const boost::json::object& object, std::string_view name, double default_value);
std::string string_member(const boost::json::object& object, std::string_view name);

// Sends a response. If that fails, the connection closes and the server counts the response as unfinished.
net::task<bool> send_reply(net::http_exchange& exchange, net::http_response response);

// Does not complete while the server runs. Used by faults that leave requests without a response.
net::task<void> wait_forever();

} // namespace verbena::standin
