#include "base/settings.h"

#include "base/ini.h"
#include "schema_text.h"

#include <flatbuffers/idl.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace verbena {

namespace {

struct unit_factor {
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr unit_factor time_units[] = {{"ms", 1}, {"s", 1'000}, {"min", 60'000}, {"h", 3'600'000}};
constexpr unit_factor size_units[] = {
    {"B", 1}, {"KiB", 1ULL << 10U}, {"MiB", 1ULL << 20U}, {"GiB", 1ULL << 30U}};

std::string attribute(const flatbuffers::FieldDef& field, const char* name)
{
    const flatbuffers::Value* value = field.attributes.Lookup(name);
    return value == nullptr ? std::string() : value->constant;
}

std::uint64_t to_number(const std::string& text)
{
    return std::stoull(text);
}

std::optional<std::uint64_t> unit_multiplier(const std::string& unit, std::string_view suffix)
{
    if (unit == "thousandths") {
        return suffix.empty() ? std::optional<std::uint64_t>(1'000) : std::nullopt;
    }
    if (suffix.empty()) {
        return unit.empty() ? std::optional<std::uint64_t>(1) : std::nullopt;
    }
    if (unit == "ms") {
        for (const unit_factor& item : time_units) {
            if (item.suffix == suffix) {
                return item.factor;
            }
        }
    }
    if (unit == "bytes") {
        for (const unit_factor& item : size_units) {
            if (item.suffix == suffix) {
                return item.factor;
            }
        }
    }
    return std::nullopt;
}

std::string unit_remedy(const std::string& unit)
{
    if (unit == "ms") {
        return "write a number of at least 0 with ms, s, min or h, for example 250ms";
    }
    if (unit == "bytes") {
        return "write a number of at least 0 with B, KiB, MiB or GiB, for example 64MiB";
    }
    if (unit == "thousandths") {
        return "write a fraction of at least 0 without a unit, for example 0.32";
    }
    return "write a number of at least 0 without a unit, for example 12";
}

// A number in the base unit of its field, or nullopt for text that is not a number with a valid unit.
std::optional<double> parse_fraction(const std::string& unit, const std::string& value)
{
    double number = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    if (parsed.ec != std::errc() || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    const auto factor =
        unit_multiplier(unit, std::string_view(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)));
    // Decimal fractions such as 0.29 are not exact in binary.
    constexpr double rounding = 1e-6;
    return factor ? std::optional<double>(std::floor(number * static_cast<double>(*factor) + rounding))
                  : std::nullopt;
}

// A whole number is parsed exactly; a fraction is rounded down to the base unit.
std::optional<std::uint64_t> parse_number(const std::string& unit, const std::string& value, bool& overflow)
{
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    const auto factor =
        unit_multiplier(unit, std::string_view(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)));
    if (parsed.ec == std::errc() && factor) {
        overflow = number > UINT64_MAX / *factor;
        return number * *factor;
    }
    const std::optional<double> fraction = parse_fraction(unit, value);
    constexpr double limit = 18e18;
    overflow = fraction && *fraction > limit;
    return fraction ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(std::min(*fraction, limit)))
                    : std::nullopt;
}

// Converts a number with its unit to the base unit of the field and checks it against the range in the
// schema.
result<std::uint64_t> convert_number(const flatbuffers::FieldDef& field, const std::string& value)
{
    const std::string unit = attribute(field, "unit");
    bool overflow = false;
    const std::optional<std::uint64_t> number = parse_number(unit, value, overflow);
    if (!number) {
        return make_error(error_kind::invalid_settings, "'" + value + "' is not a valid value",
                          unit_remedy(unit));
    }
    const std::string minimum = attribute(field, "min");
    const std::string maximum = attribute(field, "max");
    if (overflow || (!minimum.empty() && *number < to_number(minimum)) ||
        (!maximum.empty() && *number > to_number(maximum))) {
        return make_error(error_kind::invalid_settings, "'" + value + "' is out of range",
                          "use " + minimum + " to " + maximum + (unit.empty() ? "" : " " + unit));
    }
    return *number;
}

std::string json_quote(const std::string& value)
{
    std::string text;
    flatbuffers::EscapeString(value.data(), value.size(), &text, true, false);
    return text;
}

result<std::string> convert_value(const flatbuffers::FieldDef& field, const std::string& value)
{
    if (flatbuffers::IsString(field.value.type)) {
        return json_quote(value);
    }
    BOOST_OUTCOME_TRY(const std::uint64_t number, convert_number(field, value));
    return std::to_string(number);
}

std::string field_names(const flatbuffers::StructDef& table)
{
    std::string names;
    for (const flatbuffers::FieldDef* field : table.fields.vec) {
        names += (names.empty() ? "" : ", ") + field->name;
    }
    return names;
}

error with_location(const std::string& file, int line, const std::string& key, error cause)
{
    cause.message = file + ":" + std::to_string(line) + ": " + key + ": " + cause.message;
    return cause;
}

// JSON members of each section, in file order, and the keys found so far as section.key.
struct json_sections {
    std::map<std::string, std::string> members;
    std::set<std::string> seen_keys;
};

result<void> add_entry(const flatbuffers::StructDef& root, const ini_entry& entry, json_sections& out)
{
    const flatbuffers::FieldDef* section = root.fields.Lookup(entry.section);
    if (section == nullptr) {
        return make_error(error_kind::invalid_settings, "unknown section [" + entry.section + "]",
                          "use one of " + field_names(root));
    }
    const flatbuffers::StructDef& table = *section->value.type.struct_def;
    const flatbuffers::FieldDef* field = table.fields.Lookup(entry.key);
    if (field == nullptr) {
        return make_error(error_kind::invalid_settings, "unknown key", "use one of " + field_names(table));
    }
    if (!out.seen_keys.insert(entry.section + "." + entry.key).second) {
        return make_error(error_kind::invalid_settings, "key is given twice", "remove one of the two lines");
    }
    BOOST_OUTCOME_TRY(const std::string value, convert_value(*field, entry.value));
    std::string& members = out.members[entry.section];
    members += (members.empty() ? "" : ",") + json_quote(entry.key) + ":" + value;
    return success();
}

result<void> check_required(const flatbuffers::StructDef& root, const json_sections& sections,
                            const std::string& file)
{
    for (const flatbuffers::FieldDef* section : root.fields.vec) {
        const bool present = sections.members.contains(section->name);
        if (!present && section->IsRequired()) {
            return make_error(error_kind::invalid_settings,
                              file + ": section [" + section->name + "] is missing", "add the section");
        }
        for (const flatbuffers::FieldDef* field : section->value.type.struct_def->fields.vec) {
            if (present && field->IsRequired() &&
                !sections.seen_keys.contains(section->name + "." + field->name)) {
                return make_error(error_kind::invalid_settings,
                                  file + ": [" + section->name + "] " + field->name + " is missing",
                                  "add the key: " + attribute(*field, "doc"));
            }
        }
    }
    return success();
}

} // namespace

result<std::unique_ptr<settings_root>> parse_settings(std::string_view text, const std::string& file)
{
    flatbuffers::Parser parser;
    if (!parser.Parse(settings_schema_text)) {
        return make_error(error_kind::internal, "settings schema: " + parser.error_);
    }
    const flatbuffers::StructDef& root = *parser.root_struct_def_;
    const ini_document document = parse_ini(text);
    if (document.error_line != 0) {
        return make_error(error_kind::invalid_settings,
                          file + ":" + std::to_string(document.error_line) + ": not a valid INI line",
                          "write [section] or key = value");
    }
    json_sections sections;
    for (const ini_entry& entry : document.entries) {
        result<void> added = add_entry(root, entry, sections);
        if (!added) {
            return with_location(file, entry.line, entry.key, added.error());
        }
    }
    BOOST_OUTCOME_TRY(check_required(root, sections, file));
    std::string json;
    for (const auto& [section, members] : sections.members) {
        json += (json.empty() ? "" : ",") + json_quote(section) + ":{" + members + "}";
    }
    json = "{" + json + "}";
    if (!parser.ParseJson(json.c_str())) {
        return make_error(error_kind::invalid_settings, file + ": " + parser.error_);
    }
    auto settings = std::make_unique<settings_root>();
    flatbuffers::GetRoot<settings::root>(parser.builder_.GetBufferPointer())->UnPackTo(settings.get());
    return settings;
}

result<std::unique_ptr<settings_root>> load_settings(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream) {
        return make_error(error_kind::invalid_settings, file + ": cannot be read",
                          "check the path and its permissions");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_settings(text.str(), file);
}

std::string describe_settings(const std::string& section)
{
    flatbuffers::Parser parser;
    const bool parsed = parser.Parse(settings_schema_text);
    const flatbuffers::FieldDef* found = parsed ? parser.root_struct_def_->fields.Lookup(section) : nullptr;
    std::string text;
    if (found == nullptr) {
        return text;
    }
    for (const flatbuffers::FieldDef* field : found->value.type.struct_def->fields.vec) {
        const std::string unit = attribute(*field, "unit");
        const std::string minimum = attribute(*field, "min");
        const bool is_text = flatbuffers::IsString(field->value.type);
        text += "  " + field->name + ": " + attribute(*field, "doc");
        text +=
            field->IsRequired() ? " (required" : " (default " + (is_text ? "empty" : field->value.constant);
        text += minimum.empty() ? "" : ", " + minimum + " to " + attribute(*field, "max");
        text += (unit.empty() ? "" : " " + unit) + ")\n";
    }
    return text;
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> items;
    std::istringstream stream{std::string(text)};
    std::string item;
    while (std::getline(stream, item, ',')) {
        const auto first = item.find_first_not_of(" \t");
        if (first != std::string::npos) {
            items.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
        }
    }
    return items;
}

result<host_port> parse_host_port(std::string_view text)
{
    const auto colon = text.rfind(':');
    const error invalid = make_error(error_kind::invalid_settings,
                                     "'" + std::string(text) + "' is not an address", "write IP:port");
    if (colon == std::string_view::npos || colon == 0) {
        return invalid;
    }
    std::string_view host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return invalid;
    }
    return host_port{std::string(host), port};
}

result<std::vector<host_port>> parse_host_ports(std::string_view text)
{
    std::vector<host_port> addresses;
    for (const std::string& item : split_list(text)) {
        BOOST_OUTCOME_TRY(host_port address, parse_host_port(item));
        addresses.push_back(std::move(address));
    }
    return addresses;
}

} // namespace verbena
