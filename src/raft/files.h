#pragma once

#include "raft/storage.h"

namespace verbena::raft::detail {

inline constexpr const char* corruption_remedy = "remove this member and add it again under a new member id";

error corrupt_file_error(const std::string& name, std::uint64_t offset, const std::string& what);

// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
result<void> write_file_atomically(disk& files, const std::string& name, std::span<const std::uint8_t> data);

// Write and read a small file with a trailing XXH3-64 checksum.
result<void> write_checksummed(disk& files, const std::string& name, bytes data);
result<bytes> read_checksummed(disk& files, const std::string& name);

result<void> write_identity(disk& files, const identity& value);
result<identity> read_identity(disk& files);
result<void> write_hard_state(disk& files, const hard_state& value);
result<hard_state> read_hard_state(disk& files);

// Header of a log segment: magic (8 bytes), number (u64), XXH3-64 of both.
inline constexpr std::size_t segment_header_size = 24;
bytes segment_header(std::uint64_t number);

// Header of a snapshot: magic (8 bytes), index, term, image size, image XXH3-64 (u64 each), XXH3-64 of the
// header.
inline constexpr std::size_t snapshot_header_size = 48;
bytes snapshot_header(log_index index, term_number term, std::span<const std::uint8_t> image);

// Verifies the checksums of a complete snapshot file and returns its metadata.
result<snapshot_meta> check_snapshot(const std::string& name, std::span<const std::uint8_t> file);

std::string segment_name(std::uint64_t number);
std::string snapshot_name(log_index index);

// Parses the numbers that follow `prefix` in file names, in ascending order.
std::vector<std::uint64_t> parse_file_numbers(const std::vector<std::string>& names,
                                              const std::string& prefix);

} // namespace verbena::raft::detail
