#pragma once

#include <string>
#include <vector>

namespace verbena {

// Runs a server role until it is stopped. Returns the exit code: 0 after a planned stop, 1 after a failure, 2
// for invalid settings. With `check_only` the settings are checked and nothing is started. With `initialise`
// a control member creates a new group in an empty data folder.
int run_role(const std::string& role, const std::string& settings_file, bool check_only, bool initialise);

// Runs the operator client with the arguments after `ctl`. `members` is a comma-separated host:port list.
int run_ctl(const std::vector<std::string>& arguments, const std::string& members);

// Prints a script that starts a small deployment with stand-in engines in `folder`; starts nothing itself.
int print_demo(const std::string& folder, const std::string& binaries);

// Prints the events of one request from structured logs, read from `files` or, if empty, from standard input.
int print_trace(const std::string& id, const std::vector<std::string>& files);

} // namespace verbena
