#pragma once

#include "base/settings.h"
#include "control/duty_task.h"
#include "control/infrastructure.h"
#include "control/scaling_duty.h"
#include "control/usage_duty.h"

#include <memory>
#include <vector>

namespace verbena::control {

// The parts of duties that a platform adapter implements.
struct duty_adapter {
    std::shared_ptr<infrastructure> target;                 // null if the settings name no infrastructure
    std::shared_ptr<const route::document_codec> documents; // of published configurations
};

// What the work of duties takes from the member that it runs on. Outlives the work.
struct duty_inputs {
    usage_collector* usage = nullptr; // set if the settings name metering
    usage_duty::listener on_usage_step;
    demand_collector* demand = nullptr; // set if the settings name autoscale
    std::shared_ptr<const route::document_codec> documents;
};

// Creates the work of each duty that the settings name.
std::vector<std::unique_ptr<duty_task>> make_duty_tasks(const settings::control_settingsT& settings,
                                                        const duty_inputs& inputs);

} // namespace verbena::control
