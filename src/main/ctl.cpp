#include "base/settings.h"
#include "ctl/client.h"
#include "main/roles.h"
#include "net/http_client.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace verbena {

namespace {

constexpr milliseconds call_timeout{10'000};

// Sends POST requests over HTTP, each with an io_context of its own.
class http_transport : public ctl::transport {
public:
    result<ctl::http_reply> post(const std::string& url, const std::string& body) override
    {
        constexpr std::string_view scheme = "http://";
        const std::string host_and_path = url.starts_with(scheme) ? url.substr(scheme.size()) : url;
        const auto slash = host_and_path.find('/');
        BOOST_OUTCOME_TRY(const host_port address, parse_host_port(host_and_path.substr(0, slash)));
        net::http_call call;
        call.target = slash == std::string::npos ? "/" : host_and_path.substr(slash);
        call.headers.emplace_back("Content-Type", "application/json");
        call.body = body;
        BOOST_OUTCOME_TRY(const net::http_response reply, fetch(address, std::move(call)));
        ctl::http_reply answer;
        answer.status = static_cast<int>(reply.status);
        answer.body = reply.body;
        for (const auto& [name, value] : reply.headers) {
            if (name == "Location") {
                answer.location = value;
            }
        }
        return answer;
    }

private:
    static result<net::http_response> fetch(const host_port& address, net::http_call call)
    {
        net::asio::io_context context;
        result<net::http_response> reply = make_error(error_kind::unavailable, "no reply");
        net::asio::co_spawn(
            context,
            [&]() -> net::task<void> {
                reply = co_await net::fetch_http(address, std::move(call), call_timeout);
            },
            net::asio::detached);
        context.run();
        return reply;
    }
};

result<std::string> read_file(const std::string& name)
{
    std::ifstream file(name);
    if (!file) {
        return make_error(error_kind::io, name + " cannot be read", "check the path and its permissions");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int run_ctl(const std::vector<std::string>& arguments, const std::string& members)
{
    http_transport transport;
    random_engine engine(make_incarnation());
    ctl::client client(transport, split_list(members), read_file, engine);
    return client.run(arguments, std::cout, std::cerr);
}

} // namespace verbena
