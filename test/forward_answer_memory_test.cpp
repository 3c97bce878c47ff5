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
            std::make_unique<forward::answer_memory::account>(memory, [&given_up] { ++given_up; }));
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
    forward::answer_memory::account endless(memory, [] {});
    forward::answer_memory::account sound(memory, [] {});
    sound.set(4);
    endless.set(11);
    BOOST_TEST(endless.given_up());
    endless.set(100);
    sound.set(9);
    BOOST_TEST(memory.held() == 9U);
    BOOST_TEST(!sound.given_up());
}

BOOST_AUTO_TEST_SUITE_END()
