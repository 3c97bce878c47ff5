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
    value.teams.emplace(1);
    value.teams->at(0).name = "clerks";
    value.teams->at(0).keys = {"k1", "k2"};
    return value;
}

std::string error_message(route::document value)
{
    const auto created = route::table::create(std::move(value));
    return created ? std::string() : created.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// The longest matching prefix wins, and a prefix matches only up to a slash of the path.
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

// Each of these inconsistencies is rejected with an error that names the object.
BOOST_AUTO_TEST_CASE(rejects_inconsistent_documents)
{
    route::document unknown_service = make_document();
    unknown_service.routes[1].shares = {{"other", 1}};
    BOOST_TEST(error_message(unknown_service) == "route 'orders' refers to the unknown service 'other'");
    route::document zero_weights = make_document();
    zero_weights.routes[1].shares = {{"desk", 0}, {"model", 0}};
    BOOST_TEST(error_message(zero_weights) == "route 'orders' has weights that add up to 0");
    route::document duplicate_prefix = make_document();
    duplicate_prefix.routes[2].path_prefix = "/orders/";
    BOOST_TEST(error_message(duplicate_prefix) ==
               "route 'urgent' has the same host and prefix as route 'orders'");
    route::document zero_timeout = make_document();
    zero_timeout.routes[0].timeout = 0ms;
    BOOST_TEST(error_message(zero_timeout) == "route 'all' has a timeout of 0");
    route::document shared_key = make_document();
    shared_key.teams->push_back({"buyers", {"k2"}, {}});
    BOOST_TEST(error_message(shared_key) == "teams 'buyers' and 'clerks' share a key");
}

// Requests of a split route are distributed by weight, and a service with weight 0 gets none.
BOOST_AUTO_TEST_CASE(splits_by_weight)
{
    route::route_rule rule = make_route("split", "/split/");
    rule.shares = {{"desk", 90}, {"none", 0}, {"model", 10}};
    std::size_t desk = 0;
    for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
        const std::string& service = route::table::choose_service(rule, hash);
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
