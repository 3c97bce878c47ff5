#include "base/error.h"

namespace verbena {

const char* to_string(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_settings:
        return "invalid_settings";
    case error_kind::invalid_request:
        return "invalid_request";
    case error_kind::invalid_frame:
        return "invalid_frame";
    case error_kind::unauthorized:
        return "unauthorized";
    case error_kind::forbidden:
        return "forbidden";
    case error_kind::not_found:
        return "not_found";
    case error_kind::too_large:
        return "too_large";
    case error_kind::timeout:
        return "timeout";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::not_leader:
        return "not_leader";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::corrupt:
        return "corrupt";
    case error_kind::io:
        return "io";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const error& value)
{
    std::string text = std::string(to_string(value.kind)) + ": " + value.message;
    if (!value.remedy.empty()) {
        text += "; " + value.remedy;
    }
    return text;
}

} // namespace verbena
