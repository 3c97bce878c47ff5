#include "control/duty_tasks.h"

namespace verbena::control {

std::vector<std::unique_ptr<duty_task>> make_duty_tasks(const settings::control_settingsT& settings)
{
    std::vector<std::unique_ptr<duty_task>> tasks;
    for (const std::string& duty : split_list(settings.duties)) {
        static_cast<void>(duty);
    }
    return tasks;
}

} // namespace verbena::control
