#include "raft_cluster_checks.h"

#include <bit>

using namespace verbena;
using namespace verbena::raft;
using verbena::test::crash_kind;
using verbena::test::raft_cluster;
using verbena::test::require_no_violations;
using verbena::test::wait_for_leader;

namespace {

constexpr auto remove_member = membership_change::kind::remove;

membership voters_of(std::size_t count)
{
    std::vector<member> members;
    for (member_id id = 1; id <= count; ++id) {
        members.push_back({id, 0, true, "member-" + std::to_string(id)});
    }
    return make_initial_membership(members);
}

// Whether the members whose bits are set in `agreeing` decide.
bool decides(const electorate& deciding, unsigned agreeing)
{
    return deciding.decides(
        [agreeing](const member& voter) { return ((agreeing >> (voter.id - 1)) & 1U) != 0; });
}

void cut(raft_cluster& cluster, const std::set<member_id>& half)
{
    for (const member_id a : cluster.ids()) {
        for (const member_id b : cluster.ids()) {
            if (half.contains(a) != half.contains(b)) {
                cluster.block_link(a, b);
            }
        }
    }
}

std::vector<member_id> followers_of(raft_cluster& cluster, member_id leader)
{
    std::vector<member_id> others = cluster.ids();
    std::erase(others, leader);
    return others;
}

// A group of four whose leader reaches only the first of the others.
struct split_group {
    raft_cluster cluster;
    member_id leader;
    std::vector<member_id> others;

    explicit split_group(std::uint64_t seed)
        : cluster(seed, 4), leader(wait_for_leader(cluster)), others(followers_of(cluster, leader))
    {
        cut(cluster, {leader, others[0]});
    }
};

// A member of a group of four without a disk or a network.
class lone_member {
public:
    lone_member() : m_core(start(), options{}, random_engine(1), m_now) {}

    // Lets time pass until the member asks for votes of this kind.
    void await_request(message_kind kind)
    {
        const auto asked = [&] {
            ready effects = m_core.take_ready();
            m_core.saved();
            return std::any_of(effects.messages.begin(), effects.messages.end(),
                               [kind](const message& sent) { return sent.kind == kind; });
        };
        for (int i = 0; i < 500 && !asked(); ++i) {
            m_now += milliseconds(20);
            m_core.tick(m_now);
        }
    }

    void receive_vote(message_kind kind, member_id from)
    {
        const bool pre_vote = kind == message_kind::pre_vote_reply;
        m_core.step({.kind = kind, .from = from, .to = 1, .term = m_core.term() + (pre_vote ? 1 : 0)}, m_now);
    }

    core& state() { return m_core; }

private:
    static start_state start()
    {
        start_state loaded;
        loaded.self = 1;
        loaded.term_and_vote = {1, 0};
        loaded.entries = {{1, 1, entry_kind::membership, encode(voters_of(4))}};
        return loaded;
    }

    time_point m_now{std::chrono::seconds(1000)};
    core m_core;
};

} // namespace

BOOST_AUTO_TEST_SUITE(raft_electorate)

// Guards against two sets of voters that decide without a member in common: of sets that decide while the
// same voter is lost, and of one of them and a majority from before the loss.
BOOST_AUTO_TEST_CASE(any_two_deciding_sets_have_a_member_in_common)
{
    for (std::size_t count = 1; count <= 9; ++count) {
        const membership group = voters_of(count);
        const lost_folders none;
        const lost_folders last_is_lost{{count, 0}};
        const electorate before(group, nullptr, none);
        const electorate after(group, nullptr, last_is_lost);
        const unsigned all = 1U << count;
        for (unsigned a = 0; a < all; ++a) {
            BOOST_TEST_REQUIRE(decides(before, a) ==
                               (static_cast<std::size_t>(std::popcount(a)) > count / 2));
            for (unsigned b = 0; b < all && decides(after, a); ++b) {
                const unsigned common = a & b & ~(all / 2);
                BOOST_TEST_REQUIRE((common != 0 || !decides(after, b)));
                BOOST_TEST_REQUIRE(((a & ~(all / 2) & b) != 0 || !decides(before, b)));
            }
        }
    }
}

// Guards against a group of 2f + 2 voters that cannot elect a leader after one has ended and f have lost
// their disks.
BOOST_AUTO_TEST_CASE(half_of_an_even_number_decides_beside_a_lost_voter)
{
    for (const std::size_t losses : {1, 2, 3}) {
        const std::size_t count = 2 * losses + 2;
        const membership group = voters_of(count);
        lost_folders lost;
        for (std::size_t i = 0; i < losses; ++i) {
            lost.insert({count - i, 0});
        }
        const unsigned remaining = (1U << (losses + 1)) - 1;
        BOOST_TEST(decides(electorate(group, nullptr, lost), remaining));
        BOOST_TEST(!decides(electorate(group, nullptr, {}), remaining));
        // The folder is not the one with which the member votes.
        BOOST_TEST(!decides(electorate(group, nullptr, {{count, 7}}), remaining));
    }
}

// Guards against two leaders in a term: a loss that becomes known during an election must not decide it,
// because a voter that is lost by then may have voted before.
BOOST_AUTO_TEST_CASE(a_loss_counts_for_later_elections_only)
{
    lone_member member;
    member.await_request(message_kind::pre_vote_request);
    member.receive_vote(message_kind::pre_vote_reply, 2);
    member.receive_vote(message_kind::pre_vote_reply, 3);
    BOOST_TEST_REQUIRE((member.state().role() == role::candidate));
    member.receive_vote(message_kind::vote_reply, 2);
    member.state().report_lost_folder({4, 0});
    member.receive_vote(message_kind::vote_reply, 2);
    BOOST_TEST_REQUIRE((member.state().role() == role::candidate));
    member.await_request(message_kind::pre_vote_request);
    member.receive_vote(message_kind::pre_vote_reply, 2);
    BOOST_TEST_REQUIRE((member.state().role() == role::candidate));
    member.receive_vote(message_kind::vote_reply, 2);
    BOOST_TEST((member.state().role() == role::leader));
}

// Guards against votes and acknowledgements that arrive from a voter after its loss is known.
BOOST_AUTO_TEST_CASE(a_lost_voter_does_not_count)
{
    lone_member member;
    member.state().report_lost_folder({4, 0});
    member.await_request(message_kind::pre_vote_request);
    member.receive_vote(message_kind::pre_vote_reply, 4);
    BOOST_TEST((member.state().role() == role::pre_candidate));
}

// Guards against a removal that is committed without a majority of the voters before it: the others, when one
// of the committing voters loses its disk, could elect a leader that does not know it.
BOOST_AUTO_TEST_CASE(a_removal_needs_a_majority_of_the_voters_before_it)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            split_group group(seed);
            raft_cluster& cluster = group.cluster;
            const member_id reached = group.others[0];
            BOOST_TEST_REQUIRE(cluster.change(group.leader, {remove_member, group.others[2], {}}));
            BOOST_TEST_REQUIRE(cluster.propose(group.leader));
            const std::size_t acknowledged = cluster.checker().acknowledged_count();
            cluster.run(milliseconds(300));
            BOOST_TEST(cluster.checker().acknowledged_count() == acknowledged);
            cluster.crash(reached, crash_kind::power);
            cluster.remove(reached);
            for (const member_id id : {group.others[1], group.others[2]}) {
                cluster.at(id)->report_lost_folder({reached, 0});
            }
            const auto elected = [&] {
                return cluster.leader() != group.leader && cluster.leader() != 0 &&
                       cluster.propose(cluster.leader());
            };
            BOOST_TEST_REQUIRE(cluster.run_until(elected, milliseconds(5000)));
            cluster.heal_links();
            cluster.run(milliseconds(1000));
            require_no_violations(cluster);
        }
    }
}

// Guards against a group that elects nobody because only the member that is being removed holds the removal:
// it gives no vote to members with shorter logs.
BOOST_AUTO_TEST_CASE(a_member_that_is_being_removed_may_lead)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            split_group group(seed);
            raft_cluster& cluster = group.cluster;
            const member_id removed = group.others[0];
            BOOST_TEST_REQUIRE(cluster.change(group.leader, {remove_member, removed, {}}));
            cluster.run(milliseconds(100));
            cluster.remove(group.leader);
            cluster.heal_links();
            const auto complete = [&] {
                const member_id leader = cluster.leader();
                return leader != 0 && leader != removed &&
                       cluster.at(leader)->consensus().membership().find(removed) == nullptr &&
                       cluster.propose(leader);
            };
            BOOST_TEST(cluster.run_until(complete, milliseconds(8000)));
            require_no_violations(cluster);
        }
    }
}

// Guards against a membership that still needs the voters before it after it is known to be complete, also
// after a restart of all members.
BOOST_AUTO_TEST_CASE(a_complete_removal_needs_its_own_voters_only)
{
    raft_cluster cluster(3, 4);
    const member_id leader = wait_for_leader(cluster);
    const auto others = followers_of(cluster, leader);
    cluster.crash(others[2], crash_kind::power);
    cluster.run(milliseconds(500));
    BOOST_TEST_REQUIRE(cluster.change(leader, {remove_member, others[2], {}}));
    cluster.run(milliseconds(500));
    for (const member_id id : {leader, others[0], others[1]}) {
        cluster.crash(id, crash_kind::power);
    }
    for (const member_id id : {leader, others[0]}) {
        BOOST_TEST_REQUIRE(cluster.restart(id));
    }
    const auto progressed = [&] { return cluster.leader() != 0 && cluster.propose(cluster.leader()); };
    BOOST_TEST(cluster.run_until(progressed, milliseconds(5000)));
}

// Guards against the removal of one of two voters that is never committed because the removed one is told
// nothing.
BOOST_AUTO_TEST_CASE(one_of_two_voters_can_be_removed)
{
    raft_cluster cluster(4, 2);
    const member_id leader = wait_for_leader(cluster);
    const member_id removed = followers_of(cluster, leader).front();
    BOOST_TEST_REQUIRE(cluster.change(leader, {remove_member, removed, {}}));
    cluster.run(milliseconds(500));
    cluster.crash(removed, crash_kind::power);
    const std::size_t acknowledged = cluster.checker().acknowledged_count();
    cluster.run(milliseconds(1000));
    BOOST_TEST_REQUIRE(cluster.propose(cluster.leader()));
    cluster.run(milliseconds(100));
    BOOST_TEST(cluster.checker().acknowledged_count() == acknowledged + 1);
}

BOOST_AUTO_TEST_SUITE_END()
