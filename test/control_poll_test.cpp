#include "control/packed.h"
#include "control/poll_service.h"
#include "control_fixture.h"
#include "net/connection.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

struct fixture {
    control::configuration config;
    control::directory endpoints{7};
    control::poll_service polls{limits()};

    fixture() { config.apply(put_team("a", 0, "clerks")); }

    static control::poll_limits limits()
    {
        control::poll_limits values;
        values.processes = 3;
        values.load_bytes_per_s = 100;
        values.load_burst_bytes = 200;
        return values;
    }

    wire::poll_replyT handle_poll(const wire::pollT& poll, const control::member_view& member,
                                  time_point now = start)
    {
        return polls.handle(poll, member, config, endpoints, now);
    }
};

wire::pollT make_poll(const std::string& name, wire::role role = wire::role::entry)
{
    wire::pollT poll;
    poll.nonce = 99;
    poll.name = name;
    poll.role = role;
    poll.incarnation = 1;
    return poll;
}

wire::pollT make_load_poll(const std::string& name, std::uint64_t bytes)
{
    wire::pollT poll = make_poll(name, wire::role::agent);
    poll.wants_load_bytes = bytes;
    return poll;
}

control::member_view confirmed(milliseconds age = 100ms)
{
    return {age, false, "127.0.0.1:7100"};
}

control::member_view leader()
{
    return {0ms, true, "127.0.0.1:7100"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_poll)

BOOST_FIXTURE_TEST_CASE(confirmed_member_gives_age_revision_and_a_newer_configuration, fixture)
{
    const auto reply = handle_poll(make_poll("entry-1"), confirmed(120ms));
    BOOST_TEST(reply.nonce == 99U);
    BOOST_TEST(reply.confirmed);
    BOOST_TEST(reply.age_ms == 120U);
    BOOST_TEST(reply.revision == 1U);
    const auto document = control::unpack<op::config>(reply.config);
    BOOST_TEST_REQUIRE(document != nullptr);
    BOOST_TEST((*document == *config.current()));
    auto again = make_poll("entry-1");
    again.revision = 1;
    BOOST_TEST(handle_poll(again, confirmed()).config.empty());
    again.revision = 5;
    BOOST_TEST(handle_poll(again, confirmed()).config.empty());
}

// Guards against a process that starts from the old configuration of an isolated member.
BOOST_FIXTURE_TEST_CASE(unconfirmed_member_gives_no_configuration, fixture)
{
    for (const std::optional<milliseconds> age : {std::optional<milliseconds>(), std::optional(2'501ms)}) {
        const auto reply = handle_poll(make_poll("entry-1"), {age, true, "127.0.0.1:7100"});
        BOOST_TEST(!reply.confirmed);
        BOOST_TEST(reply.age_ms == UINT32_MAX);
        BOOST_TEST(reply.revision == 0U);
        BOOST_TEST(reply.config.empty());
        BOOST_TEST(reply.leader.empty());
    }
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 1), {std::nullopt, true, ""}, start + 10s).load_permit);
}

// Guards against a reply that does not fit one frame.
BOOST_FIXTURE_TEST_CASE(configuration_and_directory_are_sent_in_separate_replies, fixture)
{
    auto announce = make_poll("gpu-1", wire::role::agent);
    announce.announce = std::make_unique<wire::announcementT>();
    announce.announce->endpoint = "gpu-1";
    announce.announce->address = "127.0.0.1:7000";
    announce.announce->service = "chat";
    handle_poll(announce, confirmed());
    auto poll = make_poll("entry-1");
    const auto first = handle_poll(poll, confirmed());
    BOOST_TEST(!first.config.empty());
    BOOST_TEST(first.changed.empty());
    BOOST_TEST(!first.directory_whole);
    poll.revision = first.revision;
    poll.directory_epoch = first.directory_epoch;
    poll.directory_version = first.directory_version;
    const auto second = handle_poll(poll, confirmed());
    BOOST_TEST(second.directory_whole);
    BOOST_TEST_REQUIRE(second.changed.size() == 1U);
    poll.directory_epoch = second.directory_epoch;
    poll.directory_version = second.directory_version;
    BOOST_TEST(handle_poll(poll, confirmed(), start + 3s).gone == std::vector<std::string>{"gpu-1"});
}

// Guards against a reply that no entry can read, again with each poll, after thousands of entries have
// expired together.
BOOST_FIXTURE_TEST_CASE(reply_after_many_removals_fits_one_frame, fixture)
{
    for (int i = 0; i < 4'000; ++i) {
        wire::announcementT value;
        value.endpoint = std::string(59, 'i') + "-" + std::to_string(1'000 + i);
        value.address = "127.0.0.1:7000";
        value.service = "chat";
        value.born_ms = 1;
        BOOST_TEST_REQUIRE(endpoints.announce(value, start));
    }
    auto poll = make_poll("entry-1");
    poll.revision = 1;
    poll.directory_epoch = 7;
    poll.directory_version = endpoints.version();
    auto sound = make_poll("gpu-1", wire::role::agent);
    sound.announce = std::make_unique<wire::announcementT>();
    sound.announce->endpoint = "gpu-1";
    sound.announce->address = "127.0.0.1:7001";
    sound.announce->service = "chat";
    handle_poll(sound, confirmed(), start + 8s);
    wire::poll_replyT reply = handle_poll(poll, confirmed(), start + 8s);
    BOOST_TEST((reply.directory_whole || reply.gone.size() == 4'000U));
    BOOST_TEST_REQUIRE(reply.changed.size() == 1U);
    BOOST_TEST(reply.changed.front()->endpoint == "gpu-1");
    const auto bytes = net::encode_frame(1, net::make_frame(std::move(reply)));
    BOOST_TEST(bytes.size() <= net::max_frame_payload);
}

BOOST_FIXTURE_TEST_CASE(processes_are_listed_and_bounded, fixture)
{
    auto poll = make_poll("entry-1");
    poll.revision = 1;
    handle_poll(poll, confirmed());
    handle_poll(make_poll("entry-2"), confirmed(), start + 50s);
    handle_poll(make_poll("entry-3"), confirmed(), start + 50s);
    handle_poll(make_poll("entry-4"), confirmed(), start + 50s);
    BOOST_TEST(polls.size() == 3U);
    const auto listed = polls.processes(start + 50s);
    BOOST_TEST_REQUIRE(listed.size() == 3U);
    BOOST_TEST(listed.at(0)->name == "entry-1");
    BOOST_TEST(listed.at(0)->role == "entry");
    BOOST_TEST(listed.at(0)->revision == 1U);
    BOOST_TEST(listed.at(0)->age_ms == 50'000U);
    handle_poll(make_poll("entry-4"), confirmed(), start + 61s);
    BOOST_TEST(polls.processes(start + 61s).size() == 3U);
    BOOST_TEST(polls.processes(start + 61s).back()->name == "entry-4");
}

// Guards against loads above the rate limit of the weight store.
BOOST_FIXTURE_TEST_CASE(load_permits_follow_the_rate, fixture)
{
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 100), leader(), start).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 100), leader(), start + 900ms).load_permit);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 100), leader(), start + 1s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-2", 100), leader(), start + 1s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-2", 100), confirmed(), start + 9s).load_permit);
}

// Guards against charging one load twice when a reply is lost, and against two loads under one permit.
BOOST_FIXTURE_TEST_CASE(permit_is_repeated_until_the_process_stops_requesting, fixture)
{
    handle_poll(make_load_poll("gpu-1", 200), leader(), start);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 200), leader(), start + 2s).load_permit);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 200), leader(), start + 2s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 0), leader(), start + 2s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 200), leader(), start + 3s).load_permit);
    auto restarted = make_load_poll("gpu-1", 200);
    restarted.incarnation = 2;
    BOOST_TEST(handle_poll(restarted, leader(), start + 4s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 200), leader(), start + 4s).load_permit);
}

// Guards against two consecutive leaders each granting a full burst.
BOOST_FIXTURE_TEST_CASE(new_leader_starts_with_an_empty_bucket, fixture)
{
    handle_poll(make_load_poll("gpu-1", 100), leader(), start);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 100), leader(), start + 5s).load_permit);
    handle_poll(make_poll("entry-1"), confirmed(), start + 6s);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-1", 100), leader(), start + 60s).load_permit);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 100), leader(), start + 61s).load_permit);
}

// A load larger than the burst must be granted and must delay the next grant.
BOOST_FIXTURE_TEST_CASE(load_larger_than_the_burst_delays_the_next_grant, fixture)
{
    handle_poll(make_poll("entry-1"), leader(), start);
    BOOST_TEST(handle_poll(make_load_poll("gpu-1", 1'000), leader(), start + 2s).load_permit);
    BOOST_TEST(!handle_poll(make_load_poll("gpu-2", 10), leader(), start + 10s).load_permit);
    BOOST_TEST(handle_poll(make_load_poll("gpu-2", 10), leader(), start + 10'100ms).load_permit);
}

// Guards the condition for acknowledging endpoints: most of the entries that polled recently still poll this
// member.
BOOST_FIXTURE_TEST_CASE(reports_whether_entries_poll, fixture)
{
    BOOST_TEST(!polls.any_entry_polls(start));
    handle_poll(make_poll("e1"), confirmed());
    handle_poll(make_poll("e2"), confirmed());
    handle_poll(make_poll("e3"), confirmed());
    BOOST_TEST(polls.most_entries_poll(start));
    handle_poll(make_poll("e1"), confirmed(), start + 3s);
    BOOST_TEST(!polls.most_entries_poll(start + 3s));
    BOOST_TEST(polls.any_entry_polls(start + 3s));
    BOOST_TEST(!polls.any_entry_polls(start + 9s));
}

// The list of schedulers grows with the failure domains, not with the entries, and is sent to a process that
// holds another list only.
BOOST_AUTO_TEST_CASE(lists_the_preferred_schedulers_of_each_failure_domain)
{
    control::configuration config;
    control::directory endpoints{7};
    control::poll_service polls;
    const auto poll_of = [](const std::string& domain, int index, std::uint32_t share) {
        wire::pollT poll = make_poll(domain + std::to_string(index));
        poll.failure_domain = domain;
        poll.frame_address = domain + std::to_string(index) + ":1";
        poll.processor_share = share;
        return poll;
    };
    wire::poll_replyT reply;
    for (int index = 0; index < 40; ++index) {
        for (const char* domain : {"a", "b"}) {
            reply = polls.handle(poll_of(domain, index, index == 30 ? 320 : 90), confirmed(), config,
                                 endpoints, start);
        }
    }
    reply = polls.handle(poll_of("a", 0, 90), confirmed(), config, endpoints, start + 1s);
    BOOST_TEST(reply.entries.empty());
    BOOST_TEST(reply.entry_count == 80U);
    BOOST_TEST_REQUIRE(reply.schedulers.size() == 6U);
    BOOST_TEST(reply.schedulers.front()->processor_share == 320U);
    BOOST_TEST(reply.schedulers.front()->address == "a30:1");
    wire::pollT again = poll_of("a", 0, 90);
    again.schedulers_digest = reply.schedulers_digest;
    reply = polls.handle(again, confirmed(), config, endpoints, start + 1s);
    BOOST_TEST(reply.schedulers.empty());
    BOOST_TEST(reply.schedulers_digest == again.schedulers_digest);
    // Entries that stop polling are no longer listed.
    reply = polls.handle(again, confirmed(), config, endpoints, start + 4s);
    BOOST_TEST(reply.schedulers.size() == 1U);
}

// An entry gets new configurations from the member of its failure domain only, and the others still confirm.
BOOST_FIXTURE_TEST_CASE(leaves_out_the_configuration_on_request, fixture)
{
    wire::pollT poll = make_poll("entry-1");
    poll.without_config = true;
    const auto reply = handle_poll(poll, confirmed());
    BOOST_TEST(reply.config.empty());
    BOOST_TEST(reply.confirmed);
    BOOST_TEST(reply.revision == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
