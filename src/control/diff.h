#pragma once

#include "log_generated.h"

#include <string>
#include <vector>

namespace verbena::control {

// Objects that differ between two documents, with the packed state in each. Both documents must be sorted by
// name; the result is ordered by kind, then name.
std::vector<log_entry::touched_objectT> compare(const op::configT& before, const op::configT& after);

// Restores the objects in `touched` to their state before the change.
void revert(op::configT& config, const std::vector<std::unique_ptr<log_entry::touched_objectT>>& touched);

// Text lines for one object: "+" added, "-" removed, "~" one line per changed field. Team keys are truncated
// to four characters because diffs are pasted into tickets.
std::vector<std::string> describe_change(const log_entry::touched_objectT& touched);

} // namespace verbena::control
