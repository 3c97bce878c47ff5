#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const std::string publish_call(platform::names::publish);
const std::string read_call(platform::names::read_published);

bool publish(platform_deployment& system, std::uint64_t version, std::size_t index)
{
    const std::string content = platform_deployment::configuration(version);
    return eventually([&] { return system.control("POST", publish_call, content, index).status == 200; });
}

bool reads_back(platform_deployment& system, std::uint64_t version, std::size_t index)
{
    return eventually([&] {
        const platform_deployment::answer read = system.control("GET", read_call, "", index);
        return read.status == 200 && read.body == platform_deployment::configuration(version);
    });
}

// Replaces a member by a new one; at the moment at which it stops, other members lose their disks.
void replace_and_lose_disks(std::uint32_t tolerated_losses)
{
    platform_deployment system(tolerated_losses);
    while (system.member_count() < 2 * tolerated_losses + 1) {
        system.add_member();
    }
    system.start_serving();
    const std::size_t successor = system.add_member();
    BOOST_TEST_REQUIRE(eventually([&] { return system.voters(1) == 2 * tolerated_losses + 2; }));
    BOOST_TEST_REQUIRE(publish(system, 2, 1));
    system.lose_members({0}, tolerated_losses == 1 ? std::set<std::size_t>{1} : std::set<std::size_t>{1, 2});
    BOOST_TEST(reads_back(system, 2, successor));
    BOOST_TEST(publish(system, 3, 1));
    BOOST_TEST(eventually([&] { return system.voters(successor) == 2 * tolerated_losses + 1; }));
    BOOST_TEST(reads_back(system, 3, 1));
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_replacement)

// Guards against a group that never has a leader again because a disk is lost while a replaced member, which
// has stopped, still counts as a voter.
BOOST_AUTO_TEST_CASE(a_disk_is_lost_as_a_replaced_member_stops)
{
    replace_and_lose_disks(1);
}

// Guards against the same where two losses are tolerated.
BOOST_AUTO_TEST_CASE(two_disks_are_lost_as_a_replaced_member_stops)
{
    replace_and_lose_disks(2);
}

BOOST_AUTO_TEST_SUITE_END()
