#pragma once

#include "net/asio.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string>
#include <sys/file.h>
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

    // An executor for one coroutine. The time limit of a stream closes its socket from a handler of its own,
    // which must not run beside the coroutine that uses the stream.
    verbena::net::asio::any_io_executor strand() { return verbena::net::asio::make_strand(io); }

    // Runs a coroutine to completion and returns its result. The timeout only stops a test that hangs.
    template <typename T>
    T run(std::function<verbena::net::task<T>()> body)
    {
        auto done = std::make_shared<std::promise<T>>();
        std::future<T> value = done->get_future();
        verbena::net::asio::co_spawn(strand(), body(), [done](const std::exception_ptr& failure, T result) {
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

// Ports of this test process, in blocks that no other test process uses. A block is held by a lock on a file
// until the process ends, so that a port stays free while the program that listens on it is restarted. The
// kernel gives connections ports from 32,768 upwards.
class port_blocks {
public:
    std::uint16_t next()
    {
        const std::lock_guard lock(m_mutex);
        if (m_used == block_size) {
            m_first = take_block();
            m_used = 0;
        }
        return static_cast<std::uint16_t>(m_first + m_used++);
    }

private:
    static constexpr unsigned first_port = 10'000;
    static constexpr unsigned block_size = 250;
    static constexpr unsigned block_count = 88;

    static unsigned take_block()
    {
        const auto start = static_cast<unsigned>(::getpid());
        for (unsigned i = 0; i < block_count; ++i) {
            const unsigned block = (start + i) % block_count;
            const std::string file =
                (std::filesystem::temp_directory_path() / "verbena-test-ports-").string() +
                std::to_string(block);
            const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
            if (fd >= 0 && ::flock(fd, LOCK_EX | LOCK_NB) == 0) {
                return first_port + block * block_size; // the lock is held until the process ends
            }
            ::close(fd);
        }
        throw std::runtime_error("all blocks of test ports are in use");
    }

    std::mutex m_mutex;
    unsigned m_first = 0;
    unsigned m_used = block_size;
};

// Returns a port on loopback that is free now and that no other test process uses.
inline std::uint16_t free_port()
{
    static port_blocks blocks;
    while (true) {
        const std::uint16_t port = blocks.next();
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
