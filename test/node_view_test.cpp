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

wire::poll_replyT listing(std::uint64_t version, bool whole, const std::vector<std::string>& names)
{
    wire::poll_replyT reply;
    reply.directory_epoch = 1;
    reply.directory_version = version;
    reply.directory_whole = whole;
    for (const std::string& name : names) {
        auto value = std::make_unique<wire::announcementT>();
        value->endpoint = name;
        reply.changed.push_back(std::move(value));
    }
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_view)

// Guards against work accepted on an old configuration by a process that was cut off or frozen.
BOOST_AUTO_TEST_CASE(freshness_ends_when_no_confirmation_comes)
{
    node::config_view view;
    BOOST_TEST(!view.is_fresh(start), "a process that has just started has no confirmation");
    BOOST_TEST(view.update(pack(1)));
    BOOST_TEST(!view.is_fresh(start));
    view.confirm(1, start);
    BOOST_TEST(view.is_fresh(start + milliseconds(2'499)));
    BOOST_TEST(!view.is_fresh(start + milliseconds(2'500)));
}

// Guards against a configuration that reverts, and against a confirmation of a revision that is not held.
BOOST_AUTO_TEST_CASE(revisions_only_grow_and_confirmations_name_the_held_one)
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

// Guards against a delayed answer that makes an old confirmation look newer.
BOOST_AUTO_TEST_CASE(an_older_confirmation_changes_nothing)
{
    node::config_view view;
    BOOST_TEST(view.update(pack(1)));
    view.confirm(1, start);
    view.confirm(1, start - milliseconds(2'000));
    BOOST_TEST((view.age(start) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_configuration_are_rejected)
{
    node::config_view view;
    const std::vector<std::uint8_t> noise(64, 0xFF);
    BOOST_TEST(!view.update(noise));
    BOOST_TEST(!view.current());
}

// Guards against an entry that is ready before it knows any endpoint.
BOOST_AUTO_TEST_CASE(the_directory_is_loaded_with_the_first_whole_list)
{
    node::directory_view view([](const std::string&, const wire::announcementT*) {});
    BOOST_TEST(!view.loaded());
    const wire::poll_replyT nothing;
    view.apply("m1", nothing);
    BOOST_TEST(!view.loaded(), "a reply that carries no list");
    view.apply("m1", listing(1, true, {}));
    BOOST_TEST(view.loaded());
}

// Guards against one member that hears no agents emptying the view of all endpoints.
BOOST_AUTO_TEST_CASE(an_endpoint_stays_while_any_member_lists_it)
{
    std::vector<std::string> gone;
    node::directory_view view([&gone](const std::string& name, const wire::announcementT* value) {
        if (value == nullptr) {
            gone.push_back(name);
        }
    });
    view.apply("m1", listing(1, true, {"a", "b"}));
    view.apply("m2", listing(1, true, {"a"}));
    BOOST_TEST(view.size() == 2U);
    wire::poll_replyT lost = listing(2, false, {});
    lost.gone = {"a", "b"};
    view.apply("m1", lost);
    BOOST_TEST(view.size() == 1U);
    BOOST_TEST_REQUIRE(gone.size() == 1U);
    BOOST_TEST(gone.front() == "b");
    view.forget_member("m2");
    BOOST_TEST(view.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
