#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <boost/system/error_code.hpp>

#include <string>
#include <utility>

namespace verbena {

// Error categories that clients and operators can distinguish.
enum class error_kind {
    invalid_settings,
    invalid_request,
    invalid_frame,
    unauthorized,
    forbidden,
    not_found,
    too_large,
    timeout,
    overloaded,
    not_leader,
    conflict,
    unavailable,
    corrupt,
    io,
    internal,
};

// Short stable name of an error kind, used in JSON errors, logs and metrics.
const char* to_string(error_kind kind);

// An error: its kind, what happened and what to do about it.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;
};

// Formats kind, message and remedy as one line.
std::string describe(const error& value);

template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

inline auto success()
{
    return boost::outcome_v2::success();
}

inline error make_error(error_kind kind, std::string message, std::string remedy = {})
{
    return error{kind, std::move(message), std::move(remedy)};
}

} // namespace verbena
