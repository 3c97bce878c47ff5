#pragma once

#include "base/error.h"
#include "base/types.h"
#include "operator_generated.h"

#include <memory>
#include <string>

namespace verbena::control {

// Hash of a change's content without dry_run. Two requests with the same id must have the same fingerprint.
std::uint64_t fingerprint(const op::change_requestT& request);

// One line for the history, for example "put team clerks".
std::string summarize(const op::change_requestT& request);

// Applies the change to a copy of `current`. The result is sorted by name and validated, with order epochs
// and revision set. Errors are of kind invalid_request with a remedy. The caller checks the expected
// revision.
result<std::unique_ptr<op::configT>> edit(const op::configT& current, const op::change_requestT& request);

} // namespace verbena::control
