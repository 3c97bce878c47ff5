#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbena::standin {

// Length of the first block of a prompt, whose hash is the key of the prefix cache.
inline constexpr std::uint32_t prefix_block_tokens = 1'024;

// Token count as the stand-in engine computes it: one token per four bytes of text, rounded up, at least one.
std::uint32_t count_tokens(std::string_view text);

// XXH3-64 of a whole prompt.
std::uint64_t hash_prompt(std::string_view prompt);

// XXH3-64 of the first 1,024 tokens of a prompt; 0 when the prompt is shorter.
std::uint64_t hash_prefix(std::string_view prompt);

// Text of answer token `index`, "w<index>-<4 hex digits> ". It depends only on the prompt and the index.
std::string token_text(std::uint64_t prompt_hash, std::uint32_t index);

// The complete answer of `count` tokens to a prompt, for tests that compare answers.
std::string answer_text(std::string_view prompt, std::uint32_t count);

} // namespace verbena::standin
