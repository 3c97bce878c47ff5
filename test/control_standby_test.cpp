#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const std::string publish_call(platform::names::publish);
const std::string read_call(platform::names::read_published);

// Publishes at one control process after each member in turn has lost its disk, so that the leader changes.
void publish_after_each_loss(platform_deployment& system, std::size_t process)
{
    for (const std::size_t lost : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
        system.lose_disk(lost);
        const std::string next = platform_deployment::configuration(2 + lost);
        BOOST_TEST(
            eventually([&] { return system.control("POST", publish_call, next, process).status == 200; }));
        BOOST_TEST(eventually([&] { return system.voters(lost) == 3; }));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_standby)

// Guards against a control process that ends, or that turns callers away, because its machine has no disk.
BOOST_AUTO_TEST_CASE(a_process_without_a_disk_redirects_callers_to_the_leader)
{
    platform_deployment system;
    const std::size_t standby = system.add_member(false);
    const std::string first = platform_deployment::configuration(1);
    BOOST_TEST(
        eventually([&] { return system.control("POST", publish_call, first, standby).status == 200; }));
    const platform_deployment::answer read = system.control("GET", read_call, "", standby);
    BOOST_TEST(read.status == 200U);
    BOOST_TEST(read.body == first);
    BOOST_TEST(eventually(
        [&] { return system.check_in("model-a", standby) && system.check_in("desk-a", standby); }));
    BOOST_TEST(eventually([&] { return system.request({}).status == 200; }));
    BOOST_TEST(system.voters(0) == 3U);
}

// Guards against redirects to a leader that is gone.
BOOST_AUTO_TEST_CASE(a_process_without_a_disk_follows_a_change_of_the_leader)
{
    platform_deployment system;
    const std::size_t standby = system.add_member(false);
    system.start_serving();
    publish_after_each_loss(system, standby);
}

// Guards against an entry that finds no member because its seeds name only processes without a disk.
BOOST_AUTO_TEST_CASE(an_entry_finds_the_members_through_a_process_without_a_disk)
{
    platform_deployment system;
    const std::size_t standby = system.add_member(false);
    system.start_serving();
    const std::size_t entry = system.add_entry(standby);
    BOOST_TEST(eventually([&] { return system.request({}, entry).status == 200; }));
}

// Guards against a group that nobody finds after all processes have restarted with seeds that name only
// processes without a disk.
BOOST_AUTO_TEST_CASE(all_processes_restart_with_seeds_that_have_no_disk)
{
    platform_deployment system;
    const std::size_t first = system.add_member(false);
    const std::size_t second = system.add_member(false);
    system.start_serving();
    system.set_seeds({first, second});
    std::size_t entry = 0;
    system.restart_members([&] { entry = system.add_entry(); });
    BOOST_TEST(eventually([&] { return system.request({}, entry).status == 200; }));
    const std::string next = platform_deployment::configuration(2);
    BOOST_TEST(eventually([&] { return system.control("POST", publish_call, next, second).status == 200; }));
}

// Guards against a process without a disk that forgets the members when the leader it knew is gone.
BOOST_AUTO_TEST_CASE(a_process_without_a_disk_finds_a_new_leader_through_the_other_members)
{
    platform_deployment system;
    const std::size_t first = system.add_member(false);
    system.set_seeds({first});
    const std::size_t second = system.add_member(false);
    system.start_serving();
    publish_after_each_loss(system, second);
}

BOOST_AUTO_TEST_SUITE_END()
