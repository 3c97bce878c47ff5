#include "control/duty_settings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace verbena;

namespace {

// Message and remedy of the error about these lines of [control]; empty when they are valid.
std::string check(const std::string& lines)
{
    const std::string file =
        (std::filesystem::temp_directory_path() / ("verbena-duties-" + std::to_string(getpid()) + ".ini"))
            .string();
    std::ofstream(file) << "[node]\nname = c\ncluster = x\n[control]\nlisten = 127.0.0.1:1\n"
                           "operator_listen = 127.0.0.1:2\ndata = d\n"
                        << lines;
    const auto loaded = load_settings(file);
    BOOST_TEST_REQUIRE(loaded.has_value());
    const result<void> checked = control::check_duty_settings(*loaded.value()->control, file);
    std::filesystem::remove(file);
    return checked ? std::string() : checked.error().message + "; " + checked.error().remedy;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_duty_settings)

// Guards against a process that starts with duties that it can't do, without an error that names the line.
BOOST_AUTO_TEST_CASE(invalid_duties_are_refused_with_their_line)
{
    BOOST_TEST(check("") == "");
    BOOST_TEST(check("infrastructure = 10.0.0.1:80\nduties = metering, autoscale\n") == "");
    BOOST_TEST(check("infrastructure = 10.0.0.1:80\n") == "");
    const std::string unknown = check("infrastructure = 10.0.0.1:80\nduties = metering,billing\n");
    BOOST_TEST(contains(unknown, ".ini:9: duties: 'billing' is not a duty; write metering or autoscale"));
    BOOST_TEST(contains(check("infrastructure = 10.0.0.1:80\nduties = metering,metering\n"), "given twice"));
    BOOST_TEST(contains(check("duties = metering\n"), ".ini:8: duties: duties need the address"));
    BOOST_TEST(contains(check("infrastructure = cloud:80\n"), ".ini:8: infrastructure: 'cloud:80' is not"));
    BOOST_TEST(contains(check("infrastructure = 10.0.0.1\n"), "write IP:port"));
    BOOST_TEST(contains(check("infrastructure = 10.0.0.1:80\nduties = metering\nduty_lease = 500ms\n"),
                        ":10: duty_lease"));
}

BOOST_AUTO_TEST_SUITE_END()
