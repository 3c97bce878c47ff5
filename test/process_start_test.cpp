#include "process_fixture.h"

#include <boost/asio/connect.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sys/stat.h>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// A process whose settings file is a pipe, so that it reads its settings when the test writes them.
class starting_process {
public:
    explicit starting_process(const std::string& role) : m_role(role)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "verbena-start-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_folder = pattern;
        BOOST_TEST_REQUIRE(::mkfifo(settings_file().c_str(), 0600) == 0);
        process = std::make_unique<server_process>(role, settings_file(), m_folder + "/log");
        BOOST_TEST_REQUIRE(process->start().has_value());
    }
    starting_process(const starting_process&) = delete;
    starting_process& operator=(const starting_process&) = delete;
    ~starting_process()
    {
        process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    // Opens the pipe, which waits until the process reads its settings; `meanwhile` runs before they are
    // there.
    void write_settings(const std::function<void()>& meanwhile)
    {
        std::ofstream pipe(settings_file());
        meanwhile();
        pipe << "[node]\nname = start\ncluster = test\nworkers = 1\nstop_delay = 0ms\ncontrol = "
             << local(control_port) << "\nmetrics_listen = " << local(metrics_port) << "\n";
        if (m_role == "entry") {
            pipe << "[entry]\nfront = routed\nlisten = " << local(port)
                 << "\npeer_listen = " << local(peer_port) << "\n";
        } else {
            pipe << "[control]\nlisten = " << local(control_port) << "\noperator_listen = " << local(port)
                 << "\ndata = " << m_folder << "/data\nbootstrap = true\nmember_id = 0\n";
        }
    }

    // Whether the process serves at its own address.
    bool listens() const
    {
        net::asio::io_context io;
        net::tcp::socket socket(io);
        net::error_code failure;
        socket.connect({net::asio::ip::address_v4::loopback(), port}, failure);
        return !failure && process->output().find("\"started\"") != std::string::npos;
    }

    const std::uint16_t port = free_port();
    const std::uint16_t peer_port = free_port();
    const std::uint16_t metrics_port = free_port();
    const std::uint16_t control_port = free_port();
    std::unique_ptr<server_process> process;

private:
    std::string settings_file() const { return m_folder + "/settings.ini"; }

    const std::string m_role;
    std::string m_folder;
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_start)

// Guards against a process that is ended by a reload of its settings while it still reads them.
BOOST_AUTO_TEST_CASE(a_reload_during_the_start_does_not_end_the_process)
{
    for (const char* role : {"entry", "control"}) {
        starting_process started(role);
        started.write_settings([&] { BOOST_TEST(started.process->signal(SIGHUP)); });
        BOOST_TEST(eventually([&] { return started.listens(); }));
        BOOST_TEST(started.process->running());
    }
}

// Guards against a stop during the start that looks like a crash.
BOOST_AUTO_TEST_CASE(a_stop_during_the_start_ends_the_process_cleanly)
{
    for (const char* role : {"entry", "control"}) {
        starting_process started(role);
        started.write_settings([&] { BOOST_TEST(started.process->signal(SIGTERM)); });
        const auto exit = started.process->wait_exit(10s);
        BOOST_TEST_REQUIRE(exit.has_value());
        BOOST_TEST(exit->signal == 0);
        BOOST_TEST(exit->code == 0);
    }
}

// Guards against a process that does not start because its predecessor, or a client's connection, still uses
// one of its addresses.
BOOST_AUTO_TEST_CASE(an_address_in_use_is_waited_for)
{
    net::asio::io_context io;
    for (const char* role : {"entry", "control"}) {
        starting_process started(role);
        net::tcp::acceptor held(io, {net::asio::ip::address_v4::loopback(), started.port});
        started.write_settings([] {});
        std::this_thread::sleep_for(2s);
        BOOST_TEST(started.process->running());
        held.close();
        BOOST_TEST(eventually([&] { return started.listens(); }));
    }
}

// The wait for an address does not keep a process from stopping.
BOOST_AUTO_TEST_CASE(a_stop_ends_the_wait_for_an_address)
{
    net::asio::io_context io;
    starting_process started("entry");
    net::tcp::acceptor held(io, {net::asio::ip::address_v4::loopback(), started.port});
    started.write_settings([] {});
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(started.process->signal(SIGTERM));
    const auto exit = started.process->wait_exit(2s);
    BOOST_TEST_REQUIRE(exit.has_value());
    BOOST_TEST(exit->code == 0);
}

BOOST_AUTO_TEST_SUITE_END()
