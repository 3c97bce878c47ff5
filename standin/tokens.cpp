#include "standin/tokens.h"

namespace verbena::standin {

namespace {

constexpr std::size_t bytes_per_token = 4;

} // namespace

std::uint32_t count_tokens(std::string_view text)
{
    const std::size_t tokens = (text.size() + bytes_per_token - 1) / bytes_per_token;
    return tokens == 0 ? 1 : static_cast<std::uint32_t>(tokens);
}

} // namespace verbena::standin
