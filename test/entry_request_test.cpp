#include "entry/caller_request.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

const time_point start{std::chrono::hours(1)};

node::config_snapshot make_config()
{
    op::configT config;
    config.revision = 1;
    auto team = std::make_unique<op::teamT>();
    team->name = "clerks";
    team->keys = {"secret"};
    config.teams.push_back(std::move(team));
    auto chat = std::make_unique<op::serviceT>();
    chat->name = "chat";
    chat->models = {"m"};
    config.services.push_back(std::move(chat));
    auto desk = std::make_unique<op::serviceT>();
    desk->name = "desk";
    desk->kind = op::service_kind::plain;
    auto stock = std::make_unique<op::path_ruleT>();
    stock->prefix = "/stock";
    stock->repeatable = true;
    desk->paths.push_back(std::move(stock));
    config.services.push_back(std::move(desk));
    return node::config_snapshot(std::move(config));
}

net::http_request make_request(const std::string& target, const std::string& body)
{
    net::http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    request.headers.set("Authorization", "Bearer secret");
    return request;
}

entry::parse_result parse(net::http_request request)
{
    static const node::config_snapshot config = make_config();
    return entry::parse_caller_request(request, config, {}, request_id{1, 2}, start);
}

std::string type_of(net::http_request request)
{
    const auto parsed = parse(std::move(request));
    return parsed ? "accepted" : parsed.error().type;
}

constexpr const char* chat = "/v1/chat/completions";
constexpr const char* chat_body =
    R"({"model":"m","messages":[{"content":"12345678"}],"max_tokens":9,"stream":true})";

} // namespace

BOOST_AUTO_TEST_SUITE(entry_request)

BOOST_AUTO_TEST_CASE(chat_request_fields_and_token_estimate)
{
    const auto parsed = parse(make_request(chat, chat_body));
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().team == "clerks");
    BOOST_TEST(parsed.value().service == "chat");
    BOOST_TEST(parsed.value().prompt_tokens == 3U);
    BOOST_TEST(parsed.value().max_tokens == 9U);
    BOOST_TEST(parsed.value().streamed);
    BOOST_TEST(parsed.value().repeatable);
    BOOST_TEST((parsed.value().deadline == start + milliseconds(60'000)));
}

// Guards against invalid requests that reach an endpoint and against errors without a type.
BOOST_AUTO_TEST_CASE(invalid_requests_get_an_error_type)
{
    net::http_request no_key = make_request(chat, chat_body);
    no_key.headers.erase("Authorization");
    BOOST_TEST(type_of(no_key) == "missing_key");
    net::http_request wrong_key = make_request(chat, chat_body);
    wrong_key.headers.set("Authorization", "Bearer other");
    BOOST_TEST(type_of(wrong_key) == "unknown_key");
    BOOST_TEST(type_of(make_request(chat, "{")) == "invalid_request");
    BOOST_TEST(type_of(make_request(chat, R"({"model":"x","messages":[{}]})")) == "unknown_model");
    BOOST_TEST(type_of(make_request("/elsewhere", "{}")) == "unknown_path");
    BOOST_TEST(type_of(make_request("/services/none/x", "{}")) == "unknown_service");
    net::http_request deadline = make_request(chat, chat_body);
    deadline.headers.set("X-Deadline-Ms", "50");
    BOOST_TEST(type_of(deadline) == "invalid_request");
    net::http_request urgency = make_request(chat, chat_body);
    urgency.headers.set("X-Request-Class", "now");
    BOOST_TEST(type_of(urgency) == "invalid_request");
    BOOST_TEST(type_of(make_request(chat, R"({"model":"m","messages":[{}],"max_tokens":0})")) ==
               "invalid_request");
}

// Guards against an unrepeatable request that runs without an idempotency key, and against treating a write
// as repeatable without a path rule.
BOOST_AUTO_TEST_CASE(unrepeatable_requests_need_an_idempotency_key)
{
    BOOST_TEST(type_of(make_request("/services/desk/orders", "{}")) == "missing_idempotency_key");
    net::http_request bad_key = make_request("/services/desk/orders", "{}");
    bad_key.headers.set("Idempotency-Key", "x");
    BOOST_TEST(type_of(bad_key) == "invalid_request");
    net::http_request keyed = make_request("/services/desk/orders", "{}");
    keyed.headers.set("Idempotency-Key", "1700000000-abcdefgh");
    keyed.headers.set("X-Deadline-Ms", "3600000");
    const auto parsed = parse(std::move(keyed));
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(!parsed.value().repeatable);
    BOOST_TEST(parsed.value().path == "/orders");
    BOOST_TEST((parsed.value().deadline == start + std::chrono::minutes(10)));
    net::http_request read = make_request("/services/desk/orders/1", "");
    read.method = "GET";
    BOOST_TEST(type_of(read) == "accepted");
    BOOST_TEST(type_of(make_request("/services/desk/stock/x", "{}")) == "accepted");
}

BOOST_AUTO_TEST_SUITE_END()
