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

// Parses settings from INI text according to schema/settings.fbs. An unknown section or key, an invalid unit,
// a value out of range, a duplicate key or a missing required key is an error that names the file, the line,
// the key and the remedy.
result<std::unique_ptr<settings_root>> parse_settings(std::string_view text, const std::string& file);

// Reads and parses a file.
result<std::unique_ptr<settings_root>> load_settings(const std::string& file);

// Lists the keys of a section, one per line, with unit, default, range and meaning; empty for an unknown
// section.
std::string describe_settings(const std::string& section);

// An IP address and port.
struct host_port {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const host_port&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080".
result<host_port> parse_host_port(std::string_view text);

// Parses a comma-separated list of addresses.
result<std::vector<host_port>> parse_host_ports(std::string_view text);

// Splits at commas, trims spaces and tabs around items and skips empty items.
std::vector<std::string> split_list(std::string_view text);

} // namespace verbena
