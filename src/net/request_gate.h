#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace verbena::net {

// Counts the requests in work of a server and ends their admission to its handler. A request enters before it
// asks whether it is admitted, so that none can be admitted after close_if_idle() has found no request.
// Thread-safe.
class request_gate {
public:
    // Counts one request while it exists. The gate must outlive it.
    class pass {
    public:
        explicit pass(request_gate& gate) : m_gate(&gate) { ++gate.m_state; }
        pass(const pass&) = delete;
        pass& operator=(const pass&) = delete;
        pass(pass&& other) noexcept : m_gate(std::exchange(other.m_gate, nullptr)) {}
        pass& operator=(pass&& other) noexcept
        {
            std::swap(m_gate, other.m_gate);
            return *this;
        }
        ~pass()
        {
            if (m_gate != nullptr) {
                --m_gate->m_state;
            }
        }

    private:
        request_gate* m_gate;
    };

    pass enter() { return pass(*this); }
    std::size_t active() const { return m_state.load() & ~closed_bit; }

    // Whether requests may be passed on to the handler. Only the holder of a pass can rely on the answer.
    bool admits() const { return (m_state.load() & closed_bit) == 0; }

    void close() { m_state |= closed_bit; }

    // Closes the gate if no request is in work; returns whether it is closed.
    bool close_if_idle()
    {
        std::size_t expected = 0;
        return m_state.compare_exchange_strong(expected, closed_bit) || (expected & closed_bit) != 0;
    }

private:
    static constexpr std::size_t closed_bit = ~(~std::size_t{0} >> 1);

    std::atomic<std::size_t> m_state{0};
};

} // namespace verbena::net
