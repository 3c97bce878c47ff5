#pragma once

#include <cstdint>

namespace verbena::policy {

// Identifies the content of a part of a prompt, which several requests may contain.
using prompt_part = std::uint64_t;

} // namespace verbena::policy
