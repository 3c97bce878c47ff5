#pragma once

#include "policy/crash_suspects.h"
#include "wire_generated.h"

#include <vector>

namespace verbena::forward {

// Conversions between what this process knows of prompt parts and the messages in which entries exchange it.
wire::crash_recordsT to_message(const std::vector<policy::crash_statement>& statements, time_point now);
std::vector<policy::crash_statement> read_crash_records(const wire::crash_records& message, time_point now);

} // namespace verbena::forward
