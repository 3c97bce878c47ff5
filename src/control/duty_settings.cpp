#include "control/duty_settings.h"

#include "net/address.h"

#include <algorithm>
#include <fstream>

namespace verbena::control {

namespace {

// A holder may act for a third of the lease after a confirmation. Confirmations are a heartbeat of the group
// and a round trip apart, about 100 ms.
constexpr milliseconds shortest_lease{600};

// Line of a key in the section [control]; 0 when it is not there.
int line_of(const std::string& file, std::string_view key)
{
    std::ifstream input(file);
    std::string line;
    bool in_section = false;
    for (int number = 1; std::getline(input, line); ++number) {
        const auto first = line.find_first_not_of(" \t");
        const std::string_view text =
            first == std::string::npos ? std::string_view() : std::string_view(line).substr(first);
        if (text.starts_with('[')) {
            in_section = text.starts_with("[control]");
        } else if (in_section && text.starts_with(key)) {
            const auto next = text.find_first_not_of(" \t", key.size());
            if (next != std::string_view::npos && text[next] == '=') {
                return number;
            }
        }
    }
    return 0;
}

error invalid(const std::string& file, const std::string& key, const std::string& what,
              const std::string& remedy)
{
    const int line = line_of(file, key);
    return make_error(error_kind::invalid_settings,
                      file + ":" + (line == 0 ? "" : std::to_string(line) + ":") + " " + key + ": " + what,
                      remedy);
}

} // namespace

result<void> check_duty_settings(const settings::control_settingsT& settings, const std::string& file)
{
    if (!settings.infrastructure.empty()) {
        const result<host_port> address = parse_host_port(settings.infrastructure);
        if (!address || !net::to_tcp_endpoint(address.value())) {
            return invalid(file, "infrastructure", "'" + settings.infrastructure + "' is not an address",
                           "write IP:port, or leave it empty to make no calls");
        }
    }
    const std::vector<std::string> duties = split_list(settings.duties);
    for (auto duty = duties.begin(); duty != duties.end(); ++duty) {
        if (*duty != metering_duty && *duty != autoscale_duty) {
            return invalid(file, "duties", "'" + *duty + "' is not a duty", "write metering or autoscale");
        }
        if (std::find(duties.begin(), duty, *duty) != duty) {
            return invalid(file, "duties", "'" + *duty + "' is given twice", "name each duty once");
        }
    }
    if (!duties.empty() && settings.infrastructure.empty()) {
        return invalid(file, "duties", "duties need the address of the infrastructure",
                       "set infrastructure, or name no duties");
    }
    if (!duties.empty() && milliseconds(settings.duty_lease) < shortest_lease) {
        return invalid(file, "duty_lease", "a lease this short ends before the group can confirm it",
                       "set it to 600ms or more");
    }
    return success();
}

} // namespace verbena::control
