#pragma once

#include "base/error.h"
#include "settings_generated.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbena {

using settings_root = settings::rootT;

// Reads settings from INI text by schema/settings.fbs. An unknown section or key, a wrong unit, a value out
// of range, a key given twice or a missing required key is an error that names file, line, key and remedy.
result<std::unique_ptr<settings_root>> parse_settings(std::string_view text, const std::string& file);

// Reads and parses a file.
result<std::unique_ptr<settings_root>> load_settings(const std::string& file);

// The keys of a section, one a line, with unit, default, bounds and meaning; empty for an unknown section.
std::string describe_settings(const std::string& section);

// An IP address and port.
struct host_port {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const host_port&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080".
result<host_port> parse_host_port(std::string_view text);

// Parses a comma-separated list of host:port.
result<std::vector<host_port>> parse_host_ports(std::string_view text);

// Splits at commas, drops blanks around items and empty items.
std::vector<std::string> split_list(std::string_view text);

} // namespace verbena
