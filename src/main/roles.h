#pragma once

#include <string>
#include <vector>

namespace verbena {

// Runs a server role until it is stopped. Returns the exit code: 0 after a planned stop, 1 after a failure, 2
// for settings that are not valid. With `check_only` the settings are checked and nothing is started.
int run_role(const std::string& role, const std::string& settings_file, bool check_only, bool initialise);

// Runs the operator client with the arguments after `ctl`.
int run_ctl(const std::vector<std::string>& arguments, const std::string& members);

// Prints a script that starts a small deployment in `folder` with the stand-ins; starts nothing itself.
int print_demo(const std::string& folder, const std::string& binaries);

// Prints the story of one request from structured logs, read from files or, without any, from standard input.
int print_trace(const std::string& id, const std::vector<std::string>& files);

} // namespace verbena
