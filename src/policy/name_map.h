#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace verbena::policy {

// Transparent hash for lookups by string_view without constructing a std::string.
struct name_hash {
    using is_transparent = void;

    std::size_t operator()(std::string_view name) const noexcept
    {
        return std::hash<std::string_view>{}(name);
    }
};

template <typename T>
using name_map = std::unordered_map<std::string, T, name_hash, std::equal_to<>>;

} // namespace verbena::policy
