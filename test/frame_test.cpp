#include "net/frame.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

std::vector<std::uint8_t> sample_frame()
{
    wire::pingT ping;
    ping.nonce = 42;
    return net::encode_frame(7, net::make_frame(std::move(ping)));
}

result<net::frame_header> header_of(const std::vector<std::uint8_t>& bytes)
{
    return net::decode_header(std::span<const std::uint8_t, net::frame_header_size>(bytes.data(), 16));
}

std::span<const std::uint8_t> payload_of(const std::vector<std::uint8_t>& bytes)
{
    return std::span(bytes).subspan(net::frame_header_size);
}

} // namespace

BOOST_AUTO_TEST_SUITE(frame)

BOOST_AUTO_TEST_CASE(round_trip_keeps_stream_and_message)
{
    const auto bytes = sample_frame();
    const auto header = header_of(bytes);
    BOOST_TEST_REQUIRE(header.has_value());
    BOOST_TEST(header.value().stream == 7U);
    const auto frame = net::decode_payload(header.value(), payload_of(bytes));
    BOOST_TEST_REQUIRE(frame.has_value());
    BOOST_TEST_REQUIRE((frame.value()->message_type() == wire::body::ping));
    BOOST_TEST(frame.value()->message_as_ping()->nonce() == 42U);
}

// Guards against processing a frame that was corrupted in transit.
BOOST_AUTO_TEST_CASE(change_of_any_payload_byte_is_rejected)
{
    const auto valid = sample_frame();
    const auto header = header_of(valid).value();
    for (std::size_t i = net::frame_header_size; i < valid.size(); ++i) {
        auto bytes = valid;
        bytes[i] ^= 0x20U;
        BOOST_TEST(!net::decode_payload(header, payload_of(bytes)).has_value());
    }
}

// Guards against unbounded allocation and against peers that use another protocol or version.
BOOST_AUTO_TEST_CASE(bad_magic_version_and_length_are_rejected)
{
    for (const std::size_t position : {0U, 2U, 11U}) {
        auto bytes = sample_frame();
        bytes[position] ^= 0xFFU;
        BOOST_TEST(!header_of(bytes).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
