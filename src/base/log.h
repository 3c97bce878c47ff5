#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace verbena::log {

// Sets the level (trace, debug, info, warn, error) and the destination; an empty file name means standard
// error. Call once at process start.
result<void> configure(std::string_view level, const std::string& file);

// Log only changes of state; events that happen per request are counted in metrics instead.
void info(std::string_view text);
void warn(std::string_view text);
void failure(std::string_view text);

} // namespace verbena::log
