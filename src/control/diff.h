#pragma once

#include "log_generated.h"

#include <string>
#include <vector>

namespace verbena::control {

// Objects that differ between two documents, packed as they are in each. Both documents must be sorted by
// name; the result is ordered by kind, then name.
std::vector<log_entry::touched_objectT> compare(const op::configT& before, const op::configT& after);

// Gives the objects of `touched` their state before the change (undo).
void revert(op::configT& config, const std::vector<std::unique_ptr<log_entry::touched_objectT>>& touched);

// Readable lines for one object: "+" added, "-" removed, "~" one line for each changed field. Team keys are
// shortened to four characters because diffs are pasted into tickets.
std::vector<std::string> describe_change(const log_entry::touched_objectT& touched);

} // namespace verbena::control
