#pragma once

#include "raft/types.h"

#include <span>

namespace verbena::raft::detail {

// A log record, little endian: payload length (u32), type (u8), index (u64), term (u64), XXH3 of these 21
// bytes (low 32 bits), payload, XXH3-64 of header and payload. The header has its own checksum, so that a
// corrupt length is not mistaken for a record that a crash truncated.
inline constexpr std::size_t record_header_size = 25;
inline constexpr std::size_t record_trailer_size = 8;

// Largest payload of a record, in bytes; limits the memory that a corrupt file can make the reader allocate.
inline constexpr std::uint32_t record_payload_max = 16 * 1024 * 1024;

enum class record_type : std::uint8_t { command, membership, no_op, reset };

// Types command, membership and no_op are log entries and replace all entries from their index on. After a
// reset record the log continues at `index` + 1, where `index` is the last entry of an installed snapshot.
struct record {
    record_type type = record_type::command;
    log_index index = 0;
    term_number term = 0;
    bytes payload;
};

void write_record(bytes& out, record_type type, log_index index, term_number term,
                  std::span<const std::uint8_t> payload);

// Smallest block size of a disk, in bytes. After a crash a file may have its new size before its data was
// written; unwritten blocks read as zeros.
inline constexpr std::uint64_t disk_block_size = 512;

// torn: truncated by a crash, or with unwritten blocks at the end; corrupt: any other bad checksum.
enum class record_state : std::uint8_t { valid, torn, corrupt };

struct read_record_result {
    record_state state = record_state::corrupt;
    record value;
    std::size_t size = 0; // bytes the record occupies
};

// Reads the record at the start of `data`, which is the rest of a file from `offset` on and must not be
// empty.
read_record_result read_record(std::span<const std::uint8_t> data, std::uint64_t offset);

} // namespace verbena::raft::detail
