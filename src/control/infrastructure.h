#pragma once

#include "control/duty_task.h"
#include "net/asio.h"

#include <cstdint>
#include <functional>
#include <string>

namespace verbena::control {

// How the infrastructure answered a call.
enum class call_answer : std::uint8_t {
    accepted,
    fenced,   // it has seen a higher token
    busy,     // more calls than it accepts
    refused,  // not carried out, for another reason
    not_sent, // it has received no byte of the call
    unknown   // no answer; the call may be carried out at any later time
};

// Name of an answer, for logs and metrics.
constexpr const char* to_text(call_answer value)
{
    switch (value) {
    case call_answer::accepted:
        return "accepted";
    case call_answer::fenced:
        return "fenced";
    case call_answer::busy:
        return "busy";
    case call_answer::refused:
        return "refused";
    case call_answer::not_sent:
        return "not_sent";
    case call_answer::unknown:
        return "unknown";
    }
    return "unknown";
}

// Who calls, as the infrastructure is told.
struct call_sender {
    std::string holder;
    std::uint64_t token = 0;
};

// Calls to the infrastructure that one process makes at a time. Implemented by the platform's adapter.
class infrastructure {
public:
    infrastructure() = default;
    infrastructure(const infrastructure&) = delete;
    infrastructure& operator=(const infrastructure&) = delete;
    virtual ~infrastructure() = default;

    // Sends a call on the executor of the calling coroutine and waits for the answer, at most `timeout`.
    // `may_send` is asked directly before the first byte is sent; if it returns false, nothing is sent.
    virtual net::task<call_answer> call(duty_call value, call_sender sender, std::function<bool()> may_send,
                                        milliseconds timeout) = 0;
};

} // namespace verbena::control
