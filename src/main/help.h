#pragma once

#include <string>

namespace verbena {

// Help text of a server role: its purpose, an example, and its settings with defaults and bounds from the
// schema. Empty if there is no such role.
std::string role_help(const std::string& role);

} // namespace verbena
