#include "platform/names.h"
#include "platform/request_limit.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace verbena;

namespace {

platform::request_limit_header read(const std::vector<std::string>& values)
{
    net::http_fields fields;
    for (const std::string& value : values) {
        fields.insert(std::string(platform::names::request_limit), value);
    }
    return platform::read_request_limit(fields);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_request_limit_header)

BOOST_AUTO_TEST_CASE(reads_decimal_numbers)
{
    BOOST_TEST(!read({}).rate.has_value());
    BOOST_TEST(read({}).unreadable.empty());
    BOOST_TEST(read({"2.1"}).rate.value() == 2.1);
    BOOST_TEST(read({"50"}).rate.value() == 50);
    BOOST_TEST(read({" 1.5e1\t"}).rate.value() == 15);
    BOOST_TEST(read({"0"}).rate.value() == 0);
    BOOST_TEST(read({"1e308"}).rate.value() == 1e6);
}

BOOST_AUTO_TEST_CASE(values_that_cannot_be_read_are_no_limit)
{
    for (const std::string text :
         {"", "nan", "inf", "-inf", "-1", "-0", "1e999", "2.1x", "0x10", "two", "2,1x", "1 2", "+2"}) {
        const auto found = read({text});
        BOOST_TEST_CONTEXT("value " << text)
        {
            BOOST_TEST(!found.unreadable.empty());
            BOOST_TEST((!found.rate || text == "2,1x"));
        }
    }
    BOOST_TEST(read({"two"}).unreadable == "two");
    BOOST_TEST(read({""}).unreadable == "(empty)");
}

BOOST_AUTO_TEST_CASE(lowest_of_several_values_counts)
{
    BOOST_TEST(read({"3", "2.5"}).rate.value() == 2.5);
    BOOST_TEST(read({"2.5, 4"}).rate.value() == 2.5);
    BOOST_TEST(read({"nan", "4"}).rate.value() == 4);
    BOOST_TEST(read({"4", "nan"}).unreadable == "nan");
}

BOOST_AUTO_TEST_SUITE_END()
