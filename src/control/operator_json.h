#pragma once

#include "base/error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::control {

// Names of the operator calls in the order of the schema.
const std::vector<std::string>& operator_calls();

// Converts the JSON body of a call to its packed request table. Unknown calls, unknown fields, wrong types
// and bodies other than a single JSON object give an error with a remedy.
result<std::vector<std::uint8_t>> parse_operator_json(std::string_view call, std::string_view json);

// Converts a packed reply table, for example "change_reply", to JSON with all fields.
std::string to_operator_json(const std::string& table, std::span<const std::uint8_t> bytes);

// Converts an error to the JSON form of op::error_reply.
std::string error_json(const error& value, const std::string& leader = {});

} // namespace verbena::control
