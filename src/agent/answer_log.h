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

// Response of one attempt, kept while it grows and until the entry has received it, so that a failed stream
// can resume at any byte. One writer (the coroutine that reads from the engine) and one reader at a time.
// Thread-safe.
class answer_log {
public:
    enum class state : std::uint8_t { open, done, failed };

    // State of the log and the bytes at a reader's offset.
    struct slice {
        state current_state = state::open;
        bool has_head = false;
        unsigned status = 0;
        std::string content_type;
        std::string bytes;
        // The remaining fields are valid when the state is not open.
        std::uint64_t total = 0;
        std::uint64_t hash = 0;
        std::uint32_t tokens = 0;
        attempt_outcome outcome = attempt_outcome::unknown;
        wire::refusal reason = wire::refusal::none;
        std::string message;
    };

    // `held_bytes` counts the bytes of all responses in the process; may be null.
    explicit answer_log(const net::asio::any_io_executor& executor,
                        std::shared_ptr<std::atomic<std::uint64_t>> held_bytes = nullptr)
        : m_changed(executor, 1), m_held_bytes(std::move(held_bytes))
    {
    }
    answer_log(const answer_log&) = delete;
    answer_log& operator=(const answer_log&) = delete;
    ~answer_log();

    void set_head(unsigned status, std::string content_type);
    void append(std::string_view bytes);
    void finish(std::uint32_t tokens);
    void fail(attempt_outcome outcome, std::string message);
    // Ends an attempt that was removed from the queue without having run; the entry gets a refusal.
    void refuse(wire::refusal reason, std::string message);

    // Returns the state and at most `limit` bytes from `offset` on.
    slice read(std::uint64_t offset, std::size_t limit) const;

    // Wakes a waiting reader.
    void wake() { signal(); }

    // Waits for a change since the last read; may return without one.
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
    std::shared_ptr<std::atomic<std::uint64_t>> m_held_bytes;
};

} // namespace verbena::agent
