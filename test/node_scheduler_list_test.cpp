#include "node/publication.h"
#include "node/scheduler_list.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

// A reply of a control member that lists these addresses as schedulers of failure domain "a".
void apply_list(node::scheduler_list& list, const std::string& member,
                const std::vector<std::string>& addresses, std::uint64_t digest, std::uint32_t entries,
                time_point now)
{
    wire::poll_replyT reply;
    reply.entry_count = entries;
    reply.schedulers_digest = digest;
    for (const std::string& address : addresses) {
        reply.schedulers.push_back(std::make_unique<wire::scheduler_candidateT>());
        reply.schedulers.back()->address = address;
        reply.schedulers.back()->failure_domain = "a";
        reply.schedulers.back()->processor_share = address == "10.0.0.9:1" ? 320 : 90;
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createpoll_reply(builder, &reply));
    list.apply(member, *flatbuffers::GetRoot<wire::poll_reply>(builder.GetBufferPointer()), now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_scheduler_list)

// All processes must agree on the preferred candidate, whichever members they hear.
BOOST_AUTO_TEST_CASE(merges_the_lists_of_the_members)
{
    node::scheduler_list list;
    apply_list(list, "m1", {"10.0.0.2:1"}, 5, 20, start);
    apply_list(list, "m2", {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.9:1"}, 6, 21, start);
    const auto found = list.candidates("a", start);
    BOOST_TEST_REQUIRE(found.size() == 3U);
    BOOST_TEST(found[0].address == "10.0.0.9:1");
    BOOST_TEST(found[1].address == "10.0.0.1:1");
    BOOST_TEST(list.candidates("b", start).empty());
    BOOST_TEST(list.entry_count(start) == 21U);
    BOOST_TEST(list.digest_of("m2") == 6U);
}

// Guards against entries that wait for several candidates of a lost failure domain in a row, and against some
// that ask another domain first although the preferred one of all answers.
BOOST_AUTO_TEST_CASE(orders_the_schedulers_of_a_deployment_by_domain)
{
    const std::vector<node::scheduler_candidate> listed{
        {"1", "a", 320}, {"2", "a", 320}, {"3", "b", 320}, {"4", "b", 320}, {"5", "c", 90}};
    const auto order = [&listed](const std::string& domain) {
        std::string text;
        for (const node::scheduler_candidate& value : node::deployment_order(listed, domain)) {
            text += value.address;
        }
        return text;
    };
    BOOST_TEST(order("a") == "12354");
    BOOST_TEST(order("b") == "13254");
    BOOST_TEST(order("c") == "15234");
    BOOST_TEST(order("d") == "12354");
    BOOST_TEST(node::deployment_order({}, "a").empty());
}

// A reply without a list means that the list is unchanged; the list of a silent member is dropped.
BOOST_AUTO_TEST_CASE(keeps_a_list_while_its_member_replies)
{
    node::scheduler_list list;
    apply_list(list, "m1", {"10.0.0.2:1"}, 5, 20, start);
    apply_list(list, "m1", {}, 5, 20, start + 1s);
    BOOST_TEST(list.candidates("a", start + 2s).size() == 1U);
    BOOST_TEST(list.candidates("a", start + 3s).empty());
    BOOST_TEST(list.entry_count(start + 3s) == 0U);
}

// A configuration of 1,400 routes must fit one log entry of 192 KiB, and be read back as it was sent.
BOOST_AUTO_TEST_CASE(packs_large_publications)
{
    std::mt19937 random(7);
    std::string large;
    for (int i = 0; i < 1'400; ++i) {
        large += "{\"name\":\"r-" + std::to_string(random()) +
                 "\",\"host\":\"ficu95.example\",\"path_prefix\":\"/p" + std::to_string(random()) +
                 "/\",\"kind\":\"stream\",\"timeout_ms\":10000,\"slo_ms\":300," +
                 "\"split\":[{\"backend\":\"huvo11a\",\"weight\":90}],\"max_attempts\":2},";
    }
    BOOST_TEST(large.size() > 192U * 1024U);
    const op::publicationT packed = node::pack_publication(9, large);
    BOOST_TEST(packed.version == 9U);
    BOOST_TEST(packed.content.size() < 192U * 1024U);
    BOOST_TEST((node::unpack_publication(packed).value() == large));
    const op::publicationT small = node::pack_publication(1, "{}");
    BOOST_TEST(small.size == 0U);
    BOOST_TEST((node::unpack_publication(small).value() == "{}"));
    op::publicationT damaged = packed;
    damaged.content.resize(damaged.content.size() / 2);
    BOOST_TEST(!node::unpack_publication(damaged).has_value());
    damaged = packed;
    damaged.size = 0xffffffff;
    BOOST_TEST(!node::unpack_publication(damaged).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
