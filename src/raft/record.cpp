#include "raft/record.h"

#include "raft/encoding.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::raft::detail {

namespace {

constexpr std::size_t checked_header_size = record_header_size - 4;

bool all_zero(std::span<const std::uint8_t> data)
{
    return std::all_of(data.begin(), data.end(), [](std::uint8_t byte) { return byte == 0; });
}

std::uint32_t header_checksum(std::span<const std::uint8_t> header)
{
    return static_cast<std::uint32_t>(XXH3_64bits(header.data(), checked_header_size));
}

// Classifies a bad checksum as torn or corrupt. `size` is the length of the part of the record known to
// exist.
record_state classify_bad_checksum(std::span<const std::uint8_t> data, std::uint64_t offset, std::size_t size)
{
    const std::uint64_t block = (offset + size - 1) / disk_block_size * disk_block_size;
    const bool unwritten = block >= offset && all_zero(data.subspan(block - offset));
    return unwritten ? record_state::torn : record_state::corrupt;
}

} // namespace

void write_record(bytes& out, record_type type, log_index index, term_number term,
                  std::span<const std::uint8_t> payload)
{
    const std::size_t start = out.size();
    byte_writer writer(out);
    writer.number(static_cast<std::uint32_t>(payload.size()));
    writer.number(static_cast<std::uint8_t>(type));
    writer.number(index);
    writer.number(term);
    writer.number(header_checksum(std::span(out).subspan(start)));
    writer.raw(payload);
    writer.number(static_cast<std::uint64_t>(XXH3_64bits(out.data() + start, out.size() - start)));
}

read_record_result read_record(std::span<const std::uint8_t> data, std::uint64_t offset)
{
    if (data.size() < record_header_size || all_zero(data)) {
        return {record_state::torn, {}, 0};
    }
    byte_reader reader(data);
    const auto length = reader.number<std::uint32_t>();
    const auto type = reader.number<std::uint8_t>();
    record value{
        static_cast<record_type>(type), reader.number<log_index>(), reader.number<term_number>(), {}};
    if (reader.number<std::uint32_t>() != header_checksum(data) || length > record_payload_max ||
        type > static_cast<std::uint8_t>(record_type::reset)) {
        return {classify_bad_checksum(data, offset, record_header_size), {}, 0};
    }
    const std::size_t size = record_header_size + length + record_trailer_size;
    if (data.size() < size) {
        return {record_state::torn, {}, 0};
    }
    const auto payload = reader.raw(length);
    const auto checksum = reader.number<std::uint64_t>();
    if (checksum != XXH3_64bits(data.data(), record_header_size + length)) {
        return {classify_bad_checksum(data, offset, size), {}, 0};
    }
    value.payload.assign(payload.begin(), payload.end());
    return {record_state::valid, std::move(value), size};
}

} // namespace verbena::raft::detail
