#include "chat_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using resume_answer = engine_script::resume_answer;

namespace {

struct fixture {
    chat_deployment system;

    chat_deployment::answer ask(const engine_script& script, bool streamed = true, milliseconds deadline = 8s)
    {
        // An entry sends no requests to an endpoint for a while after failures there.
        system.engine.set({});
        BOOST_TEST_REQUIRE(eventually([this] { return system.served(); }));
        system.engine.set(script);
        return system.request(streamed, deadline);
    }
};

// The events of the tokens before `end`.
std::string token_text(std::uint32_t end)
{
    std::string text;
    for (std::uint32_t i = 0; i < end; ++i) {
        text += "data: {\"token\":" + std::to_string(i) + "}\n\n";
    }
    return text;
}

void check_whole(const chat_deployment::answer& answer, const engine_script& script)
{
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body ==
               token_text(script.tokens) + "data: {\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n");
}

// The stream ends after `tokens` events with the entry's error event and without its last chunk.
void check_broken(const chat_deployment::answer& answer, std::uint32_t tokens)
{
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(!answer.complete);
    BOOST_TEST(answer.body.starts_with(token_text(tokens) + "event: error\n"));
    BOOST_TEST(answer.body.find("text of an error") == std::string::npos);
    BOOST_TEST(answer.body.find("HTTP/1.1") == std::string::npos);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(chat_stream, fixture)

// Guards against streams that are given up because the engine generates nothing for a while.
BOOST_AUTO_TEST_CASE(stream_outlasts_pauses_of_the_engine)
{
    engine_script script;
    script.pauses = {{2, 1'500ms}, {4, 700ms}, {6, 700ms}};
    check_whole(ask(script), script);
    BOOST_TEST(system.engine.runs() == 1U);
    BOOST_TEST(system.engine.cancels() == 0U);
}

// Guards against streams that are given up because the engine answers no call for a while.
BOOST_AUTO_TEST_CASE(stream_outlasts_an_engine_that_answers_no_call)
{
    engine_script script;
    script.suspended_in_pauses = true;
    script.pauses = {{2, 3'000ms}};
    check_whole(ask(script), script);
}

// Guards against a pause before the first event or of an answer without events that ends the answer.
BOOST_AUTO_TEST_CASE(answer_outlasts_a_pause_before_its_first_byte)
{
    engine_script script;
    script.pauses = {{0, 2'500ms}};
    check_whole(ask(script), script);
    const auto buffered = ask(script, false);
    BOOST_TEST(buffered.status == 200U);
    BOOST_TEST(buffered.body == R"({"whole":true})");
}

// Guards against answers that wait for the deadline although the engine has lost the request.
BOOST_AUTO_TEST_CASE(stream_ends_when_the_engine_no_longer_holds_the_request)
{
    engine_script script;
    script.close_after = 2;
    script.pauses = {{2, 6'000ms}};
    script.resumes = resume_answer::not_found;
    const auto answer = ask(script);
    check_broken(answer, 2);
    BOOST_TEST((answer.duration < 3s));
    BOOST_TEST(system.engine.resumes() == 1U);
}

// Guards against a first connection that is given up although it still gives the rest of the answer.
BOOST_AUTO_TEST_CASE(first_connection_outlasts_an_engine_that_does_not_hold_the_request)
{
    engine_script script;
    script.pauses = {{2, 1'200ms}, {4, 700ms}};
    script.resumes = resume_answer::not_found;
    check_whole(ask(script), script);
    // Asked once in each pause.
    BOOST_TEST(system.engine.resumes() == 2U);
    BOOST_TEST(system.engine.cancels() == 0U);
}

// Guards against an answer that stays open after its deadline, or ends before it while its connection stands.
BOOST_AUTO_TEST_CASE(silent_first_connection_ends_at_the_deadline)
{
    engine_script script;
    script.pauses = {{2, 6'000ms}};
    script.resumes = resume_answer::not_found;
    const auto answer = ask(script, true, 2s);
    check_broken(answer, 2);
    BOOST_TEST((answer.duration >= 1'900ms));
    BOOST_TEST((answer.duration < 3s));
}

// Guards against a resume answered with an error that ends a stream whose first connection still stands.
BOOST_AUTO_TEST_CASE(unusable_answer_to_a_look_ends_no_stream)
{
    for (const auto kind : {resume_answer::server_error, resume_answer::other_type, resume_answer::no_events,
                            resume_answer::other_id}) {
        BOOST_TEST_CONTEXT("kind of answer " << int(kind))
        {
            engine_script script;
            script.pauses = {{2, 1'200ms}};
            script.resumes = kind;
            check_whole(ask(script), script);
        }
    }
}

// Guards against an unlimited number of resumes of an engine that breaks each connection.
BOOST_AUTO_TEST_CASE(broken_streams_are_resumed_three_times)
{
    engine_script script;
    script.close_after = 2;
    script.tokens = 6;
    check_whole(ask(script), script);
    BOOST_TEST(system.engine.resumes() == 3U);
    script.tokens = 20;
    check_broken(ask(script), 8);
    BOOST_TEST(system.engine.resumes() == 3U);
}

// Guards against a text that is repeated or cut when the engine breaks a stream and is then suspended.
BOOST_AUTO_TEST_CASE(broken_stream_is_resumed_when_the_engine_answers_again)
{
    engine_script script;
    script.close_after = 2;
    script.suspended_in_pauses = true;
    script.pauses = {{2, 2'600ms}};
    check_whole(ask(script), script);
}

// Guards against the text of an answer to a resume in the middle of a begun stream.
BOOST_AUTO_TEST_CASE(error_that_answers_a_resume_is_not_written_to_the_stream)
{
    for (const auto kind : {resume_answer::not_found, resume_answer::server_error, resume_answer::other_type,
                            resume_answer::no_events, resume_answer::other_id}) {
        BOOST_TEST_CONTEXT("kind of answer " << int(kind))
        {
            engine_script script;
            script.close_after = 3;
            script.close_inside_event = true;
            script.resumes = kind;
            check_broken(ask(script), 3);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
