#include "broken_heads.h"
#include "chat_fixture.h"
#include "raw_engine.h"

#include <ctime>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

enum class request_kind : std::uint8_t { streamed, whole, safe, once };

constexpr std::array model_kinds{request_kind::streamed, request_kind::whole};
constexpr std::array plain_kinds{request_kind::safe, request_kind::once};

constexpr auto deadline = 8s;

// A deployment whose engine, or plain service, answers as a script says.
class raw_deployment {
public:
    explicit raw_deployment(bool plain) : m_plain(plain) {}

    const auto& kinds() const { return m_plain ? plain_kinds : model_kinds; }

    // The answer to a request that has reached the engine.
    chat_deployment::answer ask(request_kind kind, const raw_script& script, std::size_t upload = 0)
    {
        // An entry sends no requests to an endpoint for a while after failures there.
        m_engine.set({});
        BOOST_TEST_REQUIRE(eventually([this] { return m_system.served(); }));
        m_engine.set(script);
        net::http_call call;
        call.target = "/v1/chat/completions";
        call.body = R"({"model":"m","messages":[{"content":"prompt"}],"max_tokens":16,"filler":")" +
                    std::string(upload, 'x') + R"(","stream":)" +
                    (kind == request_kind::streamed ? "true}" : "false}");
        if (m_plain) {
            call.target = kind == request_kind::safe ? "/services/desk/safe/1" : "/services/desk/once/1";
        }
        // On a busy machine the control member may not be there to record a key.
        chat_deployment::answer answer;
        BOOST_TEST_REQUIRE(eventually([&] {
            net::http_call keyed = call;
            keyed.headers.emplace_back("Idempotency-Key", next_key());
            answer = m_system.send(keyed, deadline);
            return m_engine.runs() != 0;
        }));
        BOOST_TEST(m_engine.runs() == 1U); // and not once more
        return answer;
    }

private:
    std::string next_key()
    {
        return std::to_string(std::time(nullptr)) + "-request-" + std::to_string(m_next_key++);
    }

    net_threads m_threads;
    raw_engine m_engine{m_threads.io};
    bool m_plain;
    chat_deployment m_system{{m_engine.port(), m_plain}};
    unsigned m_next_key = 1;
};

// The caller is told, in time, that its request may have run.
void check_unknown(const chat_deployment::answer& answer)
{
    BOOST_TEST((answer.status == 502U || answer.status == 409U), "status " << answer.status);
    BOOST_TEST(answer.body.find(R"("outcome":"unknown")") != std::string::npos, answer.body);
    BOOST_TEST((answer.duration < deadline / 2));
}

void for_each_kind(const std::function<void(raw_deployment&, request_kind)>& check)
{
    for (const bool plain : {false, true}) {
        raw_deployment system(plain);
        for (const request_kind kind : system.kinds()) {
            BOOST_TEST_CONTEXT("kind " << static_cast<int>(kind))
            {
                check(system, kind);
            }
        }
    }
}

void check_no_answers(const std::vector<std::string>& answers)
{
    for_each_kind([&](raw_deployment& system, request_kind kind) {
        for (const std::string& answer : answers) {
            BOOST_TEST_CONTEXT(answer)
            {
                check_unknown(system.ask(kind, {answer}));
            }
        }
    });
}

std::string repeated(const std::string& text, int count)
{
    std::string all;
    for (int i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string answer_ok =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

} // namespace

BOOST_AUTO_TEST_SUITE(agent_heads)

// Guards against an engine in trouble whose status is none, and that reaches callers as an answer.
BOOST_AUTO_TEST_CASE(head_without_a_final_status_is_no_answer)
{
    for_each_kind([](raw_deployment& system, request_kind kind) {
        for (const std::string& status : broken_heads::statuses) {
            for (const broken_heads::form& form : broken_heads::forms) {
                const std::string answer =
                    "HTTP/1.1 " + status + "\r\n" + form.type + form.framing + "\r\n" + form.body;
                BOOST_TEST_CONTEXT(answer)
                {
                    check_unknown(system.ask(kind, {answer}));
                }
            }
        }
    });
}

// Guards against the answer of an engine in trouble whose head has lines that are no fields, and that reaches
// callers.
BOOST_AUTO_TEST_CASE(head_with_a_broken_field_name_is_no_answer)
{
    check_no_answers(broken_heads::answers_with_lines(""));
}

// Guards against a body that is not the engine's: nobody removes its coding, or its end is not where the
// length says.
BOOST_AUTO_TEST_CASE(answer_with_an_unknown_transfer_coding_is_no_answer)
{
    check_no_answers(broken_heads::answers_with_codings(""));
}

// Guards against an interim head that is taken for the answer.
BOOST_AUTO_TEST_CASE(interim_heads_are_skipped)
{
    for_each_kind([](raw_deployment& system, request_kind kind) {
        const auto answer = system.ask(kind, {"HTTP/1.1 100 Continue\r\n\r\n" + hints + answer_ok});
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.complete);
        BOOST_TEST(answer.body.starts_with("{}"));
    });
}

// Guards against interim heads that keep a caller waiting.
BOOST_AUTO_TEST_CASE(interim_heads_are_bounded)
{
    for_each_kind([](raw_deployment& system, request_kind kind) {
        check_unknown(system.ask(kind, {repeated(hints, 20) + answer_ok}));
        check_unknown(system.ask(kind, {.text = hints, .endless = true}));
    });
}

// Guards against a part of an answer without a length that passes for the whole when its connection is reset,
// also while the request is still being written.
BOOST_AUTO_TEST_CASE(early_answer_that_is_reset_is_not_whole)
{
    for_each_kind([](raw_deployment& system, request_kind kind) {
        for (const char* type : {"application/json", "text/event-stream"}) {
            for (const std::size_t upload : {std::size_t{6'000}, std::size_t{4'000'000}}) {
                for (const bool early : {false, true}) {
                    BOOST_TEST_CONTEXT(type << ", " << upload << " bytes" << (early ? ", early" : ""))
                    {
                        raw_script script;
                        script.text = "HTTP/1.1 200 OK\r\nContent-Type: " + std::string(type) +
                                      "\r\n\r\ndata: {\"token\":0}\n\n";
                        script.early = early;
                        script.reset = true;
                        const auto answer = system.ask(kind, script, upload);
                        BOOST_TEST((answer.status != 200U || !answer.complete), answer.body);
                        BOOST_TEST((answer.duration < deadline / 2));
                    }
                }
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
