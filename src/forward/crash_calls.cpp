#include "forward/crash_calls.h"

#include "forward/part_names.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace verbena::forward {

namespace {

constexpr std::string_view list_target = "/prompt-parts";
constexpr std::string_view release_target = "/prompt-parts/release/";

std::int64_t age_ms(time_point time, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - time).count();
}

net::http_response list_parts(fleet& endpoints, time_point now)
{
    boost::json::array items;
    for (const policy::crash_statement& statement : endpoints.crash_records(now)) {
        const policy::crash_record& record = statement.record;
        if (record.crashes != 0) {
            items.push_back({{"part", part_name(statement.part)},
                             {"state", policy::to_string(policy::state_of(record))},
                             {"crashes", record.crashes},
                             {"trials", record.blocked_trials},
                             {"last_request_age_ms", age_ms(record.last_request, now)}});
        }
    }
    net::http_response response;
    response.content_type = "application/json";
    response.body = boost::json::serialize(boost::json::value{{"items", std::move(items)}});
    return response;
}

} // namespace

std::optional<net::http_response> answer_crash_call(fleet& endpoints, const net::http_request& request)
{
    const time_point now = clock::now();
    if (request.target == list_target) {
        return list_parts(endpoints, now);
    }
    const std::string_view target = request.target;
    if (!target.starts_with(release_target)) {
        return std::nullopt;
    }
    const std::string_view name = target.substr(release_target.size());
    constexpr int hexadecimal = 16;
    policy::prompt_part part = 0;
    const auto parsed = std::from_chars(name.data(), name.data() + name.size(), part, hexadecimal);
    net::http_response response;
    response.content_type = "text/plain";
    if (request.method != "POST") {
        response.status = 405;
        response.body = "use POST\n";
    } else if (parsed.ec != std::errc() || parsed.ptr != name.data() + name.size() ||
               !endpoints.release_part(part, now)) {
        response.status = 404;
        response.body = "no endpoint has crashed under this part; GET /prompt-parts lists those known\n";
    } else {
        response.body = "released\n";
    }
    return response;
}

} // namespace verbena::forward
