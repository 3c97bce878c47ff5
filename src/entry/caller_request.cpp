#include "entry/caller_request.h"

#include "control/key_table.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace verbena::entry {

namespace {

namespace json = boost::json;

constexpr milliseconds min_deadline{100};
constexpr std::uint32_t default_max_tokens = 512;
constexpr std::uint32_t max_tokens_limit = 32'768;

// Length of the prompt prefix that is hashed for prefix affinity: the first 1,024 tokens.
constexpr std::size_t prefix_bytes = 1'024 * bytes_per_token;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";

const char* to_string(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::done:
        return "done";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

json::object error_object(const caller_error& failure)
{
    json::object fields{{"type", failure.type},
                        {"message", failure.message},
                        {"remedy", failure.remedy},
                        {"outcome", to_string(failure.outcome)}};
    if (failure.retry_after.count() > 0) {
        fields["retry_after_ms"] = failure.retry_after.count();
    }
    return {{"error", std::move(fields)}};
}

caller_error invalid_request(std::string message, std::string remedy)
{
    return caller_error{400, "invalid_request", std::move(message), std::move(remedy)};
}

template <typename T>
using parsed = boost::outcome_v2::basic_result<T, caller_error, boost::outcome_v2::policy::all_narrow>;

parsed<const op::teamT*> authenticate(const net::http_request& request, const node::config_snapshot& config)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    if (!header.starts_with(scheme)) {
        return caller_error{401, "missing_key", "API key missing", "send Authorization: Bearer <key>"};
    }
    const op::teamT* team = config.team_by_key(std::string(header.substr(scheme.size())));
    if (team == nullptr) {
        return caller_error{401, "unknown_key", "unknown API key", "request a key from the operators"};
    }
    return team;
}

parsed<milliseconds> parse_deadline(const net::http_request& request, const parse_options& options)
{
    const std::string_view header = request.header("X-Deadline-Ms");
    if (header.empty()) {
        return options.default_deadline;
    }
    std::int64_t value = 0;
    const auto conversion = std::from_chars(header.data(), header.data() + header.size(), value);
    const milliseconds deadline(value);
    if (conversion.ec != std::errc() || conversion.ptr != header.data() + header.size() ||
        deadline < min_deadline || deadline > max_deadline) {
        return invalid_request("invalid X-Deadline-Ms", "send an integer from 100 to 3600000");
    }
    return deadline;
}

parsed<request_class> parse_request_class(const net::http_request& request)
{
    const std::string_view header = request.header("X-Request-Class");
    if (header.empty() || header == "standard") {
        return request_class::standard;
    }
    if (header == "interactive") {
        return request_class::interactive;
    }
    if (header == "batch") {
        return request_class::batch;
    }
    return invalid_request("invalid X-Request-Class", "send interactive, standard or batch");
}

// Returns the length of all prompt text in bytes and stores its first `prefix_bytes` bytes in `prefix`.
std::size_t measure_prompt(const json::array& messages, std::string& prefix)
{
    std::size_t bytes = 0;
    const auto add_text = [&](const json::string& text) {
        bytes += text.size();
        if (prefix.size() < prefix_bytes) {
            prefix.append(text.data(), std::min(text.size(), prefix_bytes - prefix.size()));
        }
    };
    for (const json::value& message : messages) {
        const json::value* content =
            message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content == nullptr) {
            continue;
        }
        if (content->is_string()) {
            add_text(content->get_string());
        } else if (content->is_array()) {
            for (const json::value& part : content->get_array()) {
                const json::value* text = part.is_object() ? part.get_object().if_contains("text") : nullptr;
                if (text != nullptr && text->is_string()) {
                    add_text(text->get_string());
                }
            }
        }
    }
    return bytes;
}

parsed<std::uint32_t> parse_max_tokens(const json::object& object)
{
    const json::value* value = object.if_contains("max_completion_tokens");
    if (value == nullptr) {
        value = object.if_contains("max_tokens");
    }
    if (value == nullptr || value->is_null()) {
        return default_max_tokens;
    }
    boost::system::error_code failure;
    const auto number = value->is_number() ? value->to_number<std::int64_t>(failure) : 0;
    if (failure || number < 1 || number > max_tokens_limit) {
        return invalid_request("invalid max_tokens", "send an integer from 1 to 32768");
    }
    return static_cast<std::uint32_t>(number);
}

parsed<void> parse_chat_body(caller_request& request, const node::config_snapshot& config)
{
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (failure || !body.is_object()) {
        return invalid_request("request body is not a JSON object", "send a chat-completions request");
    }
    const json::object& object = body.get_object();
    const json::value* model = object.if_contains("model");
    const json::value* messages = object.if_contains("messages");
    if (model == nullptr || !model->is_string() || messages == nullptr || !messages->is_array() ||
        messages->get_array().empty()) {
        return invalid_request("model or messages missing or invalid",
                               "send model as a string and messages as a non-empty array");
    }
    request.model = std::string(model->get_string());
    const op::serviceT* service = config.service_for_model(request.model);
    if (service == nullptr) {
        return caller_error{404, "unknown_model", "unknown model '" + request.model.substr(0, 64) + "'",
                            "GET /v1/models lists the models"};
    }
    request.service = service->name;
    const json::value* stream = object.if_contains("stream");
    request.streamed = stream != nullptr && stream->is_bool() && stream->get_bool();
    std::string prefix;
    const std::size_t bytes = measure_prompt(messages->get_array(), prefix);
    request.prompt_tokens = static_cast<std::uint32_t>(bytes / bytes_per_token + 1);
    request.prefix_hash = XXH3_64bits(prefix.data(), prefix.size());
    BOOST_OUTCOME_TRY(request.max_tokens, parse_max_tokens(object));
    return boost::outcome_v2::success();
}

bool is_repeatable(const op::serviceT& service, const std::string& method, const std::string& path)
{
    const op::path_ruleT* longest_match = nullptr;
    for (const auto& rule : service.paths) {
        if (path.starts_with(rule->prefix) &&
            (longest_match == nullptr || rule->prefix.size() > longest_match->prefix.size())) {
            longest_match = rule.get();
        }
    }
    // GET and HEAD are always repeatable. Other methods are repeatable only when a path rule says so.
    return method == "GET" || method == "HEAD" || (longest_match != nullptr && longest_match->repeatable);
}

parsed<void> parse_plain_service(caller_request& request, const std::string& target,
                                 const node::config_snapshot& config)
{
    const std::string service_and_path = target.substr(services_prefix.size());
    const std::size_t slash = service_and_path.find('/');
    const std::string name = service_and_path.substr(0, slash);
    const op::serviceT* service = config.service(name);
    if (slash == std::string::npos || service == nullptr || service->kind != op::service_kind::plain) {
        return caller_error{404, "unknown_service", "no plain service at this path",
                            "use /services/<service>/<path>"};
    }
    request.plain = true;
    request.service = name;
    request.path = service_and_path.substr(slash);
    request.repeatable = is_repeatable(*service, request.method, request.path);
    request.prompt_tokens = 1;
    request.max_tokens = 1;
    return boost::outcome_v2::success();
}

parsed<void> check_idempotency_key(caller_request& request, const net::http_request& message)
{
    request.key = std::string(message.header("Idempotency-Key"));
    if (request.repeatable) {
        request.key.clear();
        return boost::outcome_v2::success();
    }
    if (request.key.empty()) {
        return caller_error{400, "missing_idempotency_key", "unrepeatable request without Idempotency-Key",
                            "send Idempotency-Key: <unix seconds>-<random>"};
    }
    const auto issued = control::key_issue_time(request.key);
    if (!issued) {
        return invalid_request(issued.error().message, issued.error().remedy);
    }
    request.deadline = std::min(request.deadline, request.arrived + max_unrepeatable_deadline);
    return boost::outcome_v2::success();
}

} // namespace

net::http_response to_response(const caller_error& failure)
{
    net::http_response response;
    response.status = failure.status;
    response.body = json::serialize(error_object(failure)) + "\n";
    if (failure.retry_after.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
        response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

std::string to_event(const caller_error& failure)
{
    return "event: error\ndata: " + json::serialize(error_object(failure)) + "\n\n";
}

parse_result parse_caller_request(net::http_request& message, const node::config_snapshot& config,
                                  const parse_options& options, request_id id, time_point now)
{
    BOOST_OUTCOME_TRY(const op::teamT* team, authenticate(message, config));
    BOOST_OUTCOME_TRY(const milliseconds deadline, parse_deadline(message, options));
    caller_request request;
    BOOST_OUTCOME_TRY(request.urgency, parse_request_class(message));
    request.id = id;
    request.team = team->name;
    request.weight = team->weight;
    request.arrived = now;
    request.deadline = now + deadline;
    request.method = message.method;
    request.body = std::move(message.body);
    if (message.target == chat_path) {
        if (message.method != "POST") {
            return caller_error{405, "method_not_allowed", "method not allowed",
                                "send the request with POST"};
        }
        request.path = std::string(chat_path);
        BOOST_OUTCOME_TRY(parse_chat_body(request, config));
    } else if (message.target.starts_with(services_prefix)) {
        BOOST_OUTCOME_TRY(parse_plain_service(request, message.target, config));
    } else {
        return caller_error{404, "unknown_path", "unknown path",
                            "use /v1/chat/completions, /v1/models or /services/<service>/<path>"};
    }
    BOOST_OUTCOME_TRY(check_idempotency_key(request, message));
    return request;
}

} // namespace verbena::entry
