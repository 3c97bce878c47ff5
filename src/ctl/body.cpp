#include "control/operator_json.h"
#include "ctl/client.h"
#include "schema_text.h"

#include <boost/json.hpp>
#include <flatbuffers/idl.h>

#include <memory>
#include <string_view>

namespace verbena::ctl {

namespace {

namespace json = boost::json;

std::unique_ptr<flatbuffers::Parser> make_parser()
{
    auto parser = std::make_unique<flatbuffers::Parser>();
    parser->Parse(operator_schema_text);
    return parser;
}

const flatbuffers::StructDef* find_request_table(const flatbuffers::Parser& parser, const std::string& call)
{
    const auto* service = parser.services_.Lookup("verbena.op.operator_calls");
    const auto* found = service == nullptr ? nullptr : service->calls.Lookup(call);
    return found == nullptr ? nullptr : found->request;
}

error unknown_call(const std::string& call)
{
    return make_error(error_kind::not_found, "there is no operator call '" + call + "'",
                      "run 'verbenaproxy ctl help' for the list");
}

error invalid_value(const std::string& field, const std::string& wanted)
{
    return make_error(error_kind::invalid_request, "the value of '" + field + "' is not " + wanted,
                      "run 'verbenaproxy ctl help' for the fields and an example");
}

bool is_enum(const flatbuffers::Type& type)
{
    return type.enum_def != nullptr;
}

json::array split_list(const std::string& text)
{
    json::array items;
    std::size_t begin = 0;
    while (begin <= text.size() && !text.empty()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        items.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

result<json::value> parse_json(const std::string& field, const std::string& text)
{
    boost::system::error_code parse_error;
    json::value value = json::parse(text, parse_error);
    if (parse_error) {
        return invalid_value(field, "valid JSON");
    }
    return value;
}

// Converts an argument to the JSON type that the schema gives to the field. Lists of strings may be written
// with commas; everything but strings and enums is parsed as JSON.
result<json::value> convert_value(const flatbuffers::FieldDef& field, const std::string& text)
{
    const flatbuffers::Type& type = field.value.type;
    if (flatbuffers::IsString(type) || is_enum(type)) {
        return json::value(text);
    }
    const bool string_list = flatbuffers::IsVector(type) && flatbuffers::IsString(type.VectorType());
    if (string_list && (text.empty() || text.front() != '[')) {
        return json::value(split_list(text));
    }
    return parse_json(field.name, text);
}

struct field_location {
    const flatbuffers::FieldDef* field = nullptr;
    json::object* parent = nullptr;
};

// Resolves a dotted path such as put_team.weight from the request table and creates missing objects.
result<field_location> resolve(const flatbuffers::StructDef* table, json::object& body,
                               const std::string& path)
{
    json::object* parent = &body;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = std::min(path.find('.', begin), path.size());
        const std::string name = path.substr(begin, end - begin);
        const flatbuffers::FieldDef* field = table->fields.Lookup(name);
        if (field == nullptr) {
            return make_error(error_kind::invalid_request, "unknown field '" + path + "'",
                              "run 'verbenaproxy ctl help' for the fields and an example");
        }
        if (end == path.size()) {
            return field_location{field, parent};
        }
        if (field->value.type.base_type != flatbuffers::BASE_TYPE_STRUCT) {
            return invalid_value(path, "a field of a table");
        }
        json::value& nested = (*parent)[name];
        if (!nested.is_object()) {
            nested = json::object();
        }
        parent = &nested.as_object();
        table = field->value.type.struct_def;
        begin = end + 1;
    }
}

result<void> add_field(const flatbuffers::StructDef* table, json::object& body, const std::string& argument)
{
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos || equals == 0) {
        return make_error(error_kind::invalid_request, "'" + argument + "' is not field=value",
                          "write field=value, one JSON object, or @file");
    }
    BOOST_OUTCOME_TRY(const field_location location, resolve(table, body, argument.substr(0, equals)));
    if (location.parent->contains(location.field->name)) {
        return make_error(error_kind::invalid_request, "'" + argument.substr(0, equals) + "' is given twice",
                          "remove one of the two");
    }
    BOOST_OUTCOME_TRY(json::value value, convert_value(*location.field, argument.substr(equals + 1)));
    (*location.parent)[location.field->name] = std::move(value);
    return success();
}

std::string type_name(const flatbuffers::Type& type)
{
    if (flatbuffers::IsVector(type)) {
        return "list of " + type_name(type.VectorType());
    }
    if (type.struct_def != nullptr) {
        return type.struct_def->name;
    }
    if (type.enum_def != nullptr) {
        std::string names;
        for (const flatbuffers::EnumVal* value : type.enum_def->Vals()) {
            names.append(names.empty() ? "" : "|").append(value->name);
        }
        return names;
    }
    return flatbuffers::IsString(type) ? "string" : flatbuffers::kTypeNames[type.base_type];
}

const flatbuffers::StructDef* nested_table(const flatbuffers::Type& type)
{
    return type.struct_def;
}

void append_fields(const flatbuffers::StructDef& table, const std::string& indent, std::string& text)
{
    for (const flatbuffers::FieldDef* field : table.fields.vec) {
        text.append(indent).append(field->name).append(": ").append(type_name(field->value.type));
        const bool has_default = flatbuffers::IsScalar(field->value.type.base_type) &&
                                 !is_enum(field->value.type) && field->value.constant != "0";
        text.append(has_default ? " = " + field->value.constant : "").append("\n");
        if (const flatbuffers::StructDef* nested = nested_table(field->value.type)) {
            append_fields(*nested, indent + "  ", text);
        }
    }
}

// Arguments of a call's example in the help text.
std::string example_arguments(const std::string& call)
{
    if (call == "change") {
        return " request_id=2026-07-1 expected_revision=4 put_team.name=clerks put_team.keys=clerks-key-1 "
               "put_team.weight=200";
    }
    if (call == "get_config") {
        return " revision=4";
    }
    if (call == "history") {
        return " from_revision=1 limit=20";
    }
    if (call == "diff") {
        return " from_revision=3 to_revision=4";
    }
    if (call == "add_member") {
        return " id=4 address=127.0.0.1:7104";
    }
    if (call == "remove_member") {
        return " id=2";
    }
    if (call == "move_duty") {
        return " duty=metering machine=vm-1 for_ms=600000";
    }
    return {};
}

std::string help_for(const flatbuffers::Parser& parser, const std::string& call)
{
    std::string text = call + "\n";
    append_fields(*find_request_table(parser, call), "    ", text);
    return text + "  example: verbenaproxy ctl " + call + example_arguments(call) + "\n";
}

} // namespace

result<std::string> build_body(const std::string& call, const std::vector<std::string>& arguments,
                               const file_reader& read_file)
{
    const auto parser = make_parser();
    const flatbuffers::StructDef* table = find_request_table(*parser, call);
    if (table == nullptr) {
        return unknown_call(call);
    }
    if (arguments.size() == 1 && !arguments.front().empty()) {
        if (arguments.front().front() == '{') {
            return arguments.front();
        }
        if (arguments.front().front() == '@') {
            return read_file(arguments.front().substr(1));
        }
    }
    json::object body;
    for (const std::string& argument : arguments) {
        BOOST_OUTCOME_TRY(add_field(table, body, argument));
    }
    return json::serialize(body);
}

std::string help_text(const std::string& call)
{
    const auto parser = make_parser();
    if (!call.empty()) {
        return find_request_table(*parser, call) == nullptr ? describe(unknown_call(call)) + "\n"
                                                            : help_for(*parser, call);
    }
    std::string text = "verbenaproxy ctl <call> [json | @file | field=value ...]\n";
    for (const std::string& name : control::operator_calls()) {
        text.append("\n").append(help_for(*parser, name));
    }
    return text;
}

} // namespace verbena::ctl
