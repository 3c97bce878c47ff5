#pragma once

#include "base/error.h"
#include "operator_generated.h"

#include <string_view>

namespace verbena::control {

// Names of teams, services, failure domains, endpoints and roles: a letter or digit, then letters, digits,
// '.', '_' or '-', at most 64 characters.
bool is_well_formed_name(std::string_view text);

// Names of models, adapters and versions: as above, also '/', ':' and '@', at most 128 characters.
bool is_well_formed_model(std::string_view text);

// Team keys: 8 to 128 visible ASCII characters.
bool is_well_formed_team_key(std::string_view text);

// Request ids of changes: 1 to 64 visible ASCII characters.
bool is_well_formed_request_id(std::string_view text);

// Validates a whole document: well-formed and unique names, team keys unique across teams, number ranges, and
// references from endpoints to models of services. The error is of kind invalid_request and names the object
// and the remedy.
result<void> validate(const op::configT& config);

} // namespace verbena::control
