#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

// More than the kernel buffers for one connection whose receiver reads nothing: it sizes send buffers up to
// 4 MB unless told otherwise.
constexpr std::size_t upload = 8'000'000;

// Such an upload takes about 2 s in the unoptimised build with sanitizers, and longer beside other tests.
constexpr std::chrono::milliseconds time_limit{12'000};

constexpr std::array<const char*, 4> runner_ids{"model-a", "model-b", "desk-a", "desk-b"};
constexpr std::array<const char*, 3> paths{"/once/1", "/safe/1", "/model/1"};

const std::string head = " Status\r\nRequest-Id: ID\r\nRunner-Seal: s1.standin\r\nContent-Type: ";

// A deployment that takes long uploads, and whose runners answer them before they read the body and then
// reset the connection.
struct early_fixture {
    platform_deployment system;

    early_fixture()
    {
        system.start_serving();
        std::string configuration = platform_deployment::configuration(2);
        boost::replace_first(configuration, R"("max_body_bytes":100000)", R"("max_body_bytes":10000000)");
        for (const char* timeout : {R"("timeout_ms":1500)", R"("timeout_ms":3000)", R"("timeout_ms":6000)"}) {
            boost::replace_first(configuration, timeout,
                                 R"("timeout_ms":)" + std::to_string(time_limit.count()));
        }
        BOOST_TEST_REQUIRE(eventually([&] {
            return system.control("POST", std::string(platform::names::publish), configuration).status == 200;
        }));
        for (const char* path : paths) {
            platform_deployment::answer last;
            const bool served = eventually([&] {
                last = ask(path);
                return last.status == 200;
            });
            BOOST_TEST_REQUIRE(served, path << ": " << last.status << " " << last.body << last.failure);
        }
    }

    platform_deployment::answer ask(const std::string& path)
    {
        system.check_in_all(); // a runner that does not check in again is listed for 8 s
        platform_deployment::call spec;
        spec.path = path;
        spec.body = std::string(upload, 'x');
        spec.deadline = time_limit;
        return system.request(spec);
    }

    // What a caller gets while all runners answer with this text and end the connection in this way.
    platform_deployment::answer answer_to(const std::string& path, const std::string& text,
                                          runner_fault ending = runner_fault::cut_head_reset)
    {
        std::size_t runs = 0;
        for (const char* id : runner_ids) {
            runs += system.requests_at(id);
            system.runner(id).set_head(text, std::string::npos);
            system.runner(id).answer_early(true);
            system.runner(id).set_faults(std::vector(3, ending));
        }
        platform_deployment::answer found = ask(path);
        for (const char* id : runner_ids) {
            runs -= system.requests_at(id);
        }
        BOOST_TEST(runs != 0U);
        return found;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_early_answer)

// Guards against a part of an answer without a length that reaches callers as the whole when its connection
// is reset while the request is being written.
BOOST_FIXTURE_TEST_CASE(early_answer_that_is_reset_is_not_whole, early_fixture)
{
    for (const std::string status : {"200", "404", "500"}) {
        for (const std::string rest :
             {"text/plain\r\n\r\na part of the answer", "text/event-stream\r\n\r\nid: 1\ndata: a\n\n"}) {
            for (const runner_fault ending :
                 {runner_fault::cut_head_reset, runner_fault::half_closed_reset}) {
                for (const std::string path : paths) {
                    const auto answer = answer_to(path, "HTTP/1.1 " + status + head + rest, ending);
                    BOOST_TEST((answer.status == 502 || answer.status == 0),
                               path << ", " << status << " " << rest << ": " << answer.status);
                }
            }
        }
    }
}

// Guards against a stream that ends at the reset although another endpoint can go on with it.
BOOST_FIXTURE_TEST_CASE(stream_that_is_reset_goes_on_elsewhere, early_fixture)
{
    standin::platform_runner& runner = system.runner("model-a");
    runner.set_head("HTTP/1.1 200" + head + "text/event-stream\r\n\r\nid: 1\ndata: model-a\n\n",
                    std::string::npos);
    runner.answer_early(true);
    const std::size_t before = system.requests_at("model-a");
    for (int i = 0; i < 40 && system.requests_at("model-a") == before; ++i) {
        runner.set_faults({runner_fault::cut_head_reset});
        const auto answer = ask("/model/1");
        const std::string first = system.requests_at("model-a") == before ? "model-b" : "model-a";
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.body ==
                   "id: 1\ndata: " + first +
                       "\n\nid: 2\ndata: model-b\n\nid: 3\ndata: model-b\n\nid: 4\ndata: model-b\n\n");
    }
    BOOST_TEST(system.requests_at("model-a") == before + 1);
}

// Guards against answers that are lost because the rest of the request can't be written.
BOOST_FIXTURE_TEST_CASE(early_answer_that_states_its_end_is_whole, early_fixture)
{
    for (const std::string rest :
         {"text/plain\r\nContent-Length: 4\r\n\r\ntext",
          "text/plain\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
          "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"}) {
        for (const std::string path : paths) {
            const auto answer = answer_to(path, "HTTP/1.1 200" + head + rest);
            BOOST_TEST(answer.status == 200U, path << ", " << rest << ": " << answer.failure);
            BOOST_TEST((answer.body == "text" || answer.body == "id: 1\ndata: a\n\n"));
        }
    }
}

// Guards against an answer that is lost because its runner ends its side of the connection and reads on.
BOOST_FIXTURE_TEST_CASE(early_answer_of_a_runner_that_reads_on_is_whole, early_fixture)
{
    for (const std::string path : paths) {
        const auto answer =
            answer_to(path, "HTTP/1.1 200" + head + "text/plain\r\n\r\ntext", runner_fault::half_closed);
        BOOST_TEST(answer.status == 200U, path << ": " << answer.failure);
        BOOST_TEST(answer.body == "text");
    }
}

BOOST_AUTO_TEST_SUITE_END()
