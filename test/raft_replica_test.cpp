#include "raft_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::raft;
using verbena::test::chain_machine;
using verbena::test::crash_kind;
using verbena::test::memory_disk;
using verbena::test::raft_cluster;

namespace {

class recording_transport final : public transport {
public:
    std::function<void(const message&)> on_send;
    std::vector<message> sent;

    void send(message output) override
    {
        if (on_send) {
            on_send(output);
        }
        sent.push_back(std::move(output));
    }
};

// One member of a group of three, driven by messages that the test constructs.
struct single_member {
    memory_disk files;
    chain_machine machine;
    recording_transport network;
    std::unique_ptr<replica> member;
    time_point now{std::chrono::seconds(100)};
    options settings;

    explicit single_member(const options& chosen = options{}) : settings(chosen)
    {
        const auto members =
            make_initial_membership({{1, 0, true, "a"}, {2, 0, true, "b"}, {3, 0, true, "c"}});
        BOOST_TEST_REQUIRE(storage::initialise(files, "group", 1, members).has_value());
        open();
    }

    void open()
    {
        auto opened = storage::open(files, "group", 1);
        BOOST_TEST_REQUIRE(opened.has_value());
        auto created =
            replica::open(std::move(opened.value()), machine, network, settings, random_engine(1), now);
        BOOST_TEST_REQUIRE(created.has_value());
        member = std::move(created.value());
    }

    void step(message input)
    {
        input.to = 1;
        BOOST_TEST_REQUIRE(member->step(input, now).has_value());
    }

    // Makes this member leader of the next term with the vote of member 2.
    void elect()
    {
        now += milliseconds(1001);
        BOOST_TEST_REQUIRE(member->tick(now).has_value());
        message reply;
        reply.kind = message_kind::pre_vote_reply;
        reply.from = 2;
        reply.term = member->consensus().term() + 1;
        step(reply);
        reply.kind = message_kind::vote_reply;
        step(reply);
        BOOST_TEST_REQUIRE((member->consensus().role() == role::leader));
    }

    // Sends an acknowledgement of member 3 for the log up to `match`.
    void acknowledge(log_index match)
    {
        message reply;
        reply.kind = message_kind::append_reply;
        reply.from = 3;
        reply.term = member->consensus().term();
        reply.index = match;
        step(reply);
    }
};

message vote_request(member_id from, term_number term)
{
    message value;
    value.kind = message_kind::vote_request;
    value.from = from;
    value.term = term;
    value.index = 1;
    value.log_term = 1;
    return value;
}

message append_request(term_number term, log_index previous, std::vector<entry> entries)
{
    message value;
    value.kind = message_kind::append_request;
    value.from = 2;
    value.term = term;
    value.index = previous;
    value.log_term = 1;
    value.entries = std::move(entries);
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_replica)

// Guards against two leaders in one term: a vote must be durable before the reply is sent.
BOOST_AUTO_TEST_CASE(a_vote_is_kept_through_a_power_failure)
{
    random_engine random(1);
    single_member node;
    node.network.on_send = [&](const message&) { node.files.before_operation = [] { return false; }; };
    node.step(vote_request(2, 5));
    BOOST_TEST_REQUIRE(node.network.sent.size() == 1U);
    BOOST_TEST(!node.network.sent[0].reject);
    node.files.before_operation = nullptr;
    node.network.on_send = nullptr;
    node.files.crash(crash_kind::power, random);
    node.open();
    node.step(vote_request(3, 5));
    BOOST_TEST(node.network.sent[1].reject);
    node.step(vote_request(2, 5));
    BOOST_TEST(!node.network.sent[2].reject);
}

// Guards against acknowledging entries that a power failure then loses.
BOOST_AUTO_TEST_CASE(entries_are_durable_before_they_are_acknowledged)
{
    random_engine random(2);
    single_member node;
    node.step(append_request(2, 1, {{2, 2, entry_kind::no_op, {}}, {3, 2, entry_kind::command, bytes(8)}}));
    BOOST_TEST_REQUIRE(node.network.sent.size() == 1U);
    BOOST_TEST(node.network.sent[0].index == 3U);
    node.files.crash(crash_kind::power, random);
    BOOST_TEST(storage::open(node.files, "group", 1).value()->take_start_state().entries.size() == 3U);
}

// Guards against replies from a member whose disk failed.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_a_storage_error)
{
    single_member node;
    node.files.before_operation = [] { return false; };
    message request = vote_request(2, 5);
    request.to = 1;
    BOOST_TEST(!node.member->step(request, node.now).has_value());
    BOOST_TEST(node.network.sent.empty());
    node.files.before_operation = nullptr;
    BOOST_TEST(!node.member->tick(node.now + milliseconds(2000)).has_value());
    BOOST_TEST(node.network.sent.empty());
}

// Guards against granting a pre-vote while this member has recent contact with a leader.
BOOST_AUTO_TEST_CASE(pre_votes_are_refused_during_leader_contact)
{
    single_member node;
    message request = vote_request(3, 3);
    request.kind = message_kind::pre_vote_request;
    node.step(request);
    // The member may have had contact with a leader just before the restart.
    BOOST_TEST(node.network.sent.back().reject);
    const milliseconds held = raft::options{}.election_timeout_min;
    node.now += held + milliseconds(100);
    node.step(append_request(2, 1, {}));
    node.now += held - milliseconds(1);
    node.step(request);
    BOOST_TEST(node.network.sent.back().reject);
    node.now += milliseconds(1);
    node.step(request);
    BOOST_TEST(!node.network.sent.back().reject);
    BOOST_TEST(node.member->consensus().term() == 2U);
}

// Guards against a leader that overwrites committed entries: the member stops instead of following.
BOOST_AUTO_TEST_CASE(a_member_stops_when_committed_entries_would_change)
{
    single_member node;
    message first = append_request(2, 1, {{2, 2, entry_kind::no_op, {}}});
    first.commit = 2;
    node.step(first);
    message second = append_request(3, 1, {{2, 3, entry_kind::no_op, {}}});
    second.to = 1;
    const auto stopped = node.member->step(second, node.now);
    BOOST_TEST_REQUIRE(!stopped.has_value());
    BOOST_TEST((stopped.error().kind == error_kind::corrupt));
}

// Guards against committing an entry that a later leader can overwrite: an entry of an earlier term on a
// majority is committed only together with an entry of the leader's own term.
BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_commit_only_with_one_of_the_current_term)
{
    single_member node;
    node.step(append_request(2, 1, {{2, 2, entry_kind::command, bytes(8)}}));
    node.elect();
    node.acknowledge(2);
    BOOST_TEST(node.member->consensus().commit_index() == 0U);
    node.acknowledge(3);
    BOOST_TEST(node.member->consensus().commit_index() == 3U);
}

// Guards against two majorities that do not overlap: a new leader could start a membership change while an
// earlier uncommitted one may still be committed by another leader.
BOOST_AUTO_TEST_CASE(members_change_only_after_a_commit_in_the_current_term)
{
    single_member node;
    message first = append_request(2, 1, {});
    first.commit = 1;
    node.step(first);
    node.elect();
    const membership_change change{membership_change::kind::add, 4, "d"};
    const auto early = node.member->change_membership(change, node.now, nullptr);
    BOOST_TEST_REQUIRE(!early.has_value());
    BOOST_TEST((early.error().kind == error_kind::conflict));
    node.acknowledge(2);
    BOOST_TEST(node.member->change_membership(change, node.now, nullptr).has_value());
}

// Guards against a snapshot that contains an uncommitted membership, which a later leader may overwrite.
BOOST_AUTO_TEST_CASE(a_snapshot_holds_the_membership_of_its_index)
{
    options settings;
    settings.snapshot_after_entries = 8;
    settings.kept_entries = 0;
    single_member node(settings);
    node.step(append_request(2, 1, {}));
    node.elect();
    node.acknowledge(2);
    const membership_change change{membership_change::kind::add, 4, "d"};
    BOOST_TEST_REQUIRE(node.member->change_membership(change, node.now, nullptr).has_value());
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST_REQUIRE(node.member->propose(bytes(8), nullptr).has_value());
    }
    BOOST_TEST_REQUIRE(node.member->flush(node.now).has_value());
    const auto start = storage::open(node.files, "group", 1).value()->take_start_state();
    BOOST_TEST_REQUIRE(start.snapshot.has_value());
    BOOST_TEST(start.snapshot->index == 2U);
    BOOST_TEST(start.snapshot->membership.find(4) == nullptr);
    BOOST_TEST(node.member->consensus().membership().find(4) != nullptr);
}

// Guards against inconsistency after a leader crash between any two operations: a proposal is lost or applied
// on all members alike, and an acknowledged proposal is never lost.
BOOST_AUTO_TEST_CASE(a_leader_may_crash_at_every_step_of_a_proposal)
{
    for (unsigned operations = 0; operations < 40; ++operations) {
        for (const auto kind : {crash_kind::power, crash_kind::process}) {
            raft_cluster cluster(operations + 1, 3);
            const auto has_leader = [&] { return cluster.leader() != 0; };
            BOOST_TEST_REQUIRE(cluster.run_until(has_leader, milliseconds(5000)));
            cluster.run(milliseconds(300));
            const member_id leader = cluster.leader();
            cluster.crash_after(leader, operations, kind);
            for (int i = 0; i < 3; ++i) {
                cluster.propose(leader);
            }
            cluster.run(milliseconds(1500));
            cluster.cancel_crash(leader);
            BOOST_TEST_REQUIRE(cluster.restart(leader));
            BOOST_TEST_REQUIRE(cluster.run_until(
                [&] { return has_leader() && cluster.propose(cluster.leader()); }, milliseconds(5000)));
            cluster.run(milliseconds(500));
            for (const member_id id : cluster.ids()) {
                BOOST_TEST(cluster.machine_of(id).chain() == cluster.machine_of(cluster.leader()).chain());
                cluster.checker().check_acknowledged_applied(id, cluster.at(id)->consensus().applied());
            }
            BOOST_TEST(cluster.accepted_count() == cluster.reported_count());
            BOOST_TEST(cluster.checker().violations().empty());
        }
    }
}

// Guards against stale reads: a leader that was replaced while it was paused must not confirm its old state
// when it resumes.
BOOST_AUTO_TEST_CASE(a_resumed_leader_confirms_nothing)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        raft_cluster cluster(seed, 3);
        BOOST_TEST_REQUIRE(cluster.run_until([&] { return cluster.leader() != 0; }, milliseconds(5000)));
        cluster.run(milliseconds(300));
        const member_id old = cluster.leader();
        cluster.pause(old);
        const auto replaced = [&] { return cluster.leader() != 0 && cluster.leader() != old; };
        BOOST_TEST_REQUIRE(cluster.run_until(replaced, milliseconds(5000)));
        BOOST_TEST(cluster.propose(cluster.leader()));
        cluster.run(milliseconds(100));
        BOOST_TEST(!cluster.at(old)->consensus().confirm_age(cluster.now()).has_value());
        cluster.resume(old);
        cluster.run(milliseconds(1000));
        BOOST_TEST(cluster.checker().violations().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
