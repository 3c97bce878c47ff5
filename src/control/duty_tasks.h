#pragma once

#include "base/settings.h"
#include "control/duty_task.h"
#include "control/usage_duty.h"

#include <memory>
#include <vector>

namespace verbena::control {

// What the work of duties takes from the member that it runs on. Outlives the work.
struct duty_inputs {
    usage_collector* usage = nullptr; // set if the settings name metering
    usage_duty::listener on_usage_step;
};

// Creates the work of each duty that the settings name.
std::vector<std::unique_ptr<duty_task>> make_duty_tasks(const settings::control_settingsT& settings,
                                                        const duty_inputs& inputs);

} // namespace verbena::control
