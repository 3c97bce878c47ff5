#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace verbena::forward {

// Bounds the bytes of answers that an entry holds over all requests until it can pass them on: bodies that
// are not complete yet, and unfinished events. Endpoints in trouble may send without end, many at a time, so
// that a bound for each answer is not enough. Beyond the limit the largest answer of the endpoint whose
// answers take most is given up. Thread-safe; its mutex is held alone.
class answer_memory {
public:
    explicit answer_memory(std::size_t limit) : m_limit(limit) {}

    // The bytes that one attempt holds.
    class account {
    public:
        // `endpoint`: where the answer comes from. `on_give_up` is called once at most, from any thread, and
        // must not use the account.
        account(answer_memory& memory, std::string endpoint, std::function<void()> on_give_up);
        account(const account&) = delete;
        account& operator=(const account&) = delete;
        ~account();

        // Sets the bytes that are allocated for the answer. Gives up answers if all together take more than
        // the limit.
        void set(std::size_t bytes);

        bool given_up() const;

    private:
        friend class answer_memory;

        answer_memory& m_memory;
        const std::string m_endpoint;
        std::function<void()> m_on_give_up;
        std::size_t m_bytes = 0;
        bool m_given_up = false;
    };

    // Bytes of all answers that are not given up.
    std::size_t held() const;

private:
    // The answer to give up; the mutex is held.
    account* largest() const;

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::set<account*> m_accounts; // of answers that are not given up
    std::size_t m_held = 0;
};

// Appends to a body whose allocations `held` counts; appends nothing once it is given up. While a body grows,
// its former bytes exist twice.
void append(std::string& body, std::string_view bytes, answer_memory::account& held);

} // namespace verbena::forward
