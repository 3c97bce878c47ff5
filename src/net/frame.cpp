#include "net/frame.h"

#include <boost/endian/conversion.hpp>

#include <cstring>
#include <xxhash.h>

namespace verbena::net {

namespace {

// Limits for the FlatBuffers verifier: no message of the schema nests deeper or has more tables.
constexpr std::size_t max_table_depth = 16;
constexpr std::size_t max_tables = 20'000;

std::uint32_t payload_checksum(std::span<const std::uint8_t> payload)
{
    return static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size()));
}

error invalid_frame_error(const char* reason)
{
    return make_error(error_kind::invalid_frame, reason, "check that both processes run the same version");
}

} // namespace

std::vector<std::uint8_t> encode_frame(std::uint32_t stream, const wire::frameT& message)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(wire::frame::Pack(builder, &message));
    const std::span<const std::uint8_t> payload(builder.GetBufferPointer(), builder.GetSize());
    std::vector<std::uint8_t> bytes(frame_header_size + payload.size());
    boost::endian::store_little_u16(bytes.data(), frame_magic);
    bytes[2] = frame_version;
    boost::endian::store_little_u32(bytes.data() + 4, stream);
    boost::endian::store_little_u32(bytes.data() + 8, static_cast<std::uint32_t>(payload.size()));
    boost::endian::store_little_u32(bytes.data() + 12, payload_checksum(payload));
    std::memcpy(bytes.data() + frame_header_size, payload.data(), payload.size());
    return bytes;
}

result<frame_header> decode_header(std::span<const std::uint8_t, frame_header_size> bytes)
{
    if (boost::endian::load_little_u16(bytes.data()) != frame_magic) {
        return invalid_frame_error("bad_magic");
    }
    if (bytes[2] != frame_version) {
        return invalid_frame_error("bad_version");
    }
    frame_header header;
    header.stream = boost::endian::load_little_u32(bytes.data() + 4);
    header.length = boost::endian::load_little_u32(bytes.data() + 8);
    header.checksum = boost::endian::load_little_u32(bytes.data() + 12);
    if (header.length > max_frame_payload) {
        return invalid_frame_error("bad_length");
    }
    return header;
}

result<const wire::frame*> decode_payload(const frame_header& header, std::span<const std::uint8_t> payload)
{
    if (payload_checksum(payload) != header.checksum) {
        return invalid_frame_error("bad_checksum");
    }
    flatbuffers::Verifier verifier(payload.data(), payload.size(), max_table_depth, max_tables);
    if (!wire::VerifyframeBuffer(verifier)) {
        return invalid_frame_error("bad_payload");
    }
    return wire::Getframe(payload.data());
}

} // namespace verbena::net
