#include "control/control_service.h"
#include "net/http_client.h"
#include "net_fixture.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <thread>

using namespace verbena;

namespace {

// Timeout of each step. Steps normally take well under a second.
constexpr std::chrono::seconds step_timeout{30};

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Keeps the process object alive until exit: as in production, the destructors of suspended coroutines are
// not run.
void keep_alive(std::unique_ptr<node::process> process)
{
    static auto* kept = new std::vector<std::unique_ptr<node::process>>;
    kept->push_back(std::move(process));
}

// A control member with its own data folder and worker.
class member {
public:
    member(std::uint64_t id, bool initialise) : m_frames(free_port()), m_calls(free_port())
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "verbena-join-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_folder = pattern;
        settings::node_settingsT node;
        node.name = "control-" + std::to_string(id);
        node.cluster = "test";
        node.workers = 1;
        auto process = node::process::create(node);
        BOOST_TEST_REQUIRE(process.has_value());
        m_process = std::move(process.value());
        settings::control_settingsT control;
        control.listen = local(m_frames);
        control.operator_listen = local(m_calls);
        control.data = m_folder;
        control.member_id = id;
        control.peers = std::to_string(id) + "=" + local(m_frames);
        auto service = control::control_service::create(*m_process, control, initialise);
        BOOST_TEST_REQUIRE(service.has_value());
        m_service = service.value();
        m_service->start();
        m_thread = std::thread([this] { m_process->io().run(); });
    }
    member(const member&) = delete;
    member& operator=(const member&) = delete;
    ~member()
    {
        m_process->io().stop();
        m_thread.join();
        keep_alive(std::move(m_process));
        std::filesystem::remove_all(m_folder);
    }

    std::string frames() const { return local(m_frames); }

    boost::json::value call(const std::string& name, const std::string& body) const
    {
        net::asio::io_context io;
        std::string reply = "{}";
        net::http_call request;
        request.target = "/operator/v1/" + name;
        request.body = body;
        const host_port address{"127.0.0.1", m_calls};
        net::asio::co_spawn(
            io,
            [&]() -> net::task<void> {
                auto answer = co_await net::fetch_http(address, std::move(request), milliseconds(5'000));
                if (answer) {
                    reply = answer.value().body;
                }
            },
            net::asio::detached);
        io.run();
        boost::system::error_code failure;
        return boost::json::parse(reply, failure);
    }

private:
    std::uint16_t m_frames;
    std::uint16_t m_calls;
    std::string m_folder;
    std::unique_ptr<node::process> m_process;
    std::shared_ptr<control::control_service> m_service;
    std::thread m_thread;
};

bool is_voter(const boost::json::value& status, std::int64_t id)
{
    const auto* members = status.is_object() ? status.get_object().if_contains("members") : nullptr;
    if (members == nullptr) {
        return false;
    }
    for (const auto& item : members->get_array()) {
        if (item.at("id").to_number<std::int64_t>() == id) {
            return !item.at("learner").get_bool();
        }
    }
    return false;
}

template <typename Check>
bool wait_until(Check check)
{
    const time_point deadline = clock::now() + step_timeout;
    while (clock::now() < deadline) {
        if (check()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_join)

// Guards against a joining member that never catches up because its empty log holds no address to reply to.
BOOST_AUTO_TEST_CASE(a_member_with_an_empty_folder_joins_and_becomes_a_voter)
{
    const member first(1, true);
    const member second(2, false);
    const std::string add_request = "{\"id\": 2, \"address\": \"" + second.frames() + "\"}";
    BOOST_TEST(wait_until([&] {
        const auto reply = first.call("add_member", add_request);
        const auto* outcome = reply.is_object() ? reply.get_object().if_contains("result") : nullptr;
        return outcome != nullptr && *outcome == "accepted";
    }));
    BOOST_TEST(wait_until([&] { return is_voter(first.call("status", "{}"), 2); }));
}

BOOST_AUTO_TEST_SUITE_END()
