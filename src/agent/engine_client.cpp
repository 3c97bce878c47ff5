#include "agent/engine_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace verbena::agent {

namespace {

namespace json = boost::json;

constexpr milliseconds connect_timeout{1'000};
constexpr milliseconds call_timeout{2'000};

bool is_event_stream(const std::string& content_type)
{
    return content_type.starts_with("text/event-stream");
}

error invalid_response(const std::string& what)
{
    return make_error(error_kind::io, "the engine's response to " + what + " is invalid",
                      "check the engine version");
}

template <typename T>
T number_or_zero(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    boost::system::error_code failure;
    const T number = value->to_number<T>(failure);
    return failure ? 0 : number;
}

engine_status parse_status(const json::object& object)
{
    engine_status status;
    status.engine = number_or_zero<std::uint64_t>(object, "incarnation");
    if (const json::value* cold = object.if_contains("cold"); cold != nullptr && cold->is_bool()) {
        status.cold = cold->get_bool();
    }
    status.running = number_or_zero<std::uint32_t>(object, "running");
    status.waiting = number_or_zero<std::uint32_t>(object, "waiting");
    status.used_tokens = number_or_zero<std::uint64_t>(object, "used_tokens");
    status.capacity_tokens = number_or_zero<std::uint64_t>(object, "capacity_tokens");
    return status;
}

class plain_service : public engine_client {
public:
    explicit plain_service(host_port address) : m_address(std::move(address)) {}

    net::task<result<std::unique_ptr<net::http_stream>>> start(engine_request request, milliseconds time_left,
                                                               std::shared_ptr<bool> sent) override
    {
        net::http_call call;
        call.method = request.method;
        call.target = request.target;
        call.headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", request.id},
                        {"X-Priority", std::to_string(request.priority)}};
        if (!request.key.empty()) {
            call.headers.emplace_back("Idempotency-Key", request.key);
        }
        call.body = std::move(request.body);
        co_return co_await net::open_http(m_address, std::move(call), connect_timeout, time_left,
                                          std::move(sent));
    }

    net::task<result<std::unique_ptr<net::http_stream>>> resume(std::string, std::uint32_t,
                                                                milliseconds) override
    {
        co_return make_error(error_kind::unavailable, "a plain service does not support resume");
    }

    net::task<result<void>> cancel(std::string) override { co_return success(); }

    net::task<result<engine_status>> status() override
    {
        engine_status status;
        status.engine = 1;
        co_return status;
    }

    net::task<result<std::vector<held_request>>> held() override { co_return std::vector<held_request>{}; }

    net::task<result<void>> order(std::uint64_t, std::string, std::string) override
    {
        co_return make_error(error_kind::invalid_request, "a plain service does not support orders");
    }

protected:
    const host_port& address() const { return m_address; }

private:
    host_port m_address;
};

class model_engine : public plain_service {
public:
    using plain_service::plain_service;

    net::task<result<std::unique_ptr<net::http_stream>>> resume(std::string id, std::uint32_t from_token,
                                                                milliseconds head_timeout) override
    {
        net::http_call call;
        call.method = "GET";
        call.target = "/v1/requests/" + id + "/stream?from=" + std::to_string(from_token);
        auto opened = co_await net::open_http(address(), std::move(call), connect_timeout, head_timeout);
        if (!opened) {
            co_return opened.error();
        }
        const unsigned status = opened.value()->status();
        if (status == 404 || status == 410) {
            co_return make_error(error_kind::not_found, "the engine no longer holds the request");
        }
        if (status != 200 || !is_event_stream(opened.value()->content_type())) {
            co_return invalid_response("a resume");
        }
        const std::string answered = opened.value()->header("X-Request-Id");
        if (!answered.empty() && answered != id) {
            co_return invalid_response("a resume, which bears another request's id,");
        }
        co_return opened;
    }

    net::task<result<void>> cancel(std::string id) override
    {
        net::http_call call;
        call.method = "DELETE";
        call.target = "/v1/requests/" + id;
        const auto reply = co_await net::fetch_http(address(), std::move(call), call_timeout);
        if (!reply) {
            co_return reply.error();
        }
        if (reply.value().status >= 500) {
            co_return invalid_response("a cancel request");
        }
        co_return success();
    }

    net::task<result<engine_status>> status() override
    {
        const auto parsed = co_await get("/v1/status");
        if (!parsed) {
            co_return parsed.error();
        }
        if (!parsed.value().is_object()) {
            co_return invalid_response("a status query");
        }
        co_return parse_status(parsed.value().get_object());
    }

    net::task<result<std::vector<held_request>>> held() override
    {
        const auto parsed = co_await get("/v1/requests");
        if (!parsed) {
            co_return parsed.error();
        }
        const json::value* list = &parsed.value();
        if (list->is_object()) {
            list = list->get_object().if_contains("requests");
        }
        if (list == nullptr || !list->is_array()) {
            co_return invalid_response("the list of requests");
        }
        std::vector<held_request> requests;
        for (const json::value& item : list->get_array()) {
            const json::value* id = item.is_object() ? item.get_object().if_contains("id") : nullptr;
            if (id == nullptr || !id->is_string()) {
                co_return invalid_response("the list of requests");
            }
            requests.push_back({std::string(id->get_string()),
                                number_or_zero<std::uint64_t>(item.get_object(), "kv_tokens")});
        }
        co_return requests;
    }

    net::task<result<void>> order(std::uint64_t fencing, std::string action, std::string name) override
    {
        net::http_call call;
        call.target = "/v1/orders";
        call.body = json::serialize(json::object{{"fencing", fencing}, {"action", action}, {"name", name}});
        const auto reply = co_await net::fetch_http(address(), std::move(call), call_timeout);
        if (!reply) {
            co_return reply.error();
        }
        if (reply.value().status == 409) {
            co_return make_error(error_kind::conflict, "the engine has seen a newer order");
        }
        if (reply.value().status != 200) {
            co_return invalid_response("an order");
        }
        co_return success();
    }

private:
    net::task<result<json::value>> get(std::string target)
    {
        net::http_call call;
        call.method = "GET";
        call.target = std::move(target);
        const auto reply = co_await net::fetch_http(address(), std::move(call), call_timeout);
        if (!reply) {
            co_return reply.error();
        }
        boost::system::error_code failure;
        json::value parsed = json::parse(reply.value().body, failure);
        if (failure || reply.value().status != 200) {
            co_return invalid_response("a query");
        }
        co_return parsed;
    }
};

} // namespace

std::unique_ptr<engine_client> make_model_engine(host_port address)
{
    return std::make_unique<model_engine>(std::move(address));
}

std::unique_ptr<engine_client> make_plain_service(host_port address)
{
    return std::make_unique<plain_service>(std::move(address));
}

} // namespace verbena::agent
