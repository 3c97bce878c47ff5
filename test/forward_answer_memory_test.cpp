#include "base/memory_bound.h"
#include "forward/answer_memory.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace verbena;

BOOST_AUTO_TEST_SUITE(forward_answer_memory)

// Guards against answers that are each within their bound and together exceed the memory of the process.
BOOST_AUTO_TEST_CASE(the_largest_answers_are_given_up_beyond_the_limit)
{
    constexpr std::size_t answer = 16;
    forward::answer_memory memory(4 * answer);
    std::size_t given_up = 0;
    std::vector<std::unique_ptr<forward::answer_memory::account>> accounts;
    constexpr std::size_t answers = 100;
    accounts.reserve(answers);
    for (std::size_t i = 0; i < answers; ++i) {
        accounts.push_back(
            std::make_unique<forward::answer_memory::account>(memory, "e", [&given_up] { ++given_up; }));
    }
    accounts[0]->set(1);
    for (std::size_t i = 1; i < accounts.size(); ++i) {
        accounts[i]->set(answer);
        BOOST_TEST(memory.held() <= 4 * answer);
    }
    BOOST_TEST(given_up == answers - 4);
    BOOST_TEST(!accounts[0]->given_up());
    accounts.clear();
    BOOST_TEST(memory.held() == 0U);
}

// An answer that has been given up is not counted again, and the others may grow into its place.
BOOST_AUTO_TEST_CASE(what_was_given_up_makes_room)
{
    forward::answer_memory memory(10);
    forward::answer_memory::account endless(memory, "e", [] {});
    forward::answer_memory::account sound(memory, "e", [] {});
    sound.set(4);
    endless.set(11);
    BOOST_TEST(endless.given_up());
    endless.set(100);
    sound.set(9);
    BOOST_TEST(memory.held() == 9U);
    BOOST_TEST(!sound.given_up());
}

// Guards against a sound answer that is given up because each of many endless ones is smaller.
BOOST_AUTO_TEST_CASE(the_endpoint_that_holds_most_loses_its_answers_first)
{
    forward::answer_memory memory(12);
    forward::answer_memory::account sound(memory, "sound", [] {});
    sound.set(5);
    std::vector<std::unique_ptr<forward::answer_memory::account>> endless;
    constexpr std::size_t answers = 20;
    endless.reserve(answers);
    for (std::size_t i = 0; i < answers; ++i) {
        endless.push_back(std::make_unique<forward::answer_memory::account>(memory, "endless", [] {}));
        endless.back()->set(1);
    }
    BOOST_TEST(!sound.given_up());
    BOOST_TEST(memory.held() <= 12U);
}

// Guards against a body that takes its bound several times while it grows.
BOOST_AUTO_TEST_CASE(a_growing_body_is_counted_with_its_former_bytes)
{
    forward::answer_memory memory(1'000);
    forward::answer_memory::account held(memory, "e", [] {});
    std::string body;
    const std::string bytes(100, 'x');
    while (!held.given_up() && body.size() < 2'000) {
        forward::append(body, bytes, held);
        BOOST_TEST((held.given_up() || memory.held() >= body.capacity()));
    }
    BOOST_TEST(held.given_up());
    BOOST_TEST(body.capacity() <= 500U);
}

// Guards against a bound that exceeds the memory of a small machine, and against one of nothing.
BOOST_AUTO_TEST_CASE(the_bound_follows_the_memory_of_the_process)
{
    constexpr std::uint64_t mib = 1024 * 1024;
    BOOST_TEST(held_bytes_bound(64 * mib, 0) == 64 * mib);
    BOOST_TEST(held_bytes_bound(64 * mib, 1'024 * mib) == 64 * mib);
    BOOST_TEST(held_bytes_bound(64 * mib, 160 * mib) < 160 * mib / 4);
    BOOST_TEST(held_bytes_bound(64 * mib, 1) >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
