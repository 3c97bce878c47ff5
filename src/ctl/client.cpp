#include "ctl/client.h"

#include <boost/json.hpp>

#include <cstdio>
#include <ostream>

namespace verbena::ctl {

namespace {

constexpr int exit_accepted = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_no_answer = 3;

// A redirect names the leader; more than a few mean that members disagree during an election.
constexpr int max_redirects = 4;

std::string random_request_id(random_engine& engine)
{
    char text[32];
    std::snprintf(text, sizeof text, "ctl-%016llx", static_cast<unsigned long long>(engine()));
    return text;
}

std::string url_of(const std::string& member, const std::string& call)
{
    return std::string("http://").append(member).append("/operator/v1/").append(call);
}

error busy(const std::string& member, const std::string& body)
{
    return make_error(error_kind::unavailable, member + " answered 503: " + body,
                      "send the same request with the same request_id again");
}

} // namespace

client::client(transport& connection, std::vector<std::string> members, file_reader read_file,
               random_engine& engine)
    : m_connection(connection), m_members(std::move(members)), m_read_file(std::move(read_file)),
      m_engine(engine)
{
}

int client::run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    if (arguments.empty() || arguments.front() == "help") {
        out << help_text(arguments.size() > 1 ? arguments[1] : std::string());
        return arguments.empty() ? exit_usage : exit_accepted;
    }
    const std::string& call = arguments.front();
    const auto built = build_body(call, {arguments.begin() + 1, arguments.end()}, m_read_file);
    if (!built) {
        err << describe(built.error()) << "\n";
        return exit_usage;
    }
    const auto body = with_request_id(call, built.value(), err);
    if (!body) {
        err << describe(body.error()) << "\n";
        return exit_usage;
    }
    const auto reply = send(call, body.value());
    if (!reply) {
        err << describe(reply.error()) << "\n";
        return exit_no_answer;
    }
    out << reply.value().body << "\n";
    return reply.value().status == 200 ? exit_accepted : exit_refused;
}

result<http_reply> client::send(const std::string& call, const std::string& body)
{
    error last = make_error(error_kind::invalid_settings, "no control member is given",
                            "name the members' operator addresses");
    for (const std::string& member : m_members) {
        auto reply = follow(url_of(member, call), body);
        if (reply && reply.value().status != 503) {
            return reply;
        }
        last = reply ? busy(member, reply.value().body) : reply.error();
    }
    return last;
}

result<http_reply> client::follow(std::string url, const std::string& body)
{
    for (int redirects = 0; redirects <= max_redirects; ++redirects) {
        BOOST_OUTCOME_TRY(http_reply reply, m_connection.post(url, body));
        if (reply.status != 307 || reply.location.empty()) {
            return reply;
        }
        url = reply.location;
    }
    return make_error(error_kind::unavailable, "the members redirect in a circle",
                      "wait for the election to end and send the same request again");
}

// The id is printed before sending, so that the operator can resend after a lost reply.
result<std::string> client::with_request_id(const std::string& call, const std::string& body,
                                            std::ostream& err)
{
    if (call != "change") {
        return body;
    }
    boost::system::error_code failed;
    boost::json::value value = boost::json::parse(body, failed);
    if (failed || !value.is_object()) {
        return make_error(error_kind::invalid_request, "the body is not a JSON object",
                          "run 'verbenaproxy ctl help change' for an example");
    }
    if (value.as_object().contains("request_id")) {
        return body;
    }
    const std::string id = random_request_id(m_engine);
    value.as_object()["request_id"] = id;
    err << "request_id: " << id << "\n";
    return boost::json::serialize(value);
}

} // namespace verbena::ctl
