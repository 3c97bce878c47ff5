#pragma once

#include "base/error.h"
#include "base/random.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace verbena::ctl {

struct http_reply {
    int status = 0;
    // Target of a redirect; empty otherwise.
    std::string location;
    std::string body;
};

// Sends operator calls: over HTTP in the program, from a table of replies in tests.
class transport {
public:
    virtual ~transport() = default;

    // POSTs a JSON body to a URL. An error means that no reply was received.
    virtual result<http_reply> post(const std::string& url, const std::string& body) = 0;
};

// Builds the JSON body of a call from the arguments after its name: none for {}, one JSON object, @file read
// with `read_file`, or field=value pairs. Fields of nested tables are written with dots
// (put_team.weight=200), lists of strings with commas, other lists and whole tables as JSON.
using file_reader = std::function<result<std::string>(const std::string&)>;
result<std::string> build_body(const std::string& call, const std::vector<std::string>& arguments,
                               const file_reader& read_file);

// Text of `ctl help`: fields and an example of one call, or of every call if `call` is empty.
std::string help_text(const std::string& call = {});

// Runs `verbenaproxy ctl <call> [...]` against members (host:port). Redirects are followed; a member that
// does not answer is skipped. A change without request_id gets a random one, and its resends to other members
// use the same one. Prints the reply to `out` and errors to `err`; returns the exit code: 0 accepted, 1
// refused, 2 invalid arguments, 3 no member answered.
class client {
public:
    client(transport& sender, std::vector<std::string> members, file_reader read_file, random_engine& engine);

    int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

private:
    result<http_reply> send(const std::string& call, const std::string& body);
    result<http_reply> post_following_redirects(std::string url, const std::string& body);
    result<std::string> with_request_id(const std::string& call, const std::string& body, std::ostream& err);

    transport& m_transport;
    std::vector<std::string> m_members;
    file_reader m_read_file;
    random_engine& m_engine;
};

} // namespace verbena::ctl
