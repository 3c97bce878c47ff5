#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

BOOST_AUTO_TEST_SUITE(platform_malformed_check_in)

// Guards against malformed check-ins that change what is known of an endpoint.
BOOST_AUTO_TEST_CASE(ignores_malformed_check_ins)
{
    platform_deployment system;
    system.start_serving();
    const std::string path = std::string(platform::names::check_in) + "model-a";
    for (const char* body :
         {"", "{", "[]", R"({"state":"ready"})",
          R"({"backend":"model","addr":"nowhere","zone":"domain-a","slots":1,"state":"ready",
                                 "seq":99,"born":9999999999999})",
          R"({"backend":"model","addr":"127.0.0.1:1","zone":"domain-a","slots":1,
                                 "state":"dancing","seq":99,"born":9999999999999})"}) {
        const auto answer = system.control("POST", path, body);
        BOOST_TEST(answer.status == 400U, body << ": " << answer.status << ' ' << answer.failure);
    }
    BOOST_TEST(system.request({}).status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
