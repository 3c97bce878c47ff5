#include "forward/answer_source.h"

#include "net/http_client.h"

#include <algorithm>

namespace verbena::forward {

namespace {

// A report needs no slot and takes a network round trip; an endpoint that has not answered by then is asked
// again on a new connection.
constexpr milliseconds call_timeout{400};

// An endpoint resets connections beyond its limit, and may take one a little later.
constexpr milliseconds retry_interval{50};

constexpr unsigned first_failure_status = 500;

// The report lists the reservations of an endpoint, 64 at most.
constexpr std::size_t max_response = 64 * 1024;

// One call to the endpoint. Its outcome is added to `found`. Returns whether a further call would not tell
// more: an endpoint that is full refuses calls, and may take one a little later.
net::task<bool> ask(const protocol_adapter& protocol, const answer_source& source, net::http_call call,
                    time_point deadline, source_check& found)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now());
    if (left <= milliseconds::zero()) {
        co_return false;
    }
    const result<net::http_response> response =
        co_await net::fetch_http(source.address, std::move(call), std::min(call_timeout, left), max_response);
    if (!response) {
        found.detail = response.error().message;
        if (response.error().kind == error_kind::unavailable) {
            found.state = source_state::ended;
        }
        co_return false;
    }
    found.stated = protocol.read_identity(response.value());
    found.state = compare_identity(found.stated, source);
    found.detail = found.state == source_state::unknown
                       ? "status " + std::to_string(response.value().status) + " names no process"
                       : "";
    co_return response.value().status < first_failure_status;
}

} // namespace

const char* to_string(source_state value)
{
    switch (value) {
    case source_state::running:
        return "running";
    case source_state::ended:
        return "ended";
    case source_state::unknown:
        return "unknown";
    }
    return "unknown";
}

source_state compare_identity(const endpoint_identity& stated, const answer_source& source)
{
    const bool both_born = stated.born_ms != 0 && source.born_ms != 0;
    if ((!stated.name.empty() && stated.name != source.name) ||
        (both_born && stated.born_ms != source.born_ms)) {
        return source_state::ended;
    }
    return both_born || !stated.name.empty() ? source_state::running : source_state::unknown;
}

net::task<source_check> check_source(const protocol_adapter& protocol, answer_source source,
                                     time_point deadline)
{
    source_check found;
    while (true) {
        bool answered = co_await ask(protocol, source, protocol.report(), deadline, found);
        if (found.state == source_state::unknown && !source.health_path.empty()) {
            answered = co_await ask(protocol, source, protocol.health(source.health_path), deadline, found);
        }
        // An endpoint that has answered and does not say who it is will not say it later either.
        if (found.state != source_state::unknown || answered || clock::now() + retry_interval >= deadline) {
            co_return found;
        }
        co_await net::sleep_for(retry_interval);
    }
}

} // namespace verbena::forward
