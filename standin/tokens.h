#pragma once

#include <cstdint>
#include <string_view>

namespace verbena::standin {

// Counts tokens the way the stand-in engine does: four bytes of text to a token, at least one.
std::uint32_t count_tokens(std::string_view text);

} // namespace verbena::standin
