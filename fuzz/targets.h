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

// Fuzz targets for everything that is read from peers, callers, operators and disk. Header-only, because
// fuzz/run.sh builds one program per target and test/fuzz_corpus_test.cpp runs them all on the corpus. A
// target aborts when an invariant does not hold.
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

// Takes the text before the next line end, and the line end.
inline std::string_view take_line(std::string_view& rest)
{
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return line;
}

// A frame header and payload. The checksum is computed, because a fuzzer cannot find it.
inline void run_frame(input data)
{
    if (data.size() < net::frame_header_size) {
        return;
    }
    const std::span<const std::uint8_t, net::frame_header_size> head(data.data(), net::frame_header_size);
    auto header = net::decode_header(head);
    if (!header) {
        return;
    }
    // The verifier needs the alignment of a heap buffer, as a received payload has.
    const std::vector<std::uint8_t> payload(data.begin() + net::frame_header_size, data.end());
    header.value().checksum = static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size()));
    const auto frame = net::decode_payload(header.value(), payload);
    // A union type without a value passes the verifier; net::connection refuses it.
    if (!frame || frame.value()->message() == nullptr) {
        return;
    }
    wire::frameT message;
    frame.value()->UnPackTo(&message);
    const std::vector<std::uint8_t> again = net::encode_frame(header.value().stream, message);
    const std::span<const std::uint8_t, net::frame_header_size> again_head(again.data(),
                                                                           net::frame_header_size);
    const auto again_header = net::decode_header(again_head);
    if (again_header) {
        const input again_payload = input(again).subspan(net::frame_header_size);
        require(net::decode_payload(again_header.value(), again_payload).has_value());
    }
}

// A configuration of the users' platform. A refusal names what is wrong; what is accepted can be indexed or
// is refused with a reason.
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

// Check-ins of the users' platform: the id in the first line, the body behind it.
inline void run_platform_check_in(input data)
{
    std::string_view rest = text_of(data);
    const std::string_view endpoint = take_line(rest);
    const auto value = platform::read_check_in(endpoint, rest);
    require(value ? !value.value().endpoint.empty() : !value.error().message.empty());
    const auto leave = platform::read_leave(endpoint, rest);
    require(leave ? leave.value().gone : !leave.error().message.empty());
}

// A stream of events: nothing is lost, and the pieces do not depend on how the bytes arrive.
inline void run_event_stream(input data)
{
    forward::event_reader whole;
    forward::event_reader bytes;
    std::string joined;
    std::string joined_bytes;
    whole.feed(text_of(data));
    while (auto event = whole.next()) {
        joined += event->text;
    }
    for (const char byte : text_of(data)) {
        bytes.feed({&byte, 1});
        while (auto event = bytes.next()) {
            joined_bytes += event->text;
        }
    }
    require(joined == joined_bytes && joined.size() + whole.pending_bytes() == data.size());
}

// An INI settings file. A refusal must say what is wrong.
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

// A caller request as lines: method and target, headers, an empty line, body.
inline net::http_request to_caller_request(std::string_view text)
{
    constexpr std::size_t longest_header = 8'192;
    net::http_request request;
    const std::string_view first = take_line(text);
    const std::size_t space = std::min(first.find(' '), first.size());
    request.method = first.substr(0, space);
    request.target = first.substr(std::min(space + 1, first.size()));
    while (!text.empty()) {
        const std::string_view line = take_line(text);
        if (line.empty()) {
            break;
        }
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos && colon > 0 && line.size() < longest_header) {
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

// Records as they are on disk. Each valid record must write to the bytes that it was read from.
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
        raft::bytes again;
        raft::detail::write_record(again, read.value.type, read.value.index, read.value.term,
                                   read.value.payload);
        require(std::equal(again.begin(), again.end(), rest.begin(),
                           rest.begin() + static_cast<std::ptrdiff_t>(read.size)));
        offset += read.size;
    }
}

// The input is read as it is, and as a damaged record: byte 0 selects a bit, bytes 1 and 2 the place, the
// rest is the payload. A damaged record must never be read as valid.
inline void run_raft_record(input data)
{
    run_raw_records(data);
    if (data.size() < 3) {
        return;
    }
    raft::bytes record;
    raft::detail::write_record(record, raft::detail::record_type::command, 7, 3, data.subspan(3));
    run_raw_records(record);
    const std::size_t place = (data[1] + 256U * data[2]) % record.size();
    record[place] ^= static_cast<std::uint8_t>(1U << (data[0] % 8U));
    require(raft::detail::read_record(record, 0).state != raft::detail::record_state::valid);
    record.resize(place);
    require(raft::detail::read_record(record, 0).state != raft::detail::record_state::valid);
}

// The name of an operator call and its JSON body. An accepted document must be accepted again after it has
// been printed.
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
