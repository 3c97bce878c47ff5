#include "control/directory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

wire::announcementT make_announcement(const std::string& name, incarnation process = 1)
{
    wire::announcementT item;
    item.endpoint = name;
    item.address = "127.0.0.1:7000";
    item.incarnation = process;
    item.failure_domain = "dc1";
    item.service = "chat";
    return item;
}

std::vector<std::string> names_of(const control::directory_delta& delta)
{
    std::vector<std::string> names;
    for (const wire::announcementT* item : delta.changed) {
        names.push_back(item->endpoint);
    }
    return names;
}

// A client of the directory that applies deltas as an entry does.
struct delta_client {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::set<std::string> held;

    void update(const control::directory& endpoints)
    {
        const auto delta = endpoints.delta(epoch, version);
        if (delta.whole) {
            held.clear();
        }
        for (const wire::announcementT* item : delta.changed) {
            held.insert(item->endpoint);
        }
        for (const std::string& name : delta.gone) {
            held.erase(name);
        }
        epoch = delta.epoch;
        version = delta.version;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_directory)

BOOST_AUTO_TEST_CASE(deltas_hold_only_changes)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement("a"), start);
    const auto first = endpoints.delta(0, 0);
    BOOST_TEST(first.whole);
    BOOST_TEST(first.epoch == 7U);
    BOOST_TEST(names_of(first) == std::vector<std::string>{"a"});
    endpoints.announce(make_announcement("a"), start + 500ms);
    const auto second = endpoints.delta(7, first.version);
    BOOST_TEST(!second.whole);
    BOOST_TEST(second.changed.empty());
    endpoints.announce(make_announcement("b"), start + 1s);
    auto cold = make_announcement("a");
    cold.cold = true;
    endpoints.announce(cold, start + 1s);
    BOOST_TEST(names_of(endpoints.delta(7, second.version)) == (std::vector<std::string>{"b", "a"}));
}

// Guards against sending requests to an endpoint that has failed.
BOOST_AUTO_TEST_CASE(endpoint_is_removed_when_its_lease_expires)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement("a"), start);
    endpoints.announce(make_announcement("b"), start);
    const auto before = endpoints.version();
    endpoints.announce(make_announcement("b"), start + 2s);
    endpoints.expire(start + 2'999ms);
    BOOST_TEST(endpoints.size() == 2U);
    endpoints.expire(start + 3s);
    const auto delta = endpoints.delta(7, before);
    BOOST_TEST(delta.gone == std::vector<std::string>{"a"});
    BOOST_TEST(delta.changed.empty());
    endpoints.announce(make_announcement("a"), start + 4s);
    const auto back = endpoints.delta(7, before);
    BOOST_TEST(back.gone.empty());
    BOOST_TEST(names_of(back) == std::vector<std::string>{"a"});
}

// Guards against applying a delta to a list from another member or from an earlier process.
BOOST_AUTO_TEST_CASE(unknown_epoch_or_version_gets_the_whole_list)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement("a"), start);
    BOOST_TEST(!endpoints.delta(7, endpoints.version()).whole);
    BOOST_TEST(endpoints.delta(8, endpoints.version()).whole);
    BOOST_TEST(endpoints.delta(7, endpoints.version() + 1).whole);
    BOOST_TEST(endpoints.delta(7, 0).whole);
}

// Guards against a late announcement from before a restart overwriting the current one.
BOOST_AUTO_TEST_CASE(late_announcement_of_a_replaced_process_is_ignored)
{
    control::directory endpoints(7);
    endpoints.announce(make_announcement("a", 1), start);
    BOOST_TEST(endpoints.announce(make_announcement("a", 2), start + 1s));
    BOOST_TEST(!endpoints.announce(make_announcement("a", 1), start + 1s));
    BOOST_TEST(endpoints.list(start + 1s).at(0).announcement->incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(endpoints_are_bounded)
{
    control::directory_limits limits;
    limits.endpoints = 1;
    control::directory endpoints(7, limits);
    BOOST_TEST(endpoints.announce(make_announcement("a"), start));
    BOOST_TEST(!endpoints.announce(make_announcement("b"), start));
    BOOST_TEST(!endpoints.announce(make_announcement(""), start));
    auto large = make_announcement("a");
    large.models.assign(1'000, "model");
    BOOST_TEST(!endpoints.announce(large, start));
    BOOST_TEST(endpoints.size() == 1U);
}

// Guards against odd entries that fill the list and keep an endpoint out that renews its lease.
BOOST_AUTO_TEST_CASE(entries_that_nobody_renews_make_room_for_others)
{
    control::directory_limits limits;
    limits.endpoints = 100;
    limits.removals = 50;
    control::directory endpoints(7, limits);
    delta_client client;
    BOOST_TEST(endpoints.announce(make_announcement("sound-0"), start));
    BOOST_TEST(endpoints.announce(make_announcement("sound-0"), start + 500ms));
    for (int i = 0; i < 1'000; ++i) {
        endpoints.announce(make_announcement("odd-" + std::to_string(i)), start + 600ms);
        BOOST_TEST(endpoints.size() <= limits.endpoints);
        client.update(endpoints);
    }
    BOOST_TEST(endpoints.announce(make_announcement("sound-1"), start + 2'700ms));
    for (int i = 0; i < 1'000; ++i) {
        endpoints.announce(make_announcement("last-" + std::to_string(i)), start + 2'800ms);
    }
    BOOST_TEST(endpoints.announce(make_announcement("sound-1"), start + 3'900ms));
    BOOST_TEST(endpoints.size() == limits.endpoints);
    BOOST_TEST(endpoints.find("sound-0") != nullptr);
    BOOST_TEST(endpoints.find("sound-1") != nullptr);
    BOOST_TEST(endpoints.find("odd-0") == nullptr);
    client.update(endpoints);
    BOOST_TEST(client.held.size() == endpoints.size());
    BOOST_TEST(client.held.count("sound-1") == 1U);
}

// Guards against an acknowledged check-in of an endpoint that a full list leaves out.
BOOST_AUTO_TEST_CASE(check_ins_that_a_full_list_leaves_out_are_refused)
{
    control::directory_limits limits;
    limits.endpoints = 1;
    control::directory endpoints(7, limits);
    BOOST_TEST(endpoints.check_in(make_announcement("a"), start).value());
    BOOST_TEST(endpoints.check_in(make_announcement("a"), start + 1s).value());
    const result<bool> refused = endpoints.check_in(make_announcement("b"), start + 1s);
    BOOST_TEST_REQUIRE(!refused);
    BOOST_TEST(!refused.error().remedy.empty());
    BOOST_TEST(endpoints.find("b") == nullptr);
    endpoints.expire(start + 5s);
    BOOST_TEST(endpoints.check_in(make_announcement("b"), start + 5s).value());
}

// Guards against a client that never receives a complete list when it spans several deltas, also while old
// removals are pruned, and against a client that keeps a removed endpoint.
BOOST_AUTO_TEST_CASE(clients_converge_under_churn_with_small_deltas)
{
    control::directory_limits limits;
    limits.delta_bytes = 1'000;
    limits.removals = 20;
    control::directory endpoints(7, limits);
    std::vector<delta_client> clients(5);
    time_point now = start;
    for (int round = 0; round < 400; ++round) {
        now += 100ms;
        for (int i = 0; i < 60; ++i) {
            const bool steady = i < 30;
            if (steady || (round / 40 + i) % 3 == 0) {
                endpoints.announce(make_announcement("endpoint-" + std::to_string(i)), now);
            }
        }
        endpoints.expire(now);
        clients[static_cast<std::size_t>(round) % clients.size()].update(endpoints);
    }
    std::set<std::string> expected;
    for (const auto& item : endpoints.list(now)) {
        expected.insert(item.announcement->endpoint);
    }
    for (delta_client& item : clients) {
        for (int i = 0; i < 30; ++i) {
            item.update(endpoints);
        }
        BOOST_TEST((item.held == expected));
    }
    BOOST_TEST(expected.size() >= 30U);
}

BOOST_AUTO_TEST_SUITE_END()
