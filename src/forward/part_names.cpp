#include "forward/part_names.h"

#include <array>
#include <charconv>

namespace verbena::forward {

std::string part_name(policy::prompt_part part)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof part> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal);
    return std::string(digits.data(), written.ptr);
}

std::string part_names(const std::vector<policy::prompt_part>& parts)
{
    std::string text;
    for (const policy::prompt_part part : parts) {
        text.append(text.empty() ? "" : " ").append(part_name(part));
    }
    return text;
}

} // namespace verbena::forward
