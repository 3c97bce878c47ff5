#pragma once

#include "net/asio.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <future>
#include <thread>
#include <unistd.h>
#include <vector>

// Runs an io_context on several threads, so that sanitizer builds exercise the thread interleavings of a real
// process.
class net_threads {
public:
    explicit net_threads(std::size_t count = 4)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_threads.emplace_back([this] { io.run(); });
        }
    }
    net_threads(const net_threads&) = delete;
    net_threads& operator=(const net_threads&) = delete;
    ~net_threads() { stop(); }

    void stop()
    {
        m_work.reset();
        io.stop();
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    // Runs a coroutine to completion and returns its result. The timeout only stops a test that hangs.
    template <typename T>
    T run(std::function<verbena::net::task<T>()> body)
    {
        auto done = std::make_shared<std::promise<T>>();
        std::future<T> value = done->get_future();
        verbena::net::asio::co_spawn(io, body(), [done](const std::exception_ptr& failure, T result) {
            failure ? done->set_exception(failure) : done->set_value(std::move(result));
        });
        BOOST_TEST_REQUIRE((value.wait_for(std::chrono::seconds(20)) == std::future_status::ready));
        return value.get();
    }

    verbena::net::asio::io_context io;

private:
    verbena::net::asio::executor_work_guard<verbena::net::asio::io_context::executor_type> m_work =
        verbena::net::asio::make_work_guard(io);
    std::vector<std::thread> m_threads;
};

// Returns a port on loopback that is free now. The kernel gives connections ports from 32,768 upwards, so a
// lower port is not taken by a connection before the test listens on it; test processes begin at different
// ports.
inline std::uint16_t free_port()
{
    constexpr unsigned first = 10'000;
    constexpr unsigned count = 22'000;
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 97};
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        verbena::net::asio::io_context io;
        verbena::net::tcp::acceptor acceptor(io);
        boost::system::error_code failure;
        acceptor.open(verbena::net::tcp::v4());
        acceptor.bind({verbena::net::asio::ip::address_v4::loopback(), port}, failure);
        if (!failure) {
            return port;
        }
    }
}

// Waits until `condition` holds. Returns false after a timeout, which only stops a test that hangs.
template <typename Condition>
bool eventually(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}
