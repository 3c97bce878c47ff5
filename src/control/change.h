#pragma once

#include "base/error.h"
#include "base/types.h"
#include "operator_generated.h"

#include <memory>
#include <string>

namespace verbena::control {

// Fingerprint of a change's content. Two requests with the same id must have the same fingerprint; dry_run
// is not part of it.
std::uint64_t fingerprint(const op::change_requestT& request);

// One line for the history, for example "put team clerks".
std::string summarize(const op::change_requestT& request);

// The document after the change, sorted by name, validated, with order epochs and revision set. Errors are of
// kind invalid_request with a remedy. The expected revision is the caller's concern.
result<std::unique_ptr<op::configT>> edit(const op::configT& current, const op::change_requestT& request);

} // namespace verbena::control
