#pragma once

#include <string>

namespace verbena {

// Help for a server role: what it does, an example, and its settings with their defaults and bounds from the
// schema. Empty for a name that is no role.
std::string role_help(const std::string& role);

} // namespace verbena
