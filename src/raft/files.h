#pragma once

#include "raft/storage.h"

namespace verbena::raft::detail {

inline constexpr const char* damage_remedy = "remove this member and add it again under a new member id";

error damaged(const std::string& name, std::uint64_t offset, const std::string& what);

// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
result<void> write_whole(disk& files, const std::string& name, std::span<const std::uint8_t> data);

// A small file with its XXH3-64 at the end.
result<void> write_sealed(disk& files, const std::string& name, bytes data);
result<bytes> read_sealed(disk& files, const std::string& name);

result<void> write_identity(disk& files, const identity& value);
result<identity> read_identity(disk& files);
result<void> write_vote(disk& files, const hard_state& value);
result<hard_state> read_vote(disk& files);

// Header of a log segment: magic (8 bytes), number (u64), XXH3-64 of both.
inline constexpr std::size_t segment_header_size = 24;
bytes segment_header(std::uint64_t number);

// Header of a snapshot: magic (8 bytes), index, term, image size, image XXH3-64 (u64 each), XXH3-64 of the
// header.
inline constexpr std::size_t snapshot_header_size = 48;
bytes snapshot_header(log_index index, term_number term, std::span<const std::uint8_t> image);

// Checks a whole snapshot file.
result<snapshot_meta> check_snapshot(const std::string& name, std::span<const std::uint8_t> file);

std::string segment_name(std::uint64_t number);
std::string snapshot_name(log_index index);

// The numbers behind `prefix` in the names that start with it, ascending.
std::vector<std::uint64_t> numbers_of(const std::vector<std::string>& names, const std::string& prefix);

} // namespace verbena::raft::detail
