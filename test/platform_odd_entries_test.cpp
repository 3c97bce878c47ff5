#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

std::uint64_t unix_ms(milliseconds offset = {})
{
    const auto now = std::chrono::floor<milliseconds>(std::chrono::system_clock::now()) + offset;
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

struct odd_entries_fixture {
    platform_deployment system;

    odd_entries_fixture() { system.start_serving(); }

    static boost::json::object make_entry(const std::string& service, const std::string& address)
    {
        return {{"backend", service}, {"addr", address}, {"zone", "domain-a"},
                {"version", "v1"},    {"slots", 16},     {"state", "ready"},
                {"cold_left_ms", 0},  {"seq", 1},        {"born", unix_ms()}};
    }

    // Sends an entry to all control members and returns the highest status.
    unsigned send(const std::string& id, const std::string& body)
    {
        unsigned highest = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string path = std::string(platform::names::check_in) + id;
            highest = std::max(highest, system.control("POST", path, body, i).status);
        }
        return highest;
    }

    // The address under which a runner has checked in.
    std::string address_of(const std::string& id)
    {
        const auto listed = system.control("POST", "/operator/v1/endpoints", "{}", 1);
        const boost::json::value parsed = boost::json::parse(listed.body);
        for (const auto& item : parsed.at("items").as_array()) {
            if (item.at("name").as_string() == id) {
                return std::string(item.at("address").as_string());
            }
        }
        return {};
    }

    // Sends requests for some seconds, in which the runners check in every second. Returns how many were not
    // answered with 200.
    std::size_t unserved_requests(milliseconds time)
    {
        std::size_t sent = 0;
        std::size_t unserved = 0;
        const time_point end = clock::now() + time;
        time_point next_check_in{};
        for (std::size_t i = 0; clock::now() < end; ++i) {
            if (clock::now() >= next_check_in) {
                next_check_in = clock::now() + 1s;
                system.check_in_all();
            }
            for (const char* path : {"/model/1", "/safe/1", "/once/1"}) {
                platform_deployment::call call;
                call.path = path;
                ++sent;
                unserved += system.request(call, i % 2).status == 200 ? 0 : 1;
            }
            std::this_thread::sleep_for(20ms);
        }
        BOOST_TEST_MESSAGE("requests: " << sent << ", unserved: " << unserved);
        return unserved;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_odd_entries)

// Guards against refusals while sound runners are idle, because entries that name no runner are in the list.
BOOST_FIXTURE_TEST_CASE(entries_that_name_no_runner_are_rejected_and_change_nothing, odd_entries_fixture)
{
    const std::string sound = address_of("desk-a");
    BOOST_TEST_REQUIRE(!sound.empty());
    BOOST_TEST(unserved_requests(500ms) == 0U);
    auto entry = make_entry("desk", "not-an-ip:80");
    BOOST_TEST(send("odd-host", boost::json::serialize(entry)) == 400U);
    entry = make_entry("desk", "127.0.0.1:0");
    BOOST_TEST(send("odd-port", boost::json::serialize(entry)) == 400U);
    entry = make_entry("model", "0.0.0.0:80");
    BOOST_TEST(send("odd-any", boost::json::serialize(entry)) == 400U);
    entry = make_entry("", sound);
    BOOST_TEST(send("odd-service", boost::json::serialize(entry)) == 400U);
    entry = make_entry("desk", sound);
    entry["zone"] = std::string(70'000, 'z');
    BOOST_TEST(send("odd-zone", boost::json::serialize(entry)) == 400U);
    entry = make_entry("desk", sound);
    entry["born"] = UINT64_MAX;
    entry["seq"] = UINT64_MAX;
    BOOST_TEST(send("desk-b", boost::json::serialize(entry)) == 400U);
    BOOST_TEST(send("odd-born", boost::json::serialize(entry)) == 400U);
    BOOST_TEST(send("odd-depth", std::string(10'000, '[') + std::string(10'000, ']')) == 400U);
    BOOST_TEST(send("odd-number", R"({"backend":"desk","addr":"127.0.0.1:80","seq":1e999})") == 400U);
    const std::string leave = std::string(platform::names::leave) + "model-a";
    BOOST_TEST(system.control("POST", leave, R"({"born":18446744073709551615})", 1).status == 400U);
    BOOST_TEST(unserved_requests(4s) == 0U);
}

// Guards against refusals after an entry of a service that no configuration names has taken the id or the
// address of a runner.
BOOST_FIXTURE_TEST_CASE(entries_of_unnamed_services_displace_no_runner, odd_entries_fixture)
{
    for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
        auto entry = make_entry("nowhere", address_of(id));
        BOOST_TEST(send(std::string("odd-") + id, boost::json::serialize(entry)) == 200U);
        entry["born"] = unix_ms(2s);
        entry["addr"] = "127.0.0.1:9";
        BOOST_TEST(send(id, boost::json::serialize(entry)) == 200U);
    }
    BOOST_TEST(unserved_requests(4s) == 0U);
}

// Guards against a list that leaves out runners for good after odd entries in it have expired.
BOOST_FIXTURE_TEST_CASE(runners_are_used_again_after_a_later_entry_at_their_address_has_expired,
                        odd_entries_fixture)
{
    for (const char* id : {"model-a", "model-b"}) {
        const auto entry = make_entry("desk", address_of(id));
        BOOST_TEST(send(std::string("odd-") + id, boost::json::serialize(entry)) == 200U);
    }
    // The lease of the entries and the time in which unlisted endpoints are kept.
    const time_point end = clock::now() + 15s;
    while (clock::now() < end) {
        system.check_in_all();
        std::this_thread::sleep_for(1s);
    }
    BOOST_TEST(unserved_requests(1s) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
