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

read_record_result read_record(std::span<const std::uint8_t> data)
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
        return {record_state::damaged, {}, 0};
    }
    const std::size_t size = record_header_size + length + record_trailer_size;
    if (data.size() < size) {
        return {record_state::torn, {}, 0};
    }
    const auto payload = reader.raw(length);
    const auto checksum = reader.number<std::uint64_t>();
    if (checksum != XXH3_64bits(data.data(), record_header_size + length)) {
        // A file can grow before its data arrives; the part that did not arrive reads as zeros.
        const bool unwritten_tail = checksum == 0 && all_zero(data.subspan(size));
        return {unwritten_tail ? record_state::torn : record_state::damaged, {}, 0};
    }
    value.payload.assign(payload.begin(), payload.end());
    return {record_state::whole, std::move(value), size};
}

} // namespace verbena::raft::detail
