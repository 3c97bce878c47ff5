#pragma once

#include "base/error.h"
#include "wire_generated.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace verbena::net {

// Frame header, 16 bytes, little endian: magic (u16), version (u8), flags (u8), stream id (u32), payload
// length (u32), low 32 bits of XXH3-64 of the payload (u32). See docs/design.md, section 3.
inline constexpr std::uint16_t frame_magic = 0x5642;
inline constexpr std::uint8_t frame_version = 1;
inline constexpr std::size_t frame_header_size = 16;

// Largest payload in bytes. Bounds the memory that a peer can make this process allocate for one frame.
inline constexpr std::uint32_t max_frame_payload = 256 * 1024;

// Largest part of a request or response body in one frame, in bytes; leaves room for the rest of the table.
inline constexpr std::size_t max_data_slice = 32 * 1024;

struct frame_header {
    std::uint32_t stream = 0;
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
};

// Encodes the header and payload of one message into one buffer, ready to be written to a socket.
std::vector<std::uint8_t> encode_frame(std::uint32_t stream, const wire::frameT& message);

// Checks the magic, the version and the length limit.
result<frame_header> decode_header(std::span<const std::uint8_t, frame_header_size> bytes);

// Compares the checksum and verifies the FlatBuffers table. The result points into `payload`.
result<const wire::frame*> decode_payload(const frame_header& header, std::span<const std::uint8_t> payload);

// Wraps a native table of the message union in a frame.
template <typename T>
wire::frameT make_frame(T&& body)
{
    wire::frameT frame;
    frame.message.Set(std::forward<T>(body));
    return frame;
}

} // namespace verbena::net
