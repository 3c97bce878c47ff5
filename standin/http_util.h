#pragma once

#include "net/http_server.h"

#include <boost/json/value.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::standin {

// Ends the process at once, as a crash does. Tests pass a function that only notes the call.
using exit_function = std::function<void()>;

// Path segments and the value of the query of a request target.
struct target_parts {
    std::vector<std::string> path;
    std::string query;
};

target_parts split_target(std::string_view target);

// Value of `name` in a query such as "from=3"; empty when it is absent or no number.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name);

net::http_response json_reply(const boost::json::value& body, unsigned status = 200);
net::http_response error_reply(unsigned status, const std::string& type, const std::string& message);

// Parses a JSON object; empty when the text is not one.
std::optional<boost::json::object> parse_object(std::string_view text);

// Member of an object as a number or text, with a default when it is absent or of another type.
std::uint64_t number_member(const boost::json::object& object, std::string_view name, std::uint64_t absent);
double real_member(const boost::json::object& object, std::string_view name, double absent);
std::string text_member(const boost::json::object& object, std::string_view name);

// Sends a reply. A reply that cannot be sent closes the connection, and the server counts it as unfinished.
net::task<bool> send_reply(net::http_exchange& exchange, net::http_response response);

// Never completes before the connection's server stops; used by faults that make a stand-in silent.
net::task<void> wait_forever();

} // namespace verbena::standin
