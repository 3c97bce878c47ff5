#include "base/random.h"
#include "platform/names.h"
#include "platform_fixture.h"
#include "soak_seeds.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;
using standin::runner_fault;

namespace {

constexpr std::size_t step_count = 6;
constexpr std::size_t requests_per_batch = 9;

// A request that was sent; its body is unique.
struct sent_request {
    std::string path;
    std::string body;
    std::future<platform_deployment::answer> answer;
};

// Injects random faults into a deployment while callers send requests of each kind, then compares the answers
// with the requests that the runners received.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed) : m_seed(seed), m_random(seed) { m_system.start_serving(); }

    void run()
    {
        for (std::size_t step = 0; step < step_count; ++step) {
            send_requests();
            inject_fault();
            check_answers();
        }
        check_recovery();
        check_published();
    }

private:
    std::uint64_t random_below(std::uint64_t bound) { return m_random() % bound; }

    std::string random_runner()
    {
        static const std::vector<std::string> names{"model-a", "model-b", "desk-a", "desk-b"};
        return names[random_below(names.size())];
    }

    void send_requests()
    {
        static const std::vector<std::string> paths{"/model/1", "/once/1", "/safe/1"};
        for (std::size_t i = 0; i < requests_per_batch; ++i) {
            platform_deployment::call call;
            call.path = paths[i % paths.size()];
            call.body = "soak" + std::to_string(m_next_body++);
            call.deadline = 4s;
            call.prompt_parts = "aaaa:40," + std::to_string(m_next_body) + ":960";
            m_sent.push_back({call.path, call.body, m_system.request_later(call, random_below(2))});
        }
    }

    void inject_fault()
    {
        switch (random_below(8)) {
        case 0:
            return plan_faults();
        case 1:
            return m_system.restart_members();
        case 2:
            m_system.lose_disk(random_below(3));
            return m_system.check_in_all();
        case 3:
            return publish();
        case 4:
            return drain_and_restore();
        case 5:
            return evacuate_and_restore();
        case 6:
            return crash_under_a_prompt_part();
        default:
            plan_faults();
            return publish();
        }
    }

    void plan_faults()
    {
        static const std::vector<runner_fault> faults{
            runner_fault::refuse,           runner_fault::fail,   runner_fault::cut_in_event,
            runner_fault::wrong_request_id, runner_fault::no_mac, runner_fault::no_answer,
            runner_fault::extra_answer,     runner_fault::reset};
        for (int i = 0; i < 3; ++i) {
            m_system.runner(random_runner())
                .set_faults({faults[random_below(faults.size())], faults[random_below(faults.size())]});
        }
        send_requests();
    }

    // All model endpoints crash under a part that some requests have, and come back as new processes.
    void crash_under_a_prompt_part()
    {
        const std::string part = "bad" + std::to_string(m_next_body);
        for (const char* id : {"model-a", "model-b"}) {
            m_system.runner(id).set_crash({part, m_system.control_address(random_below(3)), 200ms});
        }
        for (int i = 0; i < 3; ++i) {
            platform_deployment::call call;
            call.body = "soak" + std::to_string(m_next_body++);
            call.deadline = 4s;
            call.prompt_parts = "aaaa:40," + part + ":10," + std::to_string(m_next_body) + ":950";
            m_sent.push_back({call.path, call.body, m_system.request_later(call, random_below(2))});
            send_requests();
        }
    }

    // An acknowledged version must persist; without an acknowledgement it may or may not be in force.
    void publish()
    {
        const std::uint64_t version = ++m_version;
        const std::string document = platform_deployment::configuration(version);
        const auto answer =
            m_system.control("POST", std::string(platform::names::publish), document, random_below(3));
        if (answer.status == 200) {
            m_acknowledged = document;
        }
    }

    unsigned check_in(const std::string& id, const std::string& state)
    {
        const host_port member = m_system.control_address(random_below(3));
        return m_system.threads().run<unsigned>(
            [this, id, member, state] { return m_system.runner(id).check_in(member, state); });
    }

    void drain_and_restore()
    {
        const std::string id = random_runner();
        check_in(id, "draining");
        send_requests();
        std::this_thread::sleep_for(200ms);
        BOOST_TEST(eventually([&] { return check_in(id, "ready") == 200; }));
    }

    void evacuate_and_restore()
    {
        const std::string domain = random_below(2) == 0 ? "domain-a" : "domain-b";
        m_system.control("POST", std::string(platform::names::start_evacuation) + domain, "",
                         random_below(3));
        send_requests();
        std::this_thread::sleep_for(200ms);
        const std::string in = std::string(platform::names::end_evacuation) + domain;
        BOOST_TEST(
            eventually([&] { return m_system.control("POST", in, "", random_below(3)).status == 200; }));
    }

    std::size_t count_runs(const std::string& body)
    {
        std::size_t runs = 0;
        for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
            for (const standin::runner_request& seen : m_system.runner(id).requests()) {
                runs += seen.body == body ? 1 : 0;
            }
        }
        return runs;
    }

    void check_answers()
    {
        for (sent_request& sent : m_sent) {
            const platform_deployment::answer answer = sent.answer.get();
            BOOST_TEST_CONTEXT("seed " << m_seed << ", " << sent.path << " " << sent.body << " status "
                                       << answer.status)
            {
                check_answer(sent, answer);
            }
        }
        m_sent.clear();
    }

    void check_answer(const sent_request& sent, const platform_deployment::answer& answer)
    {
        const std::size_t runs = count_runs(sent.body);
        if (sent.path == "/once/1") {
            BOOST_TEST(runs <= 1U);
        }
        BOOST_TEST(runs <= 2U);
        if (answer.status == 503 || answer.status == 429) {
            BOOST_TEST(runs == 0U);
        }
        if (answer.status != 200) {
            return;
        }
        BOOST_TEST(!answer.headers.at("Runner-Seal").empty());
        if (sent.path != "/model/1") {
            BOOST_TEST(answer.body == "ok " + sent.body);
            return;
        }
        std::size_t at = 0;
        for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
            const std::size_t found = answer.body.find(id, at);
            BOOST_TEST(found != std::string::npos);
            BOOST_TEST(answer.body.find(id, found + 1) == std::string::npos);
            at = found == std::string::npos ? at : found;
        }
    }

    void check_recovery()
    {
        for (const char* id : {"model-a", "model-b", "desk-a", "desk-b"}) {
            m_system.runner(id).set_faults({});
        }
        m_system.check_in_all();
        for (const char* path : {"/model/1", "/once/1", "/safe/1"}) {
            platform_deployment::call call;
            call.path = path;
            BOOST_TEST_CONTEXT("seed " << m_seed << ", " << path)
            {
                BOOST_TEST(eventually([&] {
                    call.body = "soak" + std::to_string(m_next_body++);
                    return m_system.request(call, random_below(2)).status == 200;
                }));
            }
        }
    }

    // Every member must return the acknowledged version, or a newer one whose acknowledgement was lost.
    void check_published()
    {
        const std::string get(platform::names::read_published);
        for (std::size_t member = 0; member < 3; ++member) {
            BOOST_TEST_CONTEXT("seed " << m_seed << ", member " << member)
            {
                BOOST_TEST(eventually([&] {
                    const auto read = m_system.control("GET", get, "", member);
                    return read.status == 200 && read.body.size() >= m_acknowledged.size() &&
                           version_of(read.body) >= version_of(m_acknowledged) &&
                           read.body == platform_deployment::configuration(version_of(read.body));
                }));
            }
        }
    }

    static std::uint64_t version_of(const std::string& document)
    {
        const std::string start = "{\"version\":";
        return document.starts_with(start) ? std::stoull(document.substr(start.size())) : 0;
    }

    const std::uint64_t m_seed;
    random_engine m_random;
    platform_deployment m_system;
    std::vector<sent_request> m_sent;
    std::uint64_t m_next_body = 1;
    std::uint64_t m_version = 1;
    std::string m_acknowledged = platform_deployment::configuration(1);
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_soak)

// Guards the guarantees to callers under combined faults: a non-repeatable request runs at most once, 503 and
// 429 mean that the request did not run, answers are complete and belong to their request, and acknowledged
// configurations persist.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    const auto [first, last] = soak_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        soak_run(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
