#include "control/operator_json.h"
#include "ctl/client.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>

using namespace verbena;

namespace {

class scripted_transport : public ctl::transport {
public:
    result<ctl::http_reply> post(const std::string& url, const std::string& body) override
    {
        urls.push_back(url);
        bodies.push_back(body);
        const auto found = replies.find(url);
        if (found == replies.end()) {
            return make_error(error_kind::unavailable, url + " does not answer", "try another member");
        }
        return found->second;
    }

    std::map<std::string, ctl::http_reply> replies;
    std::vector<std::string> urls;
    std::vector<std::string> bodies;
};

struct fixture {
    scripted_transport transport;
    random_engine engine{1};
    std::ostringstream out;
    std::ostringstream err;

    int run(const std::vector<std::string>& arguments)
    {
        ctl::client client(transport, {"a:1", "b:2"}, &read_file, engine);
        return client.run(arguments, out, err);
    }

    static result<std::string> read_file(const std::string& name)
    {
        if (name == "good.json") {
            return std::string(R"({"revision":3})");
        }
        return make_error(error_kind::io, "cannot read " + name, "check the name");
    }
};

std::string body_of(const std::string& call, const std::vector<std::string>& arguments)
{
    const auto body = ctl::build_body(call, arguments, &fixture::read_file);
    BOOST_TEST_REQUIRE(body.has_value());
    return body.value();
}

void check_rejected(const std::string& call, const std::vector<std::string>& arguments)
{
    const auto body = ctl::build_body(call, arguments, &fixture::read_file);
    BOOST_TEST_REQUIRE(!body.has_value());
    BOOST_TEST(!body.error().remedy.empty());
}

std::string read_operator_page()
{
    std::ifstream file(VERBENA_SOURCE_DIR "/docs/operators.md");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream words(text);
    return {std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
}

// Returns the text between each `begin` and the next `end`.
std::vector<std::string> extract(const std::string& page, const std::string& begin, const std::string& end)
{
    std::vector<std::string> found;
    for (std::size_t position = page.find(begin); position != std::string::npos;
         position = page.find(begin, position)) {
        position += begin.size();
        found.push_back(page.substr(position, page.find(end, position) - position));
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_ctl)

// Guards against request bodies that the operator service rejects.
BOOST_AUTO_TEST_CASE(field_values_become_json_by_the_schema)
{
    const std::string body =
        body_of("change", {"request_id=17", "expected_revision=4", "dry_run=true", "put_team.name=clerks",
                           "put_team.keys=key-number-1,key-number-2", "put_team.weight=200"});
    const auto value = boost::json::parse(body).as_object();
    BOOST_TEST(value.at("request_id").as_string() == "17");
    BOOST_TEST(value.at("expected_revision").as_int64() == 4);
    BOOST_TEST(value.at("dry_run").as_bool());
    BOOST_TEST(value.at("put_team").at("keys").as_array().size() == 2U);
    BOOST_TEST(control::parse_operator_json("change", body).has_value());
    const std::string service =
        body_of("change", {"put_service.name=desk", "put_service.kind=plain",
                           R"(put_service.paths=[{"prefix":"/orders","repeatable":false}])"});
    BOOST_TEST(control::parse_operator_json("change", service).has_value());
    BOOST_TEST(body_of("status", {}) == "{}");
    BOOST_TEST(body_of("get_config", {"@good.json"}) == R"({"revision":3})");
    BOOST_TEST(body_of("get_config", {R"({"revision":2})"}) == R"({"revision":2})");
}

BOOST_AUTO_TEST_CASE(wrong_arguments_are_refused_with_a_remedy)
{
    check_rejected("chnage", {});
    check_rejected("change", {"put_team.nam=clerks"});
    check_rejected("change", {"request_id.x=1"});
    check_rejected("change", {"expected_revision=four"});
    check_rejected("change", {"request_id"});
    check_rejected("change", {"=1"});
    check_rejected("change", {"request_id=a", "request_id=b"});
    check_rejected("get_config", {"@missing.json"});
}

BOOST_FIXTURE_TEST_CASE(redirect_is_followed_and_unreachable_members_are_skipped, fixture)
{
    transport.replies["http://b:2/operator/v1/status"] = {307, "http://c:3/operator/v1/status", ""};
    transport.replies["http://c:3/operator/v1/status"] = {200, "", "{\"term\":1}"};
    BOOST_TEST(run({"status"}) == 0);
    BOOST_TEST(transport.urls.size() == 3U);
    BOOST_TEST(out.str() == "{\"term\":1}\n");
}

// Guards against an endless redirect loop during an election.
BOOST_FIXTURE_TEST_CASE(redirects_are_bounded, fixture)
{
    transport.replies["http://a:1/operator/v1/status"] = {307, "http://b:2/operator/v1/status", ""};
    transport.replies["http://b:2/operator/v1/status"] = {307, "http://a:1/operator/v1/status", ""};
    BOOST_TEST(run({"status"}) == 3);
    BOOST_TEST(transport.urls.size() <= 12U);
    BOOST_TEST(!err.str().empty());
}

// Guards against a change that is applied twice because its resend has a different request id.
BOOST_FIXTURE_TEST_CASE(change_gets_one_request_id_for_all_members, fixture)
{
    transport.replies["http://a:1/operator/v1/change"] = {503, "", "{}"};
    transport.replies["http://b:2/operator/v1/change"] = {409, "", "{\"result\":\"conflict\"}"};
    BOOST_TEST(run({"change", "remove_team=clerks"}) == 1);
    BOOST_TEST_REQUIRE(transport.bodies.size() == 2U);
    BOOST_TEST(transport.bodies[0] == transport.bodies[1]);
    const auto id = boost::json::parse(transport.bodies[0]).at("request_id").as_string();
    BOOST_TEST(err.str().find(std::string(id)) != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(missing_reply_and_invalid_arguments_have_distinct_exit_codes, fixture)
{
    BOOST_TEST(run({"status"}) == 3);
    BOOST_TEST(run({"nothing"}) == 2);
    BOOST_TEST(run({}) == 2);
    BOOST_TEST(run({"change", "not json"}) == 2);
}

// Guards against help text that does not match the schema or shows an example that is rejected.
BOOST_AUTO_TEST_CASE(help_lists_every_call_and_its_examples_work)
{
    const std::string help = ctl::help_text();
    for (const std::string& call : control::operator_calls()) {
        BOOST_TEST(help.find("\n" + call + "\n") != std::string::npos);
        const std::string text = ctl::help_text(call);
        const std::string start = "example: verbenaproxy ctl " + call;
        const std::size_t position = text.find(start);
        BOOST_TEST_REQUIRE(position != std::string::npos);
        const auto arguments = split_words(text.substr(position + start.size()));
        BOOST_TEST(control::parse_operator_json(call, body_of(call, arguments)).has_value());
    }
    BOOST_TEST(help.find("put_team: team") != std::string::npos);
    BOOST_TEST(help.find("weight: uint = 100") != std::string::npos);
}

// Guards against examples in docs/operators.md that the calls reject.
BOOST_AUTO_TEST_CASE(examples_of_the_operator_page_are_valid)
{
    const std::string page = read_operator_page();
    std::set<std::string> seen;
    for (const std::string& text : extract(page, "7201/operator/v1/", "'\n")) {
        const std::string call = text.substr(0, text.find(' '));
        const auto parsed = control::parse_operator_json(call, text.substr(text.find("-d '") + 4));
        BOOST_TEST(parsed.has_value(), text);
        seen.insert(call);
    }
    BOOST_TEST(seen.size() == control::operator_calls().size());
    seen.clear();
    for (std::string text : extract(page, "\n    verbenaproxy ctl ", "\n")) {
        if (text.ends_with('\\')) {
            text = text.substr(0, text.size() - 1) + page.substr(page.find(text) + text.size(), 60);
            text = text.substr(0, text.find("\n\n"));
        }
        auto words = split_words(text);
        const std::string call = words.front();
        words.erase(words.begin());
        BOOST_TEST(control::parse_operator_json(call, body_of(call, words)).has_value(), text);
        seen.insert(call);
    }
    BOOST_TEST(seen.size() == control::operator_calls().size());
}

BOOST_AUTO_TEST_SUITE_END()
