#pragma once

#include "policy/prompt_part.h"

#include <string>
#include <vector>

namespace verbena::forward {

// A prompt part in hexadecimal, as logs and operators name it.
std::string part_name(policy::prompt_part part);

// The parts, separated by spaces.
std::string part_names(const std::vector<policy::prompt_part>& parts);

} // namespace verbena::forward
