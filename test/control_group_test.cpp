#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const std::string publish_call(platform::names::publish);
const std::string read_call(platform::names::read_published);

// Publishes `content` until it is accepted.
bool publish(platform_deployment& system, const std::string& content)
{
    return eventually([&] { return system.control("POST", publish_call, content).status == 200; });
}

bool reads_back(platform_deployment& system, const std::string& content, std::size_t index)
{
    return eventually([&] {
        const platform_deployment::answer read = system.control("GET", read_call, "", index);
        return read.status == 200 && read.body == content;
    });
}

// Value of `count` in the section of the control role of deploy/system.toml.
std::size_t deployed_members_per_domain()
{
    std::ifstream file(std::string(VERBENA_SOURCE_DIR) + "/deploy/system.toml");
    bool in_section = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("[")) {
            in_section = line == "[roles.control]";
        } else if (in_section && line.starts_with("count = ")) {
            return std::stoul(line.substr(std::string("count = ").size()));
        }
    }
    return 0;
}

// Failure domains, machines with a disk in each, and members that may be lost at once.
struct deployed_site {
    std::size_t domains;
    std::size_t disks;
    std::size_t tolerated_losses;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_group)

// Guards against a group that cannot elect a leader after as many disks are lost as the users allow.
BOOST_AUTO_TEST_CASE(the_deploy_file_starts_enough_voters_for_the_tolerated_losses)
{
    const std::size_t count = deployed_members_per_domain();
    for (const deployed_site& site : {deployed_site{3, 1, 1}, {3, 2, 2}, {4, 2, 2}, {5, 1, 2}}) {
        BOOST_TEST_CONTEXT(site.domains << " domains, " << site.disks << " disks each")
        {
            const std::size_t voters = site.domains * std::min(count, site.disks);
            BOOST_TEST(voters >= 2 * site.tolerated_losses + 1);
        }
    }
}

// Guards against the loss of a change that was acknowledged while the group was still growing.
BOOST_AUTO_TEST_CASE(acknowledges_no_change_before_it_has_enough_voters)
{
    platform_deployment system(2);
    const std::string first = platform_deployment::configuration(1);
    BOOST_TEST_REQUIRE(eventually([&] { return system.voters(0) == 3; }));
    const time_point end = clock::now() + 2s;
    while (clock::now() < end) {
        BOOST_TEST_REQUIRE(system.control("POST", publish_call, first).status == 503U);
        std::this_thread::sleep_for(100ms);
    }
    system.add_member();
    system.add_member();
    BOOST_TEST(publish(system, first));
    BOOST_TEST(system.voters(0) == 5U);
}

// Guards against a group that refuses changes for ever because some of its members never come.
BOOST_AUTO_TEST_CASE(accepts_changes_when_members_are_missing_for_long)
{
    platform_deployment system(2);
    const std::string first = platform_deployment::configuration(1);
    BOOST_TEST(publish(system, first));
    BOOST_TEST(reads_back(system, first, 0));
}

// Guards against an acknowledged change that cannot be read after two of five disks are lost together with
// the power of all members.
BOOST_AUTO_TEST_CASE(recovers_from_two_lost_disks_and_a_loss_of_power)
{
    platform_deployment system(2);
    system.add_member();
    system.add_member();
    system.start_serving();
    const std::string second = platform_deployment::configuration(2);
    BOOST_TEST_REQUIRE(eventually([&] { return system.voters(0) == 5; }));
    BOOST_TEST(publish(system, second));
    system.restart_members([] {}, {0, 1});
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(reads_back(system, second, i));
    }
    BOOST_TEST(eventually([&] { return system.voters(2) == 5; }));
    BOOST_TEST(eventually([&] { return system.request({}).status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
