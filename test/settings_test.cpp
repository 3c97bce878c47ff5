#include "base/settings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <map>

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

// Guards against a deployment that does not start: the templates in deploy/ fill these keys from fields that
// may be 0, a fraction or large.
BOOST_AUTO_TEST_CASE(values_that_a_template_may_fill_in_are_accepted)
{
    for (const char* value : {"0", "1", "4", "2.0"}) {
        BOOST_TEST(message_of(std::string("[node]\nname = a\ncluster = b\ncontrol =\n[control]\nlisten = h\n"
                                          "operator_listen = h\ndata =\ntolerated_losses = ") +
                              value + "\n") == "accepted",
                   value);
    }
    for (const std::string key : {"retry_slack = 0", "retry_slack = 0.5", "retry_slack = 2000000",
                                  "retry_window = 0.5s", "retry_window = 600s", "stall = 0ms",
                                  "stall = 120000ms", "grace = 0s", "grace = 0.25s", "grace = 1200s"}) {
        BOOST_TEST(message_of(valid_text + key + "\n") == "accepted", key);
    }
}

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

// The users' platform fills templates with fractions and exponents; a process that cannot read them does not
// start.
BOOST_AUTO_TEST_CASE(numbers_may_have_a_fraction_or_an_exponent)
{
    const auto parsed =
        parse_settings(valid_text + "retry_slack = 42.42\n"
                                    "retry_window = 1e1s\n"
                                    "stall = 1.5s\n"
                                    "[control]\nlisten = a:1\noperator_listen = a:2\ndata = d\n"
                                    "[agent]\nlisten = a:1\nendpoint = e\nengine = a:2\n"
                                    "service = s\n",
                       "a.ini");
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value()->entry->retry_slack == 42U);
    BOOST_TEST(parsed.value()->entry->retry_window == 10'000U);
    BOOST_TEST(parsed.value()->entry->stall == 1'500U);
    for (const char* share : {"0.29", "0.290", "2.9e-1"}) {
        const std::string text =
            "[node]\nname = e\ncluster = c\nprocessor_share = " + std::string(share) + "\n";
        const auto node = parse_settings(text, "a.ini");
        BOOST_TEST_REQUIRE(node.has_value());
        BOOST_TEST(node.value()->node->processor_share == 290U);
    }
    for (const char* invalid : {"-1", "nan", "inf", "1.5.2", "1e999", "42.4ms", "0x10", ""}) {
        BOOST_TEST(contains(message_of(valid_text + "retry_slack = " + invalid + "\n"), "a.ini:10"), invalid);
    }
    BOOST_TEST(contains(message_of(valid_text + "body_timeout = 0.01ms\n"), "out of range"));
}

// Guards against a template of the deployment that does not give valid settings, whatever form its numbers
// take.
BOOST_AUTO_TEST_CASE(deployment_templates_give_valid_settings)
{
    const std::map<std::string, std::string> values{{"retry_slack", "42.42"},
                                                    {"retry_window_s", "1e1"},
                                                    {"stall_ms", "1500.0"},
                                                    {"grace_s", "8.0"},
                                                    {"cpu_share", "0.09"},
                                                    {"bootstrap", "true"},
                                                    {"machines", "2"},
                                                    {"max_fds", "4100"},
                                                    {"port_range.0", "7340"},
                                                    {"port_range.1", "7355"},
                                                    {"memory_mb", "159.5"},
                                                    {"lease_ms", "3000.0"},
                                                    {"thaw_ms", "300"},
                                                    {"usage_window_s", "5"},
                                                    {"usage_late_s", "1e1"},
                                                    {"duty_per_s", "50.0"},
                                                    {"duties", "metering,autoscale"},
                                                    {"cloud.addr", "10.0.0.1:80"}};
    for (const char* role : {"entry", "control"}) {
        std::ifstream file(std::string(VERBENA_SOURCE_DIR) + "/deploy/" + role + ".ini");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        BOOST_TEST_REQUIRE(!text.empty());
        for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
            const auto end = text.find("}}", begin);
            const std::string field = text.substr(begin + 2, end - begin - 2);
            if (field.starts_with('#') || field.starts_with('/')) {
                text.erase(begin, end + 2 - begin); // a section of a field that has a value
                continue;
            }
            std::string value = field.starts_with("listen.") || field == "seeds" ? "10.0.0.1:80" : "10.0.0.1";
            for (const auto& [suffix, known] : values) {
                value = field.ends_with(suffix) ? known : value;
            }
            text.replace(begin, end + 2 - begin, value);
        }
        BOOST_TEST(message_of(text) == "accepted", message_of(text));
    }
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
