#include "net/frame.h"
#include "raft/wire_message.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace verbena;
using namespace verbena::raft;

namespace {

message full_message()
{
    message value;
    value.kind = message_kind::append_request;
    value.from = 1;
    value.to = 2;
    value.term = 3;
    value.folder = 4;
    value.index = 5;
    value.log_term = 6;
    value.commit = 7;
    value.reject = true;
    value.hint = 8;
    value.context = 9;
    value.entries = {{6, 3, entry_kind::command, {1, 2}}, {7, 3, entry_kind::no_op, {}}};
    value.snapshot = {5, 6};
    value.snapshot_index = 10;
    value.snapshot_term = 11;
    value.snapshot_offset = 12;
    value.snapshot_total = 13;
    return value;
}

bool is_rejected(const std::function<void(wire::raft_messageT&)>& mutate)
{
    auto table = to_wire(full_message());
    mutate(table);
    return !from_wire(std::move(table)).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_wire)

// Guards against a field that is lost in the conversion to or from the wire format.
BOOST_AUTO_TEST_CASE(every_field_survives_a_frame)
{
    const message value = full_message();
    const auto frame = net::encode_frame(0, net::make_frame(to_wire(value)));
    const auto header =
        net::decode_header(std::span<const std::uint8_t, net::frame_header_size>(frame.data(), 16)).value();
    const auto payload = std::span(frame).subspan(net::frame_header_size);
    const auto decoded = net::decode_payload(header, payload);
    BOOST_TEST_REQUIRE(decoded.has_value());
    const auto received = from_wire(*decoded.value()->message_as_raft_message());
    BOOST_TEST_REQUIRE(received.has_value());
    BOOST_TEST((received.value() == value));
}

// Guards against passing malformed messages of a faulty peer to the core.
BOOST_AUTO_TEST_CASE(unknown_kinds_and_gaps_are_rejected)
{
    BOOST_TEST(is_rejected([](wire::raft_messageT& table) { table.kind = message_kind_count; }));
    BOOST_TEST(is_rejected([](wire::raft_messageT& table) { table.entries[1]->kind = 9; }));
    BOOST_TEST(is_rejected([](wire::raft_messageT& table) { table.entries[1]->index = 9; }));
    BOOST_TEST(!is_rejected([](wire::raft_messageT& /*table*/) {}));
}

// Guards against entries and chunks that pass the size limits but do not fit a frame.
BOOST_AUTO_TEST_CASE(the_largest_messages_fit_a_frame)
{
    const options settings;
    message value = full_message();
    value.entries = {{6, 3, entry_kind::command, bytes(settings.entry_bytes)}};
    value.snapshot.clear();
    BOOST_TEST(net::encode_frame(0, net::make_frame(to_wire(value))).size() <= net::max_frame_payload);
    value.entries.clear();
    for (std::size_t size = 0; size < settings.append_bytes; size += 48) {
        value.entries.push_back({6 + value.entries.size(), 3, entry_kind::command, {}});
    }
    BOOST_TEST(net::encode_frame(0, net::make_frame(to_wire(value))).size() <= net::max_frame_payload);
    value.entries.clear();
    value.snapshot.resize(settings.snapshot_chunk_bytes);
    BOOST_TEST(net::encode_frame(0, net::make_frame(to_wire(value))).size() <= net::max_frame_payload);
}

BOOST_AUTO_TEST_SUITE_END()
