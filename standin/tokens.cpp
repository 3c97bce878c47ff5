#include "standin/tokens.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace verbena::standin {

namespace {

constexpr std::size_t bytes_per_token = 4;

} // namespace

std::uint32_t count_tokens(std::string_view text)
{
    const std::size_t tokens = (text.size() + bytes_per_token - 1) / bytes_per_token;
    return tokens == 0 ? 1 : static_cast<std::uint32_t>(tokens);
}

std::uint64_t hash_prompt(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::uint64_t hash_prefix(std::string_view prompt)
{
    constexpr std::size_t block = prefix_block_tokens * bytes_per_token;
    return prompt.size() < block ? 0 : XXH3_64bits(prompt.data(), block);
}

std::string token_text(std::uint64_t prompt_hash, std::uint32_t index)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(&index, sizeof index, prompt_hash);
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "w%u-%04x ", index, static_cast<unsigned>(hash & 0xFFFFU));
    return std::string(text.data(), static_cast<std::size_t>(length));
}

std::string answer_text(std::string_view prompt, std::uint32_t count)
{
    const std::uint64_t hash = hash_prompt(prompt);
    std::string text;
    for (std::uint32_t i = 0; i < count; ++i) {
        text += token_text(hash, i);
    }
    return text;
}

} // namespace verbena::standin
