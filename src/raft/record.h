#pragma once

#include "raft/types.h"

#include <span>

namespace verbena::raft::detail {

// A log record, little endian: payload length (u32), type (u8), index (u64), term (u64), XXH3 of these 21
// bytes (low 32 bits), payload, XXH3-64 of header and payload. The header has its own checksum, so that a
// damaged length is not mistaken for a record that a crash cut short.
inline constexpr std::size_t record_header_size = 25;
inline constexpr std::size_t record_trailer_size = 8;

// Longest payload that a record can hold, in bytes; bounds what a damaged file can make the reader allocate.
inline constexpr std::uint32_t record_payload_max = 16 * 1024 * 1024;

enum class record_type : std::uint8_t { command, membership, no_op, reset };

// Types command, membership and no_op are entries and replace what the log holds from their index on. A reset
// says that the log continues behind `index`, the last entry of an installed snapshot.
struct record {
    record_type type = record_type::command;
    log_index index = 0;
    term_number term = 0;
    bytes payload;
};

void write_record(bytes& out, record_type type, log_index index, term_number term,
                  std::span<const std::uint8_t> payload);

// A file can grow before its data arrives; blocks that did not arrive read as zeros. This is the smallest
// block.
inline constexpr std::uint64_t disk_block_size = 512;

// torn: cut short by a crash, or blocks at the end that were never written; damaged: any other bad checksum.
enum class record_state : std::uint8_t { whole, torn, damaged };

struct read_record_result {
    record_state state = record_state::damaged;
    record value;
    std::size_t size = 0; // bytes the record occupies
};

// Reads the record at the start of `data`, which lies at `offset` of its file, runs to the file's end and is
// not empty.
read_record_result read_record(std::span<const std::uint8_t> data, std::uint64_t offset);

} // namespace verbena::raft::detail
