#include "base/settings.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

const std::string valid_text = "[node]\n"
                               "name = entry-1\n"
                               "cluster = demo\n"
                               "workers = 4\n"
                               "\n"
                               "[entry]\n"
                               "listen = 127.0.0.1:8080\n"
                               "default_deadline = 30s\n"
                               "stream_buffer = 64KiB\n";

std::string message_of(const std::string& text)
{
    const auto parsed = parse_settings(text, "a.ini");
    return parsed ? std::string("accepted") : describe(parsed.error());
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(units_and_defaults_follow_the_schema)
{
    const auto parsed = parse_settings(valid_text, "a.ini");
    BOOST_TEST_REQUIRE(parsed.has_value());
    const auto& root = *parsed.value();
    BOOST_TEST(root.node->name == "entry-1");
    BOOST_TEST(root.node->workers == 4U);
    BOOST_TEST(root.entry->default_deadline == 30'000U);
    BOOST_TEST(root.entry->stream_buffer == 65'536U);
    BOOST_TEST(root.entry->reader_timeout == 30'000U);
    BOOST_TEST(!root.agent);
}

// Guards against a process that starts with a misspelt key or an invalid value.
BOOST_AUTO_TEST_CASE(errors_name_file_line_key_and_remedy)
{
    const std::string unknown = message_of(valid_text + "lisen = 1\n");
    BOOST_TEST(contains(unknown, "a.ini:10: lisen: unknown key"), unknown);
    BOOST_TEST(contains(unknown, "use one of listen"), unknown);
    const std::string unit = message_of(valid_text + "body_timeout = 5MiB\n");
    BOOST_TEST(contains(unit, "a.ini:10: body_timeout"), unit);
    const std::string range = message_of(valid_text + "body_timeout = 2h\n");
    BOOST_TEST(contains(range, "out of range; use 100 to 600000 ms"), range);
    const std::string twice = message_of(valid_text + "listen = 127.0.0.1:1\n");
    BOOST_TEST(contains(twice, "given twice"), twice);
    const std::string section = message_of(valid_text + "[entri]\na = 1\n");
    BOOST_TEST(contains(section, "unknown section [entri]"), section);
    const std::string missing = message_of("[node]\nname = a\n");
    BOOST_TEST(contains(missing, "[node] cluster is missing"), missing);
}

// Guards against a crash on a settings file that is not valid UTF-8.
BOOST_AUTO_TEST_CASE(invalid_utf8_is_reported_with_its_line)
{
    const std::string message = message_of("[node]\nname = \xfa\xff\xff\xff\n");
    BOOST_TEST(contains(message, "a.ini:2: not a valid INI line"), message);
}

BOOST_AUTO_TEST_CASE(addresses_are_parsed_and_validated)
{
    BOOST_TEST(parse_host_port("127.0.0.1:80").value().port == 80);
    BOOST_TEST(parse_host_port("[::1]:80").value().host == "::1");
    BOOST_TEST(!parse_host_port("127.0.0.1").has_value());
    BOOST_TEST(!parse_host_port("127.0.0.1:99999").has_value());
    BOOST_TEST(parse_host_ports("127.0.0.1:1, 127.0.0.1:2").value().size() == 2U);
}

// Guards against missing help for a role; the help is generated from the schema.
BOOST_AUTO_TEST_CASE(describes_each_section)
{
    for (const char* section : {"node", "entry", "agent", "control", "log"}) {
        BOOST_TEST(!describe_settings(section).empty());
    }
    const std::string node = describe_settings("node");
    BOOST_TEST(node.find("  name: unique process name") != std::string::npos);
    BOOST_TEST(node.find("(default 2000, 0 to 60000 ms)") != std::string::npos);
    BOOST_TEST(describe_settings("nothing").empty());
}

BOOST_AUTO_TEST_SUITE_END()
