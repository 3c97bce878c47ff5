#pragma once

#include "base/settings.h"
#include "control/duty_task.h"

#include <memory>
#include <vector>

namespace verbena::control {

// Creates the work of each duty that the settings name.
std::vector<std::unique_ptr<duty_task>> make_duty_tasks(const settings::control_settingsT& settings);

} // namespace verbena::control
