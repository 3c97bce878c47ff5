#include "control/operator_json.h"

#include "control/packed.h"
#include "operator_generated.h"
#include "schema_text.h"

#include <flatbuffers/idl.h>

#include <algorithm>

namespace verbena::control {

namespace {

constexpr char service_name[] = "verbena.op.operator_calls";

// Returns a parser with the operator schema loaded. Parsers keep state between documents, so each call uses a
// new one.
std::unique_ptr<flatbuffers::Parser> make_parser()
{
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    options.output_default_scalars_in_json = true;
    options.indent_step = 2;
    auto parser = std::make_unique<flatbuffers::Parser>(options);
    parser->Parse(operator_schema_text);
    return parser;
}

const flatbuffers::RPCCall* find_call(const flatbuffers::Parser& parser, std::string_view name)
{
    const flatbuffers::ServiceDef* service = parser.services_.Lookup(service_name);
    return service == nullptr ? nullptr : service->calls.Lookup(std::string(name));
}

std::string join(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items) {
        text.append(text.empty() ? "" : ", ").append(item);
    }
    return text;
}

// Parser message without the position, which refers to the normalised text.
std::string first_line(const std::string& message)
{
    return message.substr(0, std::min<std::size_t>(message.find('\n'), 300));
}

bool is_object(std::string_view json)
{
    const std::size_t first = json.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && json[first] == '{';
}

} // namespace

const std::vector<std::string>& operator_calls()
{
    static const std::vector<std::string> names = [] {
        const auto parser = make_parser();
        std::vector<std::string> found;
        for (const flatbuffers::RPCCall* call : parser->services_.Lookup(service_name)->calls.vec) {
            found.push_back(call->name);
        }
        return found;
    }();
    return names;
}

result<std::vector<std::uint8_t>> parse_operator_json(std::string_view call, std::string_view json)
{
    const auto parser = make_parser();
    const flatbuffers::RPCCall* found = find_call(*parser, call);
    if (found == nullptr) {
        return make_error(error_kind::not_found,
                          "there is no operator call '" + std::string(call.substr(0, 64)) + "'",
                          "use one of " + join(operator_calls()));
    }
    const std::string text(json.empty() ? std::string_view("{}") : json);
    const std::string remedy = "see 'verbenaproxy ctl help " + found->name + "' for the fields of this call";
    if (!is_object(text) || text.find('\0') != std::string::npos) {
        return make_error(error_kind::invalid_request, "the body is not a JSON object", remedy);
    }
    parser->SetRootType(found->request->name.c_str());
    if (!parser->ParseJson(text.c_str())) {
        return make_error(error_kind::invalid_request, first_line(parser->error_), remedy);
    }
    const std::uint8_t* data = parser->builder_.GetBufferPointer();
    return std::vector<std::uint8_t>(data, data + parser->builder_.GetSize());
}

std::string to_operator_json(const std::string& table, std::span<const std::uint8_t> bytes)
{
    const auto parser = make_parser();
    parser->SetRootType(table.c_str());
    std::string text;
    if (!flatbuffers::GenerateText(*parser, bytes.data(), &text)) {
        return "{}";
    }
    return text;
}

std::string error_json(const error& value, const std::string& leader)
{
    op::error_replyT reply;
    reply.kind = to_string(value.kind);
    reply.message = value.message;
    reply.remedy = value.remedy;
    reply.leader = leader;
    return to_operator_json("error_reply", pack(reply));
}

} // namespace verbena::control
