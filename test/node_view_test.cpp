#include "node/config_view.h"
#include "node/directory_view.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

const time_point start{std::chrono::hours(1)};

std::vector<std::uint8_t> pack(revision number)
{
    op::configT config;
    config.revision = number;
    auto domain = std::make_unique<op::failure_domainT>();
    domain->name = "a";
    domain->state = number % 2 == 0 ? op::admin_state::out : op::admin_state::in;
    config.failure_domains.push_back(std::move(domain));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(op::config::Pack(builder, &config));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

wire::poll_replyT directory_reply(std::uint64_t version, bool whole, const std::vector<std::string>& names)
{
    wire::poll_replyT reply;
    reply.directory_epoch = 1;
    reply.directory_version = version;
    reply.directory_whole = whole;
    for (const std::string& name : names) {
        auto value = std::make_unique<wire::announcementT>();
        value->endpoint = name;
        value->address = "127.0.0.1:7000";
        value->service = "chat";
        reply.changed.push_back(std::move(value));
    }
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_view)

// Guards against accepting work under an outdated configuration in a process that was partitioned or
// suspended.
BOOST_AUTO_TEST_CASE(freshness_expires_without_a_new_confirmation)
{
    node::config_view view;
    BOOST_TEST(!view.is_fresh(start), "a process that has just started has no confirmation");
    BOOST_TEST(view.update(pack(1)));
    BOOST_TEST(!view.is_fresh(start));
    view.confirm(1, start);
    BOOST_TEST(view.is_fresh(start + milliseconds(2'499)));
    BOOST_TEST(!view.is_fresh(start + milliseconds(2'500)));
}

// Guards against replacing the configuration by an older one, and against confirming a revision that is not
// held.
BOOST_AUTO_TEST_CASE(revisions_only_increase_and_only_the_held_one_is_confirmed)
{
    node::config_view view;
    BOOST_TEST(view.update(pack(4)));
    BOOST_TEST(view.update(pack(3)));
    BOOST_TEST(view.held_revision() == 4U);
    BOOST_TEST((view.current()->domain_state("a") == op::admin_state::out));
    view.confirm(3, start);
    BOOST_TEST(!view.is_fresh(start));
    view.confirm(5, start);
    BOOST_TEST(!view.is_fresh(start), "a newer revision exists that is not held");
    view.confirm(4, start);
    BOOST_TEST(view.is_fresh(start));
    BOOST_TEST(view.update(pack(5)));
    BOOST_TEST(!view.is_fresh(start), "the new revision is not confirmed yet");
}

// Guards against a delayed reply that replaces a newer confirmation by an older one.
BOOST_AUTO_TEST_CASE(older_confirmation_is_ignored)
{
    node::config_view view;
    BOOST_TEST(view.update(pack(1)));
    view.confirm(1, start);
    view.confirm(1, start - milliseconds(2'000));
    BOOST_TEST((view.age(start) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(invalid_configuration_bytes_are_rejected)
{
    node::config_view view;
    const std::vector<std::uint8_t> invalid_bytes(64, 0xFF);
    BOOST_TEST(!view.update(invalid_bytes));
    BOOST_TEST(!view.current());
}

// Guards against an entry that reports ready before it has received a list of endpoints.
BOOST_AUTO_TEST_CASE(directory_is_loaded_after_the_first_complete_list)
{
    node::directory_view view([](const std::string&, const wire::announcementT*) {});
    BOOST_TEST(!view.loaded());
    const wire::poll_replyT empty_reply;
    view.apply("m1", empty_reply);
    BOOST_TEST(!view.loaded(), "a reply without a complete list does not load the directory");
    view.apply("m1", directory_reply(1, true, {}));
    BOOST_TEST(view.loaded());
}

// Guards against one member that receives no announcements from agents and so empties the view.
BOOST_AUTO_TEST_CASE(endpoint_is_kept_while_any_member_lists_it)
{
    std::vector<std::string> gone;
    node::directory_view view([&gone](const std::string& name, const wire::announcementT* value) {
        if (value == nullptr) {
            gone.push_back(name);
        }
    });
    view.apply("m1", directory_reply(1, true, {"a", "b"}));
    view.apply("m2", directory_reply(1, true, {"a"}));
    BOOST_TEST(view.size() == 2U);
    wire::poll_replyT removal = directory_reply(2, false, {});
    removal.gone = {"a", "b"};
    view.apply("m1", removal);
    BOOST_TEST(view.size() == 1U);
    BOOST_TEST_REQUIRE(gone.size() == 1U);
    BOOST_TEST(gone.front() == "b");
    view.remove_member_list("m2");
    BOOST_TEST(view.size() == 0U);
}

// Guards against an entry that uses what an older member still lists although it can't come from an endpoint,
// and that no longer learns what the other members list under the same name.
BOOST_AUTO_TEST_CASE(odd_announcements_are_skipped_and_the_others_hold)
{
    std::vector<std::string> changed;
    node::directory_view view(
        [&changed](const std::string& name, const wire::announcementT*) { changed.push_back(name); });
    view.apply("m1", directory_reply(1, true, {"a", "b"}));
    changed.clear();
    for (const int kind : {0, 1, 2, 3, 4}) {
        wire::poll_replyT odd = directory_reply(2, false, {"a", "b", "c"});
        wire::announcementT& value = *odd.changed.front();
        odd.changed[1]->cold = kind % 2 == 0;
        value.leaving = true;
        value.born_ms = kind == 0 ? UINT64_MAX : 5;
        value.sequence = kind == 1 ? UINT64_MAX : 5;
        value.address = kind == 2 ? "not-an-ip:80" : kind == 3 ? "127.0.0.1:0" : value.address;
        value.failure_domain = kind == 4 ? std::string(70'000, 'z') : "z";
        view.apply("m1", odd);
        BOOST_TEST(!view.find("a")->leaving);
        BOOST_TEST(view.find("b")->cold == odd.changed[1]->cold);
        BOOST_TEST(view.find("c").has_value());
    }
    BOOST_TEST(std::count(changed.begin(), changed.end(), "a") == 0);
    wire::poll_replyT later = directory_reply(1, true, {"a"});
    later.changed.front()->born_ms = 6;
    later.changed.front()->leaving = true;
    view.apply("m2", later);
    BOOST_TEST(view.find("a")->leaving);
}

BOOST_AUTO_TEST_SUITE_END()
