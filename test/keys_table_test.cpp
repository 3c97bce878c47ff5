#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;
using wire::key_state;

namespace {

control::key_table table_at(std::chrono::seconds offset, const control::key_limits& limits = {})
{
    control::key_table table(limits);
    table.advance(start_time + offset);
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys_table)

// Guards against running a request twice when the caller resends it through a second entry.
BOOST_AUTO_TEST_CASE(key_bound_through_one_entry_is_bound_elsewhere_for_another)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    BOOST_TEST((table.bind(make_bind(key, 1, 1)).state == key_state::bound));
    const auto second = table.bind(make_bind(key, 2, 1, "desk-2"));
    BOOST_TEST((second.state == key_state::bound_elsewhere));
    BOOST_TEST(second.id->low() == 1U);
    BOOST_TEST(second.attempt == 1U);
    BOOST_TEST(second.endpoint == "desk-1");
    BOOST_TEST(second.agent_incarnation == 5U);
}

// Guards against a lost reply to key_bind leaving the key unusable for the entry that owns it.
BOOST_AUTO_TEST_CASE(repeated_bind_of_the_same_attempt_is_bound_again)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    BOOST_TEST((table.bind(make_bind(key, 1, 1)).state == key_state::bound));
    BOOST_TEST((table.bind(make_bind(key, 1, 1, "desk-2")).state == key_state::bound_elsewhere));
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(rebind_needs_the_attempt_that_owns_the_key)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 1)).state == key_state::not_found));
    table.bind(make_bind(key, 1, 1));
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 9, 1)).state == key_state::conflict));
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 2)).state == key_state::conflict));
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 1)).state == key_state::bound));
}

// Guards against two entries that both have proof of "not run" each dispatching a replacement.
BOOST_AUTO_TEST_CASE(of_two_rebinds_one_wins)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 1)).state == key_state::bound));
    const auto loser = table.bind(make_rebind(key, 3, 1, 1, 1));
    BOOST_TEST((loser.state == key_state::conflict));
    BOOST_TEST(loser.id->low() == 2U);
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 1)).state == key_state::bound));
}

// Guards against a late copy of the first bind taking the key back from its replacement.
BOOST_AUTO_TEST_CASE(late_copy_of_a_replaced_bind_is_bound_elsewhere)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    table.bind(make_rebind(key, 2, 1, 1, 1));
    BOOST_TEST((table.bind(make_bind(key, 1, 1)).state == key_state::bound_elsewhere));
    BOOST_TEST((table.finish(make_finish(key, 1, 1)).state == key_state::conflict));
    BOOST_TEST((table.finish(make_finish(key, 2, 1)).state == key_state::finished));
}

BOOST_AUTO_TEST_CASE(finished_key_gives_the_recorded_answer)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    table.finish(make_finish(key, 1, 1));
    BOOST_TEST((table.finish(make_finish(key, 1, 1, "another")).state == key_state::finished));
    for (const auto& request : {make_bind(key, 2, 1), make_rebind(key, 2, 1, 1, 1), make_bind(key, 1, 1)}) {
        const auto reply = table.bind(request);
        BOOST_TEST((reply.state == key_state::finished));
        BOOST_TEST(reply.status == 201U);
        BOOST_TEST(reply.content_type == "text/plain");
        BOOST_TEST(text_of(reply.answer) == "order 17");
    }
}

BOOST_AUTO_TEST_CASE(different_body_under_the_same_key_is_key_reused)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    auto other = make_bind(key, 2, 1);
    other.fingerprint = 78;
    BOOST_TEST((table.bind(other).state == key_state::key_reused));
    other.team = "clerks";
    BOOST_TEST((table.bind(other).state == key_state::bound));
}

// Guards against a key that runs again after its record was dropped.
BOOST_AUTO_TEST_CASE(keys_issued_too_early_or_too_late_are_refused)
{
    auto table = table_at(2h);
    BOOST_TEST((table.bind(make_bind(make_key(1h - 1s), 1, 1)).state == key_state::key_expired));
    BOOST_TEST((table.bind(make_bind(make_key(1h), 2, 1)).state == key_state::bound));
    BOOST_TEST((table.bind(make_bind(make_key(2h + 60s), 3, 1)).state == key_state::bound));
    BOOST_TEST((table.bind(make_bind(make_key(2h + 61s), 4, 1)).state == key_state::key_expired));
    for (const char* key : {"", "booking", "12-", "12-short", "-0123456789", "99999999999-0123456789"}) {
        BOOST_TEST((table.bind(make_bind(key, 5, 1)).state == key_state::key_expired));
    }
    BOOST_TEST(table.size() == 2U);
}

// Guards against a rebind so late that its attempt could outlive the record.
BOOST_AUTO_TEST_CASE(rebind_after_the_retention_is_refused)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    table.advance(start_time + 1h + 1ms);
    BOOST_TEST((table.bind(make_rebind(key, 2, 1, 1, 1)).state == key_state::key_expired));
}

BOOST_AUTO_TEST_CASE(finish_is_recorded_until_the_record_is_dropped)
{
    auto table = table_at(0s);
    table.bind(make_bind(make_key(0s, "aaaaaaaa"), 1, 1));
    table.bind(make_bind(make_key(0s, "bbbbbbbb"), 2, 1));
    table.advance(start_time + 71min);
    BOOST_TEST((table.finish(make_finish(make_key(0s, "aaaaaaaa"), 1, 1)).state == key_state::finished));
    table.advance(start_time + 71min + 1ms);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.bytes() == 0U);
    BOOST_TEST((table.finish(make_finish(make_key(0s, "bbbbbbbb"), 2, 1)).state == key_state::not_found));
}

// Guards against a new leader with a slower clock accepting keys whose records were dropped.
BOOST_AUTO_TEST_CASE(time_never_moves_backwards)
{
    auto table = table_at(2h);
    table.advance(start_time);
    BOOST_TEST((table.now() == start_time + 2h));
    BOOST_TEST((table.bind(make_bind(make_key(0s), 1, 1)).state == key_state::key_expired));
}

// Guards against a slow command when an hour of records expires at once.
BOOST_AUTO_TEST_CASE(drops_are_bounded_per_command)
{
    auto table = table_at(0s);
    for (std::uint64_t i = 0; i < 2'500; ++i) {
        table.bind(make_bind(make_key(0s, "key-number-" + std::to_string(i)), i, 1));
    }
    table.advance(start_time + 2h);
    BOOST_TEST(table.size() == 1'500U);
    BOOST_TEST((table.finish(make_finish(make_key(0s, "key-number-0"), 0, 1)).state == key_state::not_found));
    table.advance(start_time + 2h);
    table.advance(start_time + 2h);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(long_answer_is_recorded_without_its_body)
{
    auto table = table_at(0s);
    const std::string key = make_key(0s);
    table.bind(make_bind(key, 1, 1));
    table.finish(make_finish(key, 1, 1, std::string(4'096, 'x')));
    BOOST_TEST(table.bind(make_bind(key, 2, 1)).answer.size() == 4'096U);
    const std::string long_key = make_key(1s);
    table.bind(make_bind(long_key, 3, 1));
    table.finish(make_finish(long_key, 3, 1, std::string(4'097, 'x')));
    const auto reply = table.bind(make_bind(long_key, 4, 1));
    BOOST_TEST((reply.state == key_state::finished));
    BOOST_TEST(reply.status == 201U);
    BOOST_TEST(text_of(reply.answer).find("look up the order") != std::string::npos);
}

// Guards against running out of memory, and against losing the outcomes of calls that are already bound.
BOOST_AUTO_TEST_CASE(at_a_limit_new_keys_are_refused_and_bound_keys_finish)
{
    for (const control::key_limits limits :
         {control::key_limits{2, 1'000'000, 4'096}, control::key_limits{1'000, 400, 4'096}}) {
        auto table = table_at(0s, limits);
        table.bind(make_bind(make_key(0s, "aaaaaaaa"), 1, 1));
        table.bind(make_bind(make_key(0s, "bbbbbbbb"), 2, 1));
        BOOST_TEST(table.full());
        const auto refused = table.bind(make_bind(make_key(0s, "cccccccc"), 3, 1));
        BOOST_TEST((refused.state == key_state::unavailable));
        BOOST_TEST(table.size() == 2U);
        const auto again = table.bind(make_bind(make_key(0s, "aaaaaaaa"), 9, 1));
        BOOST_TEST((again.state == key_state::bound_elsewhere));
        const auto finished = table.finish(make_finish(make_key(0s, "aaaaaaaa"), 1, 1));
        BOOST_TEST((finished.state == key_state::finished));
    }
}

BOOST_AUTO_TEST_SUITE_END()
