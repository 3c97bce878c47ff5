#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace verbena::log {

// Sets the level (trace, debug, info, warn, error) and the destination; an empty file name means standard
// error. Call once at the start of a process.
result<void> configure(std::string_view level, const std::string& file);

// Lines are written for changes of state only; anything that happens per request is a counter.
void info(std::string_view text);
void warn(std::string_view text);
void failure(std::string_view text);

} // namespace verbena::log
