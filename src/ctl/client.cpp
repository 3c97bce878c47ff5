#include "ctl/client.h"

#include <boost/json.hpp>

#include <cstdio>
#include <ostream>

namespace verbena::ctl {

namespace {

constexpr int exit_accepted = 0;
constexpr int exit_refused = 1;
constexpr int exit_invalid_arguments = 2;
constexpr int exit_no_reply = 3;

// A redirect points to the leader. A longer chain means that the members disagree on it during an election.
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

error member_unavailable(const std::string& member, const std::string& body)
{
    return make_error(error_kind::unavailable, member + " answered 503: " + body,
                      "send the same request with the same request_id again");
}

} // namespace

client::client(transport& sender, std::vector<std::string> members, file_reader read_file,
               random_engine& engine)
    : m_transport(sender), m_members(std::move(members)), m_read_file(std::move(read_file)), m_engine(engine)
{
}

int client::run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    if (arguments.empty() || arguments.front() == "help") {
        out << help_text(arguments.size() > 1 ? arguments[1] : std::string());
        return arguments.empty() ? exit_invalid_arguments : exit_accepted;
    }
    const std::string& call = arguments.front();
    const auto built = build_body(call, {arguments.begin() + 1, arguments.end()}, m_read_file);
    if (!built) {
        err << describe(built.error()) << "\n";
        return exit_invalid_arguments;
    }
    const auto body = with_request_id(call, built.value(), err);
    if (!body) {
        err << describe(body.error()) << "\n";
        return exit_invalid_arguments;
    }
    const auto reply = send(call, body.value());
    if (!reply) {
        err << describe(reply.error()) << "\n";
        return exit_no_reply;
    }
    out << reply.value().body << "\n";
    return reply.value().status == 200 ? exit_accepted : exit_refused;
}

result<http_reply> client::send(const std::string& call, const std::string& body)
{
    error last = make_error(error_kind::invalid_settings, "no control member address is given",
                            "pass the members' operator addresses");
    for (const std::string& member : m_members) {
        auto reply = post_following_redirects(url_of(member, call), body);
        if (reply && reply.value().status != 503) {
            return reply;
        }
        last = reply ? member_unavailable(member, reply.value().body) : reply.error();
    }
    return last;
}

result<http_reply> client::post_following_redirects(std::string url, const std::string& body)
{
    for (int redirects = 0; redirects <= max_redirects; ++redirects) {
        BOOST_OUTCOME_TRY(http_reply reply, m_transport.post(url, body));
        if (reply.status != 307 || reply.location.empty()) {
            return reply;
        }
        url = reply.location;
    }
    return make_error(error_kind::unavailable, "redirect loop between the control members",
                      "wait for the election to end and send the same request again");
}

// Adds a request id to a change that has none. It is printed before sending, so that the operator can resend
// the change after a lost reply.
result<std::string> client::with_request_id(const std::string& call, const std::string& body,
                                            std::ostream& err)
{
    if (call != "change") {
        return body;
    }
    boost::system::error_code parse_error;
    boost::json::value value = boost::json::parse(body, parse_error);
    if (parse_error || !value.is_object()) {
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
