#include "route/table.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

route::route_rule make_route(const std::string& name, const std::string& prefix)
{
    route::route_rule rule;
    rule.name = name;
    rule.host = "shop.example";
    rule.path_prefix = prefix;
    rule.timeout = 1s;
    rule.shares = {{"desk", 1}};
    return rule;
}

route::document make_document()
{
    route::document value;
    value.version = 1;
    value.services.resize(2);
    value.services[0].name = "desk";
    value.services[1].name = "model";
    value.routes = {make_route("all", "/"), make_route("orders", "/orders/"),
                    make_route("urgent", "/orders/urgent/")};
    value.teams.resize(1);
    value.teams[0].name = "clerks";
    value.teams[0].keys = {"k1", "k2"};
    return value;
}

std::string refusal(route::document value)
{
    const auto made = route::table::create(std::move(value));
    return made ? std::string() : made.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// Guards the choice of the longest prefix, which ends at a slash of the path.
BOOST_AUTO_TEST_CASE(finds_the_longest_prefix)
{
    const auto table = route::table::create(make_document());
    BOOST_TEST_REQUIRE(table.has_value());
    const auto name = [&](const char* host, const char* path) {
        const route::route_rule* found = table.value()->find_route(host, path);
        return found == nullptr ? std::string("none") : found->name;
    };
    BOOST_TEST(name("shop.example", "/orders/urgent/1") == "urgent");
    BOOST_TEST(name("shop.example", "/orders/1?next=/orders/urgent/") == "orders");
    BOOST_TEST(name("SHOP.example:8080", "/orders") == "all");
    BOOST_TEST(name("shop.example", "/ordersurgent/") == "all");
    BOOST_TEST(name("other.example", "/orders/1") == "none");
    BOOST_TEST(name("shop.example", "no-slash") == "none");
}

// Guards each reason for which a document is refused, and that the error names the object.
BOOST_AUTO_TEST_CASE(refuses_documents_that_cannot_be_obeyed)
{
    route::document unknown = make_document();
    unknown.routes[1].shares = {{"other", 1}};
    BOOST_TEST(refusal(unknown) == "route 'orders' names the unknown service 'other'");
    route::document weightless = make_document();
    weightless.routes[1].shares = {{"desk", 0}, {"model", 0}};
    BOOST_TEST(refusal(weightless) == "route 'orders' has weights that add up to 0");
    route::document twice = make_document();
    twice.routes[2].path_prefix = "/orders/";
    BOOST_TEST(refusal(twice) == "route 'urgent' has the host and prefix of route 'orders'");
    route::document timeless = make_document();
    timeless.routes[0].timeout = 0ms;
    BOOST_TEST(refusal(timeless) == "route 'all' has a time-out of 0");
    route::document shared = make_document();
    shared.teams.push_back({"buyers", {"k2"}, {}});
    BOOST_TEST(refusal(shared) == "teams 'buyers' and 'clerks' share a key");
}

// Guards the shares of a split route: every draw falls on a service with a weight.
BOOST_AUTO_TEST_CASE(splits_by_weight)
{
    route::route_rule rule = make_route("split", "/split/");
    rule.shares = {{"desk", 90}, {"none", 0}, {"model", 10}};
    std::size_t desk = 0;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
        const std::string& service = route::table::choose_service(rule, draw);
        BOOST_TEST_REQUIRE(service != "none");
        desk += service == "desk" ? 1 : 0;
    }
    BOOST_TEST(desk == 900U);
}

BOOST_AUTO_TEST_CASE(finds_teams_by_key)
{
    const auto table = route::table::create(make_document());
    BOOST_TEST_REQUIRE(table.has_value());
    BOOST_TEST(table.value()->find_team("k2")->name == "clerks");
    BOOST_TEST(table.value()->find_team("k3") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
