#include "forward/endpoint_call.h"
#include "net_fixture.h"
#include "platform/http_protocol_adapter.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdio>
#include <fstream>
#include <optional>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

// More than the kernel buffers for one connection, so that the request is never written as a whole.
constexpr std::size_t upload = 64 * 1024 * 1024;

// The most that one step of a case takes. It only stops a test that hangs.
constexpr auto step_limit = 10s;

// Time for the whole of an answer.
constexpr auto read_limit = 3s;

// How the endpoint ends its connection. All but `reset` end its side first; then it reads the rest of the
// request, reads nothing, or resets the connection.
enum class ending : std::uint8_t { reset, half_closed, half_closed_silent, half_closed_reset };

// One request whose endpoint answers while the request is still being written, and then ends the connection.
// Both run on one thread, which makes the order of events certain.
class early_answer {
public:
    explicit early_answer(const std::string& text)
    {
        net::asio::co_spawn(m_io, begin(), net::asio::detached);
        run_until([this] { return m_accepted; });
        std::string head;
        net::asio::async_read_until(m_peer, net::asio::dynamic_buffer(head), "\r\n\r\n",
                                    [this](net::error_code, std::size_t) { m_request_head = true; });
        run_until([this] { return m_request_head; });
        net::asio::write(m_peer, net::asio::buffer(text));
        run_until([this] { return m_answer_head.has_value(); });
        BOOST_TEST_REQUIRE(m_answer_head->has_value());
    }

    // Ends the connection and reads the rest of the answer. `pending_read`: the read begins before the end.
    // Returns the body, or the error that ended it.
    result<std::string> end(ending how, bool pending_read)
    {
        m_io.poll();
        BOOST_TEST_REQUIRE(is_writing());
        if (pending_read) {
            start_reading();
            m_io.poll();
        }
        if (how != ending::reset) {
            m_peer.shutdown(net::tcp::socket::shutdown_send);
        }
        if (how == ending::half_closed) {
            BOOST_TEST_REQUIRE(!is_complete_within(100ms));
            net::asio::co_spawn(m_io, read_request(), net::asio::detached);
        }
        if (how == ending::reset || how == ending::half_closed_reset) {
            m_peer.set_option(net::asio::socket_base::linger(true, 0));
            m_peer.close();
            BOOST_TEST_REQUIRE(eventually([this] { return !is_connected(); }));
            run_until([this] { return !is_writing(); });
        }
        if (!pending_read) {
            start_reading();
        }
        run_until([this] { return m_body.has_value(); });
        m_call->close();
        run_until([this] { return !is_writing(); });
        return *m_body;
    }

private:
    net::task<void> begin()
    {
        net::asio::co_spawn(m_io, accept(), net::asio::detached);
        const host_port address{"127.0.0.1", m_acceptor.local_endpoint().port()};
        if (co_await m_call->connect(address, 1s)) {
            m_call->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(upload) + "\r\n",
                         std::string(upload, 'x'));
        }
        const platform::http_protocol_adapter protocol;
        m_answer_head = co_await m_call->read_head(protocol, clock::now() + step_limit);
    }

    net::task<void> accept()
    {
        co_await m_acceptor.async_accept(m_peer, net::no_throw);
        m_accepted = true;
    }

    void start_reading()
    {
        net::asio::co_spawn(
            m_io,
            [this]() -> net::task<void> {
                std::string body;
                while (true) {
                    const result<std::string> bytes = co_await m_call->read_some(clock::now() + read_limit);
                    if (!bytes || bytes.value().empty()) {
                        m_body = bytes ? result<std::string>(body) : bytes;
                        co_return;
                    }
                    body += bytes.value();
                }
            },
            net::asio::detached);
    }

    net::task<void> read_request()
    {
        std::vector<char> rest(1024 * 1024);
        while (true) {
            auto [failure, size] = co_await m_peer.async_read_some(net::asio::buffer(rest), net::no_throw);
            if (failure) {
                co_return;
            }
        }
    }

    bool is_complete_within(milliseconds span)
    {
        const auto end = clock::now() + span;
        while (clock::now() < end && !m_body) {
            m_io.run_one_for(10ms);
        }
        return m_body.has_value();
    }

    // The coroutine that writes the request shares the call, as does the timer of a pending read.
    bool is_writing() const { return m_call.use_count() > 1; }

    // Whether the kernel has a connection to the endpoint that can be read and written.
    bool is_connected() const
    {
        char peer[32];
        std::snprintf(peer, sizeof peer, " 0100007F:%04X 01 ",
                      static_cast<unsigned>(m_acceptor.local_endpoint().port()));
        std::ifstream table("/proc/self/net/tcp");
        for (std::string line; std::getline(table, line);) {
            if (line.find(peer) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto deadline = clock::now() + step_limit;
        while (!condition()) {
            BOOST_TEST_REQUIRE((clock::now() < deadline));
            m_io.run_one_for(10ms);
        }
    }

    net::asio::io_context m_io;
    net::asio::executor_work_guard<net::asio::io_context::executor_type> m_work = make_work_guard(m_io);
    net::tcp::acceptor m_acceptor{m_io, {net::asio::ip::address_v4::loopback(), 0}};
    net::tcp::socket m_peer{m_io};
    std::shared_ptr<forward::endpoint_call> m_call =
        std::make_shared<forward::endpoint_call>(m_io.get_executor());
    bool m_accepted = false;
    bool m_request_head = false;
    std::optional<result<forward::answer_metadata>> m_answer_head;
    std::optional<result<std::string>> m_body;
};

const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRunner-Seal: s1\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(forward_early_answer)

// Guards against a part of an answer without a length that passes for the whole because the write of the
// request has taken the report of the reset.
BOOST_AUTO_TEST_CASE(reset_while_the_request_is_written_does_not_end_an_answer)
{
    for (const bool pending_read : {false, true}) {
        const result<std::string> body = early_answer(head + "\r\npart").end(ending::reset, pending_read);
        BOOST_TEST(!body.has_value(), "read before the reset: " << pending_read);
    }
}

// Guards against answers that are lost because the rest of the request can't be written.
BOOST_AUTO_TEST_CASE(answer_that_states_its_end_is_whole_after_a_reset)
{
    for (const bool pending_read : {false, true}) {
        for (const std::string framed :
             {"Content-Length: 4\r\n\r\ntext", "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"}) {
            const result<std::string> body = early_answer(head + framed).end(ending::reset, pending_read);
            BOOST_TEST_REQUIRE(body.has_value(), framed);
            BOOST_TEST(body.value() == "text");
        }
    }
}

// Guards against answers that are lost because their endpoint ends its side of the connection before it has
// read the request: they are whole once it has.
BOOST_AUTO_TEST_CASE(endpoint_that_reads_on_ends_an_answer_without_a_length)
{
    for (const bool pending_read : {false, true}) {
        const result<std::string> body =
            early_answer(head + "\r\ntext").end(ending::half_closed, pending_read);
        BOOST_TEST_REQUIRE(body.has_value(), "read before the end: " << pending_read);
        BOOST_TEST(body.value() == "text");
    }
}

// Guards against a part of an answer without a length that passes for the whole because the endpoint, which
// goes away or reads nothing more, has ended its side of the connection first.
BOOST_AUTO_TEST_CASE(endpoint_that_does_not_read_on_ends_no_answer_without_a_length)
{
    for (const bool pending_read : {false, true}) {
        for (const ending how : {ending::half_closed_reset, ending::half_closed_silent}) {
            const result<std::string> body = early_answer(head + "\r\npart").end(how, pending_read);
            BOOST_TEST(!body.has_value(), "ending " << static_cast<int>(how));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
