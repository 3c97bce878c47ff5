#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

// Version 1 of the configuration has one team, and version 2 an empty list of teams.
struct revoked_fixture {
    platform_deployment system;

    revoked_fixture()
    {
        system.start_serving();
        std::string document = platform_deployment::configuration(2);
        const std::size_t teams = document.find("\"tenants\":");
        document.replace(teams, std::string::npos, "\"tenants\":[]}");
        BOOST_TEST_REQUIRE(system.control("POST", std::string(platform::names::publish), document).status ==
                           200U);
    }

    unsigned status(const std::string& key, const std::string& path, std::size_t entry)
    {
        platform_deployment::call call;
        call.key = key;
        call.path = path;
        return system.request(call, entry).status;
    }

    void check_all_keys_refused(std::size_t entry)
    {
        for (const char* path : {"/model/1", "/once/1"}) {
            for (const char* key : {"key-clerks", "key-never-held", ""}) {
                BOOST_TEST(status(key, path, entry) == 401U);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_keys)

// Guards against a configuration that takes the last team away and thereby admits everybody.
BOOST_FIXTURE_TEST_CASE(without_the_last_team_no_key_is_valid, revoked_fixture)
{
    for (const std::size_t entry : {0U, 1U}) {
        BOOST_TEST_REQUIRE(eventually([&] { return status("key-clerks", "/model/1", entry) == 401; }));
        check_all_keys_refused(entry);
    }
}

// The same for processes that have read the configuration from a disk or from such members.
BOOST_FIXTURE_TEST_CASE(a_restart_keeps_the_empty_list_of_teams, revoked_fixture)
{
    system.restart_members();
    const std::size_t entry = system.add_entry();
    BOOST_TEST_REQUIRE(eventually([&] { return status("key-clerks", "/model/1", entry) != 503; }));
    check_all_keys_refused(entry);
    check_all_keys_refused(0);
}

BOOST_AUTO_TEST_SUITE_END()
