#include "control/operator_json.h"
#include "control/operator_service.h"
#include "control_fixture.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;

// Log of a single member that applies each proposal at once to the state machine read by the service.
class single_member_log : public control::replicated_log {
public:
    explicit single_member_log(control::state_machine& state) : m_state(state) {}

    bool is_leader() const override { return leader; }
    std::string leader_operator_address() const override { return leader_address; }

    void propose(std::vector<std::uint8_t> command, proposal_handler handler) override
    {
        if (lose_entry) {
            handler(make_error(error_kind::unavailable, "leadership was lost", ""));
            return;
        }
        auto reply = m_state.apply(m_state.applied_index() + 1, command);
        if (lose_reply) {
            handler(make_error(error_kind::timeout, "no quorum answered", ""));
            return;
        }
        handler(std::move(reply));
    }

    void add_member(std::uint64_t id, const std::string& address, member_handler handler) override
    {
        if (id == 0 || address.empty()) {
            handler(make_error(error_kind::invalid_request, "id or address is missing", "give both"));
            return;
        }
        members.push_back(id);
        handler(success());
    }

    void remove_member(std::uint64_t id, member_handler handler) override
    {
        std::erase(members, id);
        handler(success());
    }

    op::status_replyT status() const override
    {
        op::status_replyT reply;
        reply.leader = 1;
        reply.term = 3;
        return reply;
    }

    bool leader = true;
    bool lose_entry = false;
    bool lose_reply = false;
    std::string leader_address = "127.0.0.1:7201";
    std::vector<std::uint64_t> members;

private:
    control::state_machine& m_state;
};

struct fixture {
    control::state_machine state;
    control::directory endpoints{7};
    control::poll_service polls;
    single_member_log log{state};
    control::operator_service service{log, state, endpoints, polls};
    int replies = 0;

    control::operator_reply call(const std::string& name, const std::string& json)
    {
        control::operator_reply received;
        replies = 0;
        service.handle(name, json, start_time, now, [&](control::operator_reply reply) {
            received = std::move(reply);
            ++replies;
        });
        BOOST_TEST(replies == 1);
        return received;
    }

    boost::json::object json_of(const control::operator_reply& reply) const
    {
        return boost::json::parse(reply.body).as_object();
    }

    // Every error has a kind, a message and a remedy.
    void check_error(const control::operator_reply& reply, int status, const std::string& kind) const
    {
        BOOST_TEST(reply.status == status);
        const auto body = json_of(reply);
        BOOST_TEST(body.at("kind").as_string() == kind);
        BOOST_TEST(!body.at("message").as_string().empty());
        BOOST_TEST(!body.at("remedy").as_string().empty());
    }
};

constexpr char put_clerks[] =
    R"({"request_id":"a","expected_revision":0,"put_team":{"name":"clerks","keys":["clerks-key-1"]}})";

} // namespace

BOOST_AUTO_TEST_SUITE(operator_service)

BOOST_FIXTURE_TEST_CASE(change_is_accepted_and_can_be_read_back, fixture)
{
    const auto reply = call("change", put_clerks);
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(json_of(reply).at("result").as_string() == "accepted");
    BOOST_TEST(json_of(reply).at("revision").as_int64() == 1);
    const auto config = json_of(call("get_config", "{}")).at("value").as_object();
    BOOST_TEST(config.at("teams").at(0).at("name").as_string() == "clerks");
    BOOST_TEST(config.at("teams").at(0).at("weight").as_int64() == 100);
    const auto history = json_of(call("history", ""));
    BOOST_TEST(history.at("items").at(0).at("summary").as_string() == "put team clerks");
    const auto diff = json_of(call("diff", R"({"from_revision":0})"));
    BOOST_TEST(diff.at("lines").as_array().size() == 1U);
    BOOST_TEST(json_of(call("status", "{}")).at("revision").as_int64() == 1);
}

// Guards against replace_all rejecting a document that get_config returned.
BOOST_FIXTURE_TEST_CASE(document_from_get_config_can_be_sent_back, fixture)
{
    call("change", put_clerks);
    boost::json::object request{{"request_id", "b"}, {"expected_revision", 1}};
    request["replace_all"] = json_of(call("get_config", "{}")).at("value");
    const auto reply = call("change", boost::json::serialize(request));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(state.config().diff(1, 2).value().empty());
}

BOOST_FIXTURE_TEST_CASE(conflict_and_invalid_have_status_and_remedy, fixture)
{
    call("change", put_clerks);
    const auto conflict = call("change", R"({"request_id":"b","remove_team":"clerks"})");
    BOOST_TEST(conflict.status == 409);
    BOOST_TEST(json_of(conflict).at("result").as_string() == "conflict");
    BOOST_TEST(!json_of(conflict).at("remedy").as_string().empty());
    const auto invalid = call("change", R"({"request_id":"c","expected_revision":1,"remove_team":"nobody"})");
    BOOST_TEST(invalid.status == 400);
    BOOST_TEST(json_of(invalid).at("result").as_string() == "invalid");
    BOOST_TEST(!json_of(invalid).at("remedy").as_string().empty());
}

// Guards against silently ignoring a misspelt field.
BOOST_FIXTURE_TEST_CASE(malformed_json_and_unknown_fields_are_errors, fixture)
{
    for (const char* body :
         {"{", "[]", "null", "7", R"("text")", "{}{}", R"({"request_id":"a"} trailing)", "{'a':1}",
          R"({"wieght":1})", R"({"put_team":{"nam":"clerks"}})", R"({"put_team":7})",
          R"({"expected_revision":"x"})", R"({"expected_revision":-1})",
          R"({"put_team":{"weight":4294967296}})", R"({"request_id":"a","request_id":"b"})",
          R"({"put_endpoint":{"state":"sideways"}})", R"({"dry_run":{}})", R"(table x {})",
          R"({"request_id":"a\u0000b"})"}) {
        BOOST_TEST_CONTEXT(body)
        {
            const auto reply = call("change", body);
            BOOST_TEST(reply.status == 400);
            BOOST_TEST(!json_of(reply).at("remedy").as_string().empty());
        }
    }
    check_error(call("change", std::string("{}\0{}", 5)), 400, "invalid_request");
    check_error(call("change", std::string(10'000, '[')), 400, "invalid_request");
    check_error(call("chnage", "{}"), 404, "not_found");
    check_error(call("change", std::string(control::max_operator_body + 1, ' ')), 413, "too_large");
    check_error(call("get_config", R"({"revision":9})"), 404, "not_found");
    BOOST_TEST(state.config().current_revision() == 0U);
}

// Guards against a change accepted by a member that is not the leader.
BOOST_FIXTURE_TEST_CASE(follower_redirects_changes_and_answers_reads, fixture)
{
    log.leader = false;
    const auto reply = call("change", put_clerks);
    check_error(reply, 307, "not_leader");
    BOOST_TEST(reply.location == "http://127.0.0.1:7201/operator/v1/change");
    BOOST_TEST(json_of(reply).at("leader").as_string() == "127.0.0.1:7201");
    BOOST_TEST(call("add_member", R"({"id":4,"address":"127.0.0.1:7104"})").status == 307);
    BOOST_TEST(call("get_config", "{}").status == 200);
    log.leader_address.clear();
    check_error(call("change", put_clerks), 503, "unavailable");
}

// Guards against reporting a lost reply as a refusal: the outcome is unknown, and the resend gets the first
// answer.
BOOST_FIXTURE_TEST_CASE(lost_reply_gives_unknown_outcome_and_the_resend_is_answered, fixture)
{
    log.lose_reply = true;
    const auto lost = call("change", put_clerks);
    check_error(lost, 503, "unavailable");
    BOOST_TEST(json_of(lost).at("remedy").as_string().find("same request_id") != std::string::npos);
    log.lose_reply = false;
    BOOST_TEST(json_of(call("change", put_clerks)).at("revision").as_int64() == 1);
    log.lose_entry = true;
    check_error(call("change", R"({"request_id":"b","expected_revision":1,"remove_team":"clerks"})"), 503,
                "unavailable");
}

BOOST_FIXTURE_TEST_CASE(dry_run_proposes_nothing, fixture)
{
    const std::string body =
        R"({"request_id":"a","dry_run":true,"put_team":{"name":"clerks","keys":["clerks-key-1"]}})";
    const auto reply = call("change", body);
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(json_of(reply).at("result").as_string() == "dry_run_ok");
    BOOST_TEST(state.applied_index() == 0U);
}

// Guards against a log entry that does not fit one frame between members.
BOOST_FIXTURE_TEST_CASE(change_too_large_for_the_log_is_not_proposed, fixture)
{
    boost::json::array paths;
    for (int i = 0; i < 3'000; ++i) {
        paths.push_back(boost::json::object{{"prefix", "/" + std::string(100, 'p') + std::to_string(i)}});
    }
    const boost::json::object desk{{"name", "desk"}, {"kind", "plain"}, {"paths", paths}};
    const boost::json::object request{{"request_id", "a"}, {"put_service", desk}};
    check_error(call("change", boost::json::serialize(request)), 413, "too_large");
    BOOST_TEST(state.applied_index() == 0U);
}

// Guards against removing a failure domain or service that endpoints still announce.
BOOST_FIXTURE_TEST_CASE(removal_of_an_announced_domain_is_refused, fixture)
{
    call("change", R"({"request_id":"a","put_failure_domain":{"name":"dc1","state":"out"}})");
    wire::announcementT announcement;
    announcement.endpoint = "gpu-1";
    announcement.address = "127.0.0.1:7000";
    announcement.service = "chat";
    announcement.failure_domain = "dc1";
    endpoints.announce(announcement, now);
    const std::string removal = R"({"request_id":"b","expected_revision":1,"remove_failure_domain":"dc1"})";
    check_error(call("change", removal), 409, "conflict");
    endpoints.expire(now + 3s);
    BOOST_TEST(call("change", removal).status == 200);
    endpoints.announce(announcement, now);
    BOOST_TEST(json_of(call("change", removal)).at("result").as_string() == "accepted");
}

BOOST_FIXTURE_TEST_CASE(endpoints_show_the_configured_state, fixture)
{
    call("change", R"({"request_id":"a","put_endpoint":{"name":"gpu-1","state":"leaving"}})");
    for (const char* name : {"gpu-1", "gpu-2"}) {
        wire::announcementT announcement;
        announcement.endpoint = name;
        announcement.address = "127.0.0.1:7000";
        announcement.service = "chat";
        endpoints.announce(announcement, now - 250ms);
    }
    const auto items = json_of(call("endpoints", "{}")).at("items").as_array();
    BOOST_TEST_REQUIRE(items.size() == 2U);
    BOOST_TEST(items.at(0).at("state").as_string() == "leaving");
    BOOST_TEST(items.at(1).at("state").as_string() == "in");
    BOOST_TEST(items.at(1).at("age_ms").as_int64() == 250);
}

BOOST_FIXTURE_TEST_CASE(membership_changes_go_through_the_log, fixture)
{
    BOOST_TEST(call("add_member", R"({"id":4,"address":"127.0.0.1:7104"})").status == 200);
    BOOST_TEST(log.members.size() == 1U);
    check_error(call("add_member", "{}"), 400, "invalid_request");
    BOOST_TEST(call("remove_member", R"({"id":4})").status == 200);
    BOOST_TEST(log.members.empty());
}

BOOST_AUTO_TEST_SUITE_END()
