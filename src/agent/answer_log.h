#pragma once

#include "base/types.h"
#include "net/asio.h"
#include "wire_generated.h"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace verbena::agent {

// The answer of one attempt as it grows, kept until the entry has it, so that a broken stream resumes at the
// exact byte. One writer (the engine's reader) and one reader at a time. Thread-safe.
class answer_log {
public:
    enum class state : std::uint8_t { open, done, failed };

    // What a reader finds at its offset.
    struct slice {
        state now = state::open;
        bool has_head = false;
        unsigned status = 0;
        std::string content_type;
        std::string bytes;
        // Valid when `now` is not open.
        std::uint64_t total = 0;
        std::uint64_t hash = 0;
        std::uint32_t tokens = 0;
        attempt_outcome outcome = attempt_outcome::unknown;
        wire::refusal reason = wire::refusal::none;
        std::string message;
    };

    // `held` counts the bytes of all answers that the process keeps; null for none.
    explicit answer_log(const net::asio::any_io_executor& executor,
                        std::shared_ptr<std::atomic<std::uint64_t>> held = nullptr)
        : m_changed(executor, 1), m_held(std::move(held))
    {
    }
    answer_log(const answer_log&) = delete;
    answer_log& operator=(const answer_log&) = delete;
    ~answer_log();

    void set_head(unsigned status, std::string content_type);
    void append(std::string_view bytes);
    void finish(std::uint32_t tokens);
    void fail(attempt_outcome outcome, std::string message);
    // The attempt left the queue unrun; the entry is told as if it had never been admitted.
    void refuse(wire::refusal reason, std::string message);

    // Bytes from `offset` on, at most `limit`, with the state.
    slice read(std::uint64_t offset, std::size_t limit) const;

    // Lets a waiting reader look again.
    void wake() { signal(); }

    // Waits for a change after the last read; may return early.
    net::task<void> wait_changed();

    std::size_t size() const;
    bool is_open() const;

private:
    void signal();

    mutable std::mutex m_mutex;
    net::asio::experimental::concurrent_channel<void(net::error_code)> m_changed;
    state m_state = state::open;
    bool m_has_head = false;
    unsigned m_status = 0;
    std::string m_content_type;
    std::string m_bytes;
    std::uint64_t m_hash = 0;
    std::uint32_t m_tokens = 0;
    attempt_outcome m_outcome = attempt_outcome::unknown;
    wire::refusal m_reason = wire::refusal::none;
    std::string m_message;
    std::shared_ptr<std::atomic<std::uint64_t>> m_held;
};

} // namespace verbena::agent
