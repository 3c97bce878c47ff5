#pragma once

#include "base/settings.h"

namespace verbena::control {

inline constexpr std::string_view metering_duty = "metering";
inline constexpr std::string_view autoscale_duty = "autoscale";

// Checks the settings of duties beyond what the schema expresses. The error names the file, the line, the key
// and the remedy.
result<void> check_duty_settings(const settings::control_settingsT& settings, const std::string& file);

} // namespace verbena::control
