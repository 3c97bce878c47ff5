#include "platform/check_in.h"
#include "platform/configuration.h"
#include "platform/http_protocol_adapter.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const char* const sample_document = R"({"version":7,
  "routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","kind":"stream","timeout_ms":10000,"slo_ms":300,
    "priority":1,"split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],"max_attempts":2,
    "public":false,"sticky":true,"resumable":true,"gap_target_ms":250},
   {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"unsafe","timeout_ms":0.4,"backend":"s2"}],
  "backends":[{"name":"s1","health_path":"/healthz","max_conns":234,"cold_s":3.0,"cold_per_s":26.0,
    "engine":{"slots":16,"kv_capacity":232000,"stride":43,"step_ms":1.02,"per_seq_ms":0.00226,
      "context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"hop_ms":0.075,
      "usual":{"prompt":12331,"answer":1303},
      "delays":[{"from":"z1","delay_ms":0.9},{"from":"z2","delay_ms":3.4}]}},
   {"name":"s2"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}],"news":{"ignored":true}})";

result<route::document> decode(const std::string& text)
{
    return platform::configuration_codec().decode(text);
}

std::string replace_in_sample(const std::string& part, const std::string& replacement)
{
    std::string text = sample_document;
    text.replace(text.find(part), part.size(), replacement);
    return text;
}

std::string error_of(const std::string& text)
{
    const auto decoded = decode(text);
    return decoded ? std::string() : decoded.error().message;
}

net::http_request caller_request(const net::http_header_list& headers)
{
    net::http_request request;
    request.method = "POST";
    request.target = "/a/1?x=2";
    request.body = "body";
    for (const auto& [name, value] : headers) {
        request.headers.insert(name, value);
    }
    return request;
}

constexpr std::uint64_t now_ms = 1'767'225'600'000; // 2026-01-01 00:00:00 UTC
const std::chrono::system_clock::time_point now{std::chrono::milliseconds(now_ms)};

bool accepts_check_in(const boost::json::object& changed, std::string_view endpoint = "i-1")
{
    boost::json::object body = {{"backend", "s1"}, {"addr", "10.1.0.9:8080"}, {"zone", "z"},
                                {"slots", 16},     {"state", "ready"},        {"cold_left_ms", 0},
                                {"seq", 4},        {"born", now_ms - 60'000}};
    for (const auto& field : changed) {
        body[field.key()] = field.value();
    }
    return platform::read_check_in(endpoint, boost::json::serialize(body), now).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_adapter)

BOOST_AUTO_TEST_CASE(reads_a_configuration)
{
    const auto decoded = decode(sample_document);
    BOOST_TEST_REQUIRE(decoded.has_value());
    const route::document& value = decoded.value();
    BOOST_TEST(value.version == 7U);
    BOOST_TEST(value.routes.size() == 2U);
    BOOST_TEST((value.routes[0].kind == route::request_kind::stream));
    BOOST_TEST((value.routes[0].max_pause == 250ms));
    BOOST_TEST(value.routes[0].shares[1].weight == 10U);
    // A timeout below 1 ms is rounded up, not down to 0.
    BOOST_TEST((value.routes[1].timeout == 1ms));
    BOOST_TEST(value.services[0].engine->prefill_tokens_per_ms == 206.0);
    BOOST_TEST(value.services[0].engine->usual_prompt_tokens == 12'331U);
    BOOST_TEST(value.services[0].engine->usual_answer_tokens == 1'303U);
    BOOST_TEST((value.services[0].engine->domain_delay == 3'400us));
    BOOST_TEST(!value.services[1].engine.has_value());
    BOOST_TEST(value.teams->at(0).priority.value() == 1U);
    BOOST_TEST((value.limits.idle_timeout == 15s));
}

// Guards against a list of teams that has become empty and is taken for none: keys are asked for then too.
BOOST_AUTO_TEST_CASE(an_empty_list_of_teams_is_not_an_absent_one)
{
    const std::string teams = R"("tenants":[{"name":"t1","api_keys":["k1"],"priority":1}])";
    const auto empty = decode(replace_in_sample(teams, "\"tenants\":[]"));
    BOOST_TEST_REQUIRE(empty.has_value());
    BOOST_TEST_REQUIRE(empty.value().teams.has_value());
    BOOST_TEST(empty.value().teams->empty());
    const auto absent = decode(replace_in_sample(",\n  " + teams, ""));
    BOOST_TEST_REQUIRE(absent.has_value());
    BOOST_TEST(!absent.value().teams.has_value());
    BOOST_TEST(error_of(replace_in_sample(teams, "\"tenants\":null")) == "tenants is not an array");
}

// Guards against invalid fields that are silently replaced by a default. Each error names the path of the
// field.
BOOST_AUTO_TEST_CASE(names_the_path_of_an_invalid_field)
{
    BOOST_TEST(error_of(replace_in_sample("\"weight\":10", "\"weight\":-1")) ==
               "routes.0.split.1.weight is not a non-negative integer");
    BOOST_TEST(error_of(replace_in_sample("\"host\":\"h.example\",\"path_prefix\":\"/b/\"",
                                          "\"path_prefix\":\"/b/\"")) == "routes.1.host is missing");
    BOOST_TEST(error_of(replace_in_sample("\"api_keys\":[\"k1\"]", "\"api_keys\":[1]")) ==
               "tenants.0.api_keys is not a string");
    BOOST_TEST(error_of(replace_in_sample("\"public\":false", "\"public\":\"no\"")) ==
               "routes.0.public is neither true nor false");
    BOOST_TEST(error_of(replace_in_sample("\"version\":7", "\"version\":\"7\"")) ==
               "version is not a non-negative integer");
    BOOST_TEST(error_of("[1]") == "the body is not a JSON object");
    BOOST_TEST(!error_of(std::string(sample_document).substr(0, 200)).empty());
}

// Guards against limits that are ignored or that no number of endpoints can keep, and against orders for
// services that name none.
BOOST_AUTO_TEST_CASE(reads_the_scaling_of_a_service)
{
    const auto with_scaling = [](const std::string& value) {
        return replace_in_sample("{\"name\":\"s2\"}", "{\"name\":\"s2\",\"scaling\":" + value + "}");
    };
    const auto decoded = decode(with_scaling(R"({"min":2,"max":9,"boot_s":7.5})"));
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(!decoded.value().services[0].scaling.has_value());
    BOOST_TEST_REQUIRE(decoded.value().services[1].scaling.has_value());
    BOOST_TEST(decoded.value().services[1].scaling->min == 2U);
    BOOST_TEST(decoded.value().services[1].scaling->max == 9U);
    BOOST_TEST((decoded.value().services[1].scaling->boot_time == 7'500ms));
    BOOST_TEST(decode(with_scaling(R"({"min":0,"max":1,"boot_s":0})")).has_value());
    const auto absent = decode(with_scaling("null"));
    BOOST_TEST_REQUIRE(absent.has_value());
    BOOST_TEST(!absent.value().services[1].scaling.has_value());

    const std::pair<const char*, const char*> invalid[] = {
        {R"({"max":9,"boot_s":7})", "backends.1.scaling.min is missing"},
        {R"({"min":2,"boot_s":7})", "backends.1.scaling.max is missing"},
        {R"({"min":2,"max":9})", "backends.1.scaling.boot_s is missing"},
        {R"({"min":2,"max":"9","boot_s":7})", "backends.1.scaling.max is not a non-negative integer"},
        {R"({"min":-1,"max":9,"boot_s":7})", "backends.1.scaling.min is not a non-negative integer"},
        {R"({"min":2,"max":4294967296,"boot_s":7})", "backends.1.scaling.max is too large"},
        {R"({"min":0,"max":0,"boot_s":7})",
         "backends.1.scaling.max is 0, but each failure domain needs room for an endpoint"},
        {R"({"min":3,"max":2,"boot_s":7})", "backends.1.scaling.min is larger than max"}};
    for (const auto& [value, message] : invalid) {
        BOOST_TEST(error_of(with_scaling(value)) == message);
    }
    BOOST_TEST(!error_of(with_scaling(R"({"min":2,"max":9,"boot_s":-7})")).empty());
    BOOST_TEST(!error_of(with_scaling("[]")).empty());
}

BOOST_AUTO_TEST_CASE(reads_check_ins)
{
    const auto value = platform::read_check_in(
        "i-1", R"({"backend":"s1","addr":"10.1.0.9:8080","zone":"z","slots":16,"state":"draining",
                   "cold_left_ms":1200.5,"seq":4,"born":1700000000000})",
        now);
    BOOST_TEST_REQUIRE(value.has_value());
    BOOST_TEST(value.value().leaving);
    BOOST_TEST(value.value().cold_ms == 1200U);
    BOOST_TEST(value.value().born_ms == 1'700'000'000'000U);
    BOOST_TEST(!platform::read_check_in("a/b", "{}", now).has_value());
    BOOST_TEST(platform::read_leave("i-1", "", now).value().gone);
}

// Guards against check-ins that name no endpoint to use but displace one that does.
BOOST_AUTO_TEST_CASE(rejects_check_ins_that_name_no_endpoint)
{
    BOOST_TEST(accepts_check_in({}));
    for (const char* address : {"not-an-ip:80", "10.1.0.9:0", "10.1.0.9", "0.0.0.0:80", "[::]:80",
                                "224.0.0.1:80", "10.1.0.9:99999", ""}) {
        BOOST_TEST(!accepts_check_in({{"addr", address}}), address);
    }
    BOOST_TEST(accepts_check_in({{"addr", "[fd00::9]:80"}}));
    BOOST_TEST(!accepts_check_in({{"backend", ""}}));
    BOOST_TEST(!accepts_check_in({{"backend", std::string(70'000, 's')}}));
    BOOST_TEST(!accepts_check_in({{"zone", std::string(70'000, 'z')}}));
    BOOST_TEST(!accepts_check_in({{"zone", "a\nb"}}));
    BOOST_TEST(!accepts_check_in({{"state", "lost"}}));
    BOOST_TEST(!accepts_check_in({{"seq", UINT64_MAX}}));
    BOOST_TEST(!accepts_check_in({{"born", UINT64_MAX}}));
    BOOST_TEST(!accepts_check_in({{"born", now_ms + 600'000}}));
    // The clock of the endpoint may be ahead.
    BOOST_TEST(accepts_check_in({{"born", now_ms + 10'000}}));
    BOOST_TEST(!accepts_check_in({}, "i-\xFF"));
    BOOST_TEST(platform::read_leave("i-1", R"({"born":1700000000000})", now).has_value());
    BOOST_TEST(!platform::read_leave("i-1", R"({"born":18446744073709551615})", now).has_value());
}

// Guards against forwarding the caller's key, or the caller's values of headers that this system sets, to an
// endpoint.
BOOST_AUTO_TEST_CASE(writes_the_head_of_an_endpoint_request)
{
    const platform::http_protocol_adapter adapter;
    const auto request = caller_request({{"Host", "h.example"},
                                         {"Request-Id", "r1"},
                                         {"Authorization", "Bearer secret"},
                                         {"Tenant", "forged"},
                                         {"Expect-Runner", "forged"},
                                         {"Connection", "keep-alive"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"X-Own", "kept"}});
    forward::dispatch_metadata terms;
    terms.endpoint = "i-1";
    terms.team = "t1";
    terms.time_left = 1234ms;
    terms.last_event = 12;
    terms.helpers = {{{"10.0.0.1", 80}, "t81"}, {{"10.0.0.2", 81}, ""}};
    const std::string head = adapter.endpoint_head(request, terms);
    BOOST_TEST(head.starts_with("POST /a/1?x=2 HTTP/1.1\r\n"));
    for (const char* line :
         {"Host: h.example\r\n", "Request-Id: r1\r\n", "X-Own: kept\r\n", "Request-Deadline: 1234\r\n",
          "Expect-Runner: i-1\r\n", "Tenant: t1\r\n", "Last-Event-Id: 12\r\n",
          "Helpers: 10.0.0.1:80/t81,10.0.0.2:81\r\n", "Content-Length: 4\r\n"}) {
        BOOST_TEST(head.find(line) != std::string::npos, line);
    }
    for (const char* text : {"secret", "forged", "keep-alive", "chunked"}) {
        BOOST_TEST(head.find(text) == std::string::npos, text);
    }
}

BOOST_AUTO_TEST_CASE(reads_caller_headers)
{
    const platform::http_protocol_adapter adapter;
    const auto terms = adapter.read_request(caller_request({{"Request-Id", "r1"},
                                                            {"Authorization", "Bearer k1"},
                                                            {"Token-Count", "1460,80"},
                                                            {"Length-Hint", "60"},
                                                            {"Request-Deadline", "10000"},
                                                            {"Last-Event-Id", "12"}}));
    BOOST_TEST_REQUIRE(terms.has_value());
    BOOST_TEST(terms.value().key == "k1");
    BOOST_TEST(terms.value().prompt_tokens == 1460U);
    BOOST_TEST(terms.value().output_tokens == 60U);
    BOOST_TEST((terms.value().timeout == 10s));
    BOOST_TEST(terms.value().last_event.value() == 12U);
    BOOST_TEST(!adapter.read_request(caller_request({})).has_value());
    BOOST_TEST(!adapter.read_request(caller_request({{"Request-Id", "r"}, {"Request-Deadline", "soon"}}))
                    .has_value());
    BOOST_TEST(
        !adapter.read_request(caller_request({{"Request-Id", "r"}, {"Token-Count", "1,2,3"}})).has_value());
}

// The last part belongs to the request itself. A list that cannot be read must not keep a request from being
// served, and a very long one must not take much memory.
BOOST_AUTO_TEST_CASE(reads_shared_prompt_parts)
{
    const platform::http_protocol_adapter adapter;
    const auto parts_of = [&adapter](const std::string& text) {
        const auto terms = adapter.read_request(caller_request({{"Request-Id", "r"}, {"Prefix-Hash", text}}));
        BOOST_TEST_REQUIRE(terms.has_value());
        return terms.value().shared_parts;
    };
    const std::vector<policy::prompt_part> two{0x5c1e07a2, 0x91bd3f06};
    BOOST_TEST((parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == two));
    BOOST_TEST((parts_of("5C1E07A2:800, 91bd3f06:410,5c1e07a2:1,e4402b7d:250") == two));
    BOOST_TEST(parts_of("").empty());
    BOOST_TEST(parts_of("e4402b7d:250").empty());
    BOOST_TEST(parts_of(",,,").empty());
    BOOST_TEST(parts_of("no number:1,x,e4402b7d:250").size() == 2U);
    std::string long_list;
    for (int i = 0; i < 1'000; ++i) {
        long_list += std::to_string(i) + ":1,";
    }
    BOOST_TEST(parts_of(long_list).size() == 32U);
}

// Guards against a request that is wrongly taken as not run: only a Not-Run header and status 421 prove it.
BOOST_AUTO_TEST_CASE(reads_answers)
{
    const platform::http_protocol_adapter adapter;
    net::http_fields fields;
    fields.insert("Request-Id", "r1");
    BOOST_TEST(!adapter.read_answer(503, fields).not_run);
    BOOST_TEST(adapter.read_answer(421, fields).not_run);
    BOOST_TEST(adapter.read_answer(421, fields).misdirected);
    fields.insert("Not-Run", "1");
    BOOST_TEST(adapter.read_answer(503, fields).not_run);
    BOOST_TEST(!adapter.read_answer(503, fields).leaving);
    fields.insert("Server-Leaving", "1");
    BOOST_TEST(adapter.read_answer(200, fields).leaving);
    // Seconds with a fraction; anything else is not a time, and no time is longer than an hour.
    const std::pair<const char*, milliseconds> times[] = {
        {"2", 2s},   {"0.25", 250ms}, {"1e9", 3600s}, {"0", 0s},           {"-3", 0s}, {"soon", 0s},
        {"2 s", 0s}, {"nan", 0s},     {"inf", 3600s}, {"Fri, 04 Dec", 0s}, {"", 0s}};
    for (const auto& [text, expected] : times) {
        fields.set("Retry-After", text);
        BOOST_TEST((adapter.read_answer(503, fields).retry_after == expected), text);
    }
    fields.insert("Runner-Seal", "x");
    fields.insert("Content-Type", "text/event-stream");
    fields.insert("Keep-Alive", "timeout=5");
    const forward::answer_metadata terms = adapter.read_answer(200, fields);
    BOOST_TEST(terms.sealed);
    BOOST_TEST(terms.content_type == "text/event-stream");
    for (const auto& [name, value] : terms.headers) {
        BOOST_TEST(name != "Keep-Alive");
    }
}

BOOST_AUTO_TEST_SUITE_END()
