#include "broken_heads.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace verbena;
using standin::runner_fault;

namespace {

const std::vector<std::string> heads{
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRunner-Seal: s1.standin\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRunner-Seal: s1.standin\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRunner-Seal: s1.standin\r\nContent-Type: text/plain\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRunner-Seal: "
    "s1.standin\r\n\r\n"};

const std::string identity = "Request-Id: ID\r\nRunner-Seal: s1.standin\r\n";

constexpr std::array<const char*, 3> paths{"/once/1", "/safe/1", "/model/1"};

struct heads_fixture {
    platform_deployment system;

    heads_fixture() { system.start_serving(); }

    // The status that the caller of a request gets while all runners cut their heads like this.
    unsigned status_of(const std::string& path, const std::string& head, std::size_t bytes,
                       runner_fault fault)
    {
        const std::size_t before = runs();
        for (const char* id : runner_ids) {
            system.runner(id).set_head(head, bytes);
            system.runner(id).set_faults({fault, fault, fault});
        }
        platform_deployment::call spec;
        spec.path = path;
        spec.deadline = std::chrono::milliseconds(2'000);
        const unsigned status = system.request(spec).status;
        BOOST_TEST(runs() > before);
        return status;
    }

    std::size_t runs()
    {
        std::size_t count = 0;
        for (const char* id : runner_ids) {
            count += system.requests_at(id);
        }
        return count;
    }

    static constexpr std::array<const char*, 4> runner_ids{"model-a", "model-b", "desk-a", "desk-b"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_heads)

// Guards against heads of answers that are cut and reach callers as whole answers.
BOOST_FIXTURE_TEST_CASE(head_that_is_cut_is_no_answer, heads_fixture)
{
    constexpr std::size_t step = 13;
    for (const std::string& head : heads) {
        for (const runner_fault fault : {runner_fault::cut_head, runner_fault::cut_head_reset}) {
            for (std::size_t bytes = 0; bytes < head.size() - 1; bytes += step) {
                for (const std::string path : {"/once/1", "/safe/1", "/model/1"}) {
                    const unsigned status = status_of(path, head, bytes, fault);
                    BOOST_TEST(status >= 500,
                               path << ", " << bytes << " bytes of " << head << ": " << status);
                }
            }
        }
    }
}

// Guards against answers that end after their head and reach callers as whole and empty.
BOOST_FIXTURE_TEST_CASE(whole_head_without_length_or_body_is_no_answer, heads_fixture)
{
    for (const std::string& head : heads) {
        for (const runner_fault fault : {runner_fault::cut_head, runner_fault::cut_head_reset}) {
            for (const std::string path : {"/once/1", "/safe/1", "/model/1"}) {
                const unsigned status = status_of(path, head, std::string::npos, fault);
                BOOST_TEST((status >= 500 || status == 0), path << ", all of " << head << ": " << status);
            }
        }
    }
}

// Guards against an endpoint in trouble whose status is none, and that reaches callers as an answer.
BOOST_FIXTURE_TEST_CASE(head_without_a_final_status_is_no_answer, heads_fixture)
{
    for (const std::string& status : broken_heads::statuses) {
        for (const broken_heads::form& form : broken_heads::forms) {
            const std::string head =
                "HTTP/1.1 " + status + "\r\n" + identity + form.type + form.framing + "\r\n" + form.body;
            for (const std::string path : paths) {
                BOOST_TEST(status_of(path, head, std::string::npos, runner_fault::cut_head) == 502U,
                           path << ", " << head);
            }
        }
    }
}

// Guards against the answer of an endpoint in trouble whose head has lines that are no fields, and that
// reaches callers. A line that begins with a blank is taken for a part of the field before it.
BOOST_FIXTURE_TEST_CASE(head_with_a_broken_field_name_is_no_answer, heads_fixture)
{
    for (const std::string& answer : broken_heads::answers_with_lines(identity)) {
        for (const std::string path : paths) {
            BOOST_TEST(status_of(path, answer, std::string::npos, runner_fault::cut_head) == 502U,
                       path << ", " << answer);
        }
    }
}

// Guards against a body that is not the endpoint's: its coding is removed from the head but not from the
// body, or its end is not where the length says.
BOOST_FIXTURE_TEST_CASE(answer_with_an_unknown_transfer_coding_is_no_answer, heads_fixture)
{
    for (const std::string& answer : broken_heads::answers_with_codings(identity)) {
        for (const std::string path : paths) {
            BOOST_TEST(status_of(path, answer, std::string::npos, runner_fault::cut_head) == 502U,
                       path << ", " << answer);
        }
    }
}

// Guards against an interim head that is taken for the answer, and against interim heads without end.
BOOST_FIXTURE_TEST_CASE(interim_heads_are_skipped_up_to_a_bound, heads_fixture)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRunner-Seal: s1.standin\r\n"
                               "Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    std::string many;
    for (int i = 0; i < 20; ++i) {
        many += hints;
    }
    for (const std::string path : {"/once/1", "/safe/1", "/model/1"}) {
        const std::string few = "HTTP/1.1 100 Continue\r\n\r\n" + hints + answer;
        BOOST_TEST(status_of(path, few, std::string::npos, runner_fault::cut_head) == 200U, path);
        BOOST_TEST(status_of(path, many + answer, std::string::npos, runner_fault::cut_head) == 502U, path);
    }
}

BOOST_AUTO_TEST_SUITE_END()
