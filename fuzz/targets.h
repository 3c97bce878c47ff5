#pragma once

#include "base/settings.h"
#include "control/operator_json.h"
#include "entry/caller_request.h"
#include "forward/event_reader.h"
#include "net/frame.h"
#include "platform/check_in.h"
#include "platform/configuration.h"
#include "raft/record.h"
#include "route/table.h"

#include <boost/endian/conversion.hpp>

#include <cstdlib>
#include <span>
#include <string>
#include <string_view>
#include <xxhash.h>

// Fuzz targets for data read from peers, callers, operators and disk. Header-only, because fuzz/run.sh builds
// one program per target and test/fuzz_corpus_test.cpp runs them all on the corpus. A target aborts when an
// invariant does not hold.
namespace verbena::fuzz {

using input = std::span<const std::uint8_t>;

inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

inline std::string_view text_of(input data)
{
    return {reinterpret_cast<const char*>(data.data()), data.size()};
}

// Removes the next line and its line feed from `rest` and returns the line without the line feed.
inline std::string_view take_line(std::string_view& rest)
{
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return line;
}

// A frame header and payload. The checksum is computed here, because the fuzzer would not find a valid one.
inline void run_frame(input data)
{
    if (data.size() < net::frame_header_size) {
        return;
    }
    const std::span<const std::uint8_t, net::frame_header_size> header_bytes(data.data(),
                                                                             net::frame_header_size);
    auto header = net::decode_header(header_bytes);
    if (!header) {
        return;
    }
    // Copied, because the verifier needs the alignment of a heap buffer, which a received payload has.
    const std::vector<std::uint8_t> payload(data.begin() + net::frame_header_size, data.end());
    header.value().checksum = static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size()));
    const auto frame = net::decode_payload(header.value(), payload);
    // A union type without a value passes the verifier; net::connection refuses it.
    if (!frame || frame.value()->message() == nullptr) {
        return;
    }
    wire::frameT message;
    frame.value()->UnPackTo(&message);
    const std::vector<std::uint8_t> reencoded = net::encode_frame(header.value().stream, message);
    const std::span<const std::uint8_t, net::frame_header_size> reencoded_header_bytes(
        reencoded.data(), net::frame_header_size);
    const auto reencoded_header = net::decode_header(reencoded_header_bytes);
    if (reencoded_header) {
        const input reencoded_payload = input(reencoded).subspan(net::frame_header_size);
        require(net::decode_payload(reencoded_header.value(), reencoded_payload).has_value());
    }
}

// A configuration of the users' platform. A decoding error must have a message and a remedy. For a decoded
// configuration, the route table is either built or refused with a message.
inline void run_platform_configuration(input data)
{
    auto decoded = platform::configuration_codec().decode(text_of(data));
    if (!decoded) {
        require(!decoded.error().message.empty() && !decoded.error().remedy.empty());
        return;
    }
    const auto table = route::table::create(std::move(decoded.value()));
    require(table ? table.value() != nullptr : !table.error().message.empty());
}

// Check-ins of the users' platform: the id is the first line, the body follows.
inline void run_platform_check_in(input data)
{
    std::string_view rest = text_of(data);
    const std::string_view endpoint = take_line(rest);
    const std::chrono::system_clock::time_point now{std::chrono::hours(24 * 365 * 56)};
    const auto check_in = platform::read_check_in(endpoint, rest, now);
    require(check_in ? !check_in.value().endpoint.empty() : !check_in.error().message.empty());
    const auto leave = platform::read_leave(endpoint, rest, now);
    require(leave ? leave.value().gone : !leave.error().message.empty());
}

// A server-sent event stream: no byte is lost, and the text of the events does not depend on how the input is
// split into reads.
inline void run_event_stream(input data)
{
    forward::event_reader whole_reader;
    forward::event_reader byte_reader;
    std::string whole_text;
    std::string byte_text;
    whole_reader.feed(text_of(data));
    while (auto event = whole_reader.next()) {
        whole_text += event->text;
    }
    for (const char byte : text_of(data)) {
        byte_reader.feed({&byte, 1});
        while (auto event = byte_reader.next()) {
            byte_text += event->text;
        }
    }
    require(whole_text == byte_text && whole_text.size() + whole_reader.pending_bytes() == data.size());
}

// An INI settings file. An error must have a message.
inline void run_settings(input data)
{
    const auto parsed = parse_settings(text_of(data), "fuzz.ini");
    require(parsed ? parsed.value() != nullptr : !parsed.error().message.empty());
}

inline node::config_snapshot caller_config()
{
    op::configT config;
    config.revision = 1;
    auto team = std::make_unique<op::teamT>();
    team->name = "clerks";
    team->keys = {"secret"};
    config.teams.push_back(std::move(team));
    auto chat = std::make_unique<op::serviceT>();
    chat->name = "chat";
    chat->models = {"m"};
    config.services.push_back(std::move(chat));
    auto desk = std::make_unique<op::serviceT>();
    desk->name = "desk";
    desk->kind = op::service_kind::plain;
    auto stock = std::make_unique<op::path_ruleT>();
    stock->prefix = "/stock";
    stock->repeatable = true;
    desk->paths.push_back(std::move(stock));
    config.services.push_back(std::move(desk));
    return node::config_snapshot(std::move(config));
}

// Parses a caller request given as lines: method and target, headers, an empty line, body.
inline net::http_request to_caller_request(std::string_view text)
{
    constexpr std::size_t max_header_line = 8'192;
    net::http_request request;
    const std::string_view request_line = take_line(text);
    const std::size_t space = std::min(request_line.find(' '), request_line.size());
    request.method = request_line.substr(0, space);
    request.target = request_line.substr(std::min(space + 1, request_line.size()));
    while (!text.empty()) {
        const std::string_view line = take_line(text);
        if (line.empty()) {
            break;
        }
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos && colon > 0 && line.size() < max_header_line) {
            request.headers.set(std::string(line.substr(0, colon)), std::string(line.substr(colon + 2)));
        }
    }
    request.body = text;
    return request;
}

inline void run_caller_request(input data)
{
    static const node::config_snapshot config = caller_config();
    const time_point now{std::chrono::hours(1)};
    net::http_request request = to_caller_request(text_of(data));
    const auto parsed = entry::parse_caller_request(request, config, {}, request_id{1, 2}, now);
    if (!parsed) {
        require(entry::to_response(parsed.error()).status >= 400);
        return;
    }
    require(parsed.value().deadline > now);
    require(config.service(parsed.value().service) != nullptr);
    require(parsed.value().team == "clerks");
}

// Records in their on-disk format. Writing a complete record again must yield the bytes it was read from.
inline void run_raw_records(input data)
{
    std::uint64_t offset = 0;
    while (offset < data.size()) {
        const input rest = data.subspan(offset);
        const auto read = raft::detail::read_record(rest, offset);
        if (read.state != raft::detail::record_state::valid) {
            return;
        }
        require(read.size > 0 && read.size <= rest.size());
        raft::bytes reencoded;
        raft::detail::write_record(reencoded, read.value.type, read.value.index, read.value.term,
                                   read.value.payload);
        require(std::equal(reencoded.begin(), reencoded.end(), rest.begin(),
                           rest.begin() + static_cast<std::ptrdiff_t>(read.size)));
        offset += read.size;
    }
}

// The input is read as records, and as the description of a corrupted record: byte 0 selects the bit to flip,
// bytes 1 and 2 its position, and the rest is the payload. A corrupted or truncated record must never be read
// as complete.
inline void run_raft_record(input data)
{
    run_raw_records(data);
    if (data.size() < 3) {
        return;
    }
    raft::bytes record;
    raft::detail::write_record(record, raft::detail::record_type::command, 7, 3, data.subspan(3));
    run_raw_records(record);
    const std::size_t position = (data[1] + 256U * data[2]) % record.size();
    record[position] ^= static_cast<std::uint8_t>(1U << (data[0] % 8U));
    require(raft::detail::read_record(record, 0).state != raft::detail::record_state::valid);
    record.resize(position);
    require(raft::detail::read_record(record, 0).state != raft::detail::record_state::valid);
}

// The name of an operator call and its JSON body. An accepted document must still be accepted after it has
// been converted back to JSON.
inline void run_operator_json(input data)
{
    std::string_view body = text_of(data);
    const std::string call(take_line(body));
    const auto packed = control::parse_operator_json(call, body);
    if (!packed) {
        require(!packed.error().message.empty());
        return;
    }
    const std::string printed = control::to_operator_json("verbena.op." + call + "_request", packed.value());
    require(control::parse_operator_json(call, printed).has_value());
}

} // namespace verbena::fuzz
