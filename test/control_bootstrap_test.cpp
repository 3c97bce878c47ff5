#include "control/bootstrap.h"
#include "net/peer_pool.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace verbena;

namespace {

// A member that answers freshness queries with a fixed revision.
class member : public net::connection_handler {
public:
    explicit member(revision applied) : m_applied(applied)
    {
        net::connection_options options;
        options.self = net::peer_info{wire::role::control, "m", "c", 1};
        auto created = net::frame_server::create(m_io, host_port{"127.0.0.1", 0}, options, *this);
        BOOST_TEST_REQUIRE(created.has_value());
        m_server = created.value();
        m_server->start();
        m_thread = std::thread([this] { m_io.run(); });
    }
    member(const member&) = delete;
    member& operator=(const member&) = delete;
    ~member() override
    {
        m_io.stop();
        m_thread.join();
    }

    void on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame) override
    {
        wire::freshness_replyT reply;
        reply.applied_revision = m_applied;
        stream->send(net::make_frame(std::move(reply)));
    }

    host_port address() const { return {"127.0.0.1", m_server->port()}; }

private:
    revision m_applied;
    net::asio::io_context m_io;
    std::shared_ptr<net::frame_server> m_server;
    std::thread m_thread;
};

const net::peer_info self{wire::role::control, "init", "c", 2};
constexpr milliseconds timeout{2'000};

} // namespace

BOOST_AUTO_TEST_SUITE(control_bootstrap)

// Guards against a member that has lost its disk, is initialised again under its old id and votes without its
// earlier votes and log entries.
BOOST_AUTO_TEST_CASE(initialisation_is_refused_when_the_group_exists)
{
    const member fresh(0);
    const member used(3);
    const result<void> refused = control::check_new_group({fresh.address(), used.address()}, self, timeout);
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().kind == error_kind::conflict));
    BOOST_TEST(refused.error().remedy.find("new member id") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_new_group_may_be_initialised)
{
    const member fresh(0);
    BOOST_TEST(control::check_new_group({fresh.address()}, self, timeout).has_value());
    BOOST_TEST(control::check_new_group({}, self, timeout).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
