#include "control/duty_tasks.h"

namespace verbena::control {

std::vector<std::unique_ptr<duty_task>> make_duty_tasks(const settings::control_settingsT& settings,
                                                        const duty_inputs& inputs)
{
    std::vector<std::unique_ptr<duty_task>> tasks;
    for (const std::string& duty : split_list(settings.duties)) {
        if (duty == "metering" && inputs.usage != nullptr) {
            tasks.push_back(std::make_unique<usage_duty>(*inputs.usage, inputs.on_usage_step));
        } else if (duty == "autoscale" && inputs.demand != nullptr && inputs.documents) {
            tasks.push_back(std::make_unique<scaling_duty>(*inputs.demand, inputs.documents));
        }
    }
    return tasks;
}

} // namespace verbena::control
