#include "node/announcement_check.h"

#include "base/settings.h"
#include "net/address.h"

#include <algorithm>

namespace verbena::node {

namespace {

constexpr std::size_t max_text_length = 256;

// Clocks of two machines may differ by some seconds, and by more after one of them has been set.
constexpr std::chrono::seconds max_clock_difference{60};

// The largest integer up to which every number is exact in JSON.
constexpr std::uint64_t max_sequence = std::uint64_t{1} << 53U;

error odd_error(const std::string& reason, const std::string& remedy)
{
    return make_error(error_kind::invalid_request, reason, remedy);
}

bool is_printable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
}

bool has_control_character(const std::string& text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) {
        constexpr unsigned char del = 0x7F;
        return letter < ' ' || letter == del;
    });
}

result<void> check_text(const char* name, const std::string& text)
{
    if (text.size() > max_text_length || has_control_character(text)) {
        return odd_error(std::string("the ") + name + " is too long or contains a control character",
                         "send at most 256 printable characters");
    }
    return success();
}

result<void> check_address(const std::string& text)
{
    const error odd =
        odd_error("the address is not an IP address with a port", "send the address as IP:port");
    if (text.size() > max_text_length) {
        return odd;
    }
    const result<host_port> parsed = parse_host_port(text);
    const auto endpoint = parsed ? net::to_tcp_endpoint(parsed.value()) : result<net::tcp::endpoint>(odd);
    if (!endpoint || endpoint.value().port() == 0) {
        return odd;
    }
    const auto ip = endpoint.value().address();
    if (ip.is_unspecified() || ip.is_multicast()) {
        return odd;
    }
    return success();
}

} // namespace

result<void> check_announcement(const wire::announcementT& value, std::chrono::system_clock::time_point now)
{
    if (value.endpoint.empty() || value.endpoint.size() > max_text_length || !is_printable(value.endpoint)) {
        return odd_error("the name of the endpoint is empty, too long or not printable",
                         "send 1 to 256 printable ASCII characters without spaces");
    }
    BOOST_OUTCOME_TRYV2(auto&&, check_text("service", value.service));
    BOOST_OUTCOME_TRYV2(auto&&, check_text("failure domain", value.failure_domain));
    const auto latest = std::chrono::floor<std::chrono::milliseconds>(now + max_clock_difference);
    if (value.born_ms > static_cast<std::uint64_t>(std::max<std::int64_t>(
                            latest.time_since_epoch() / std::chrono::milliseconds(1), 0))) {
        return odd_error("the start time lies in the future", "send the Unix millisecond of the start");
    }
    if (value.gone) {
        return success();
    }
    if (value.sequence > max_sequence) {
        return odd_error("the sequence number is too large", "count the announcements since the start");
    }
    if (value.service.empty()) {
        return odd_error("the service is empty", "send the name of the service");
    }
    return check_address(value.address);
}

} // namespace verbena::node
