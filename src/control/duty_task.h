#pragma once

#include "control/state_machine.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbena::control {

// Requests of each team to which endpoints began to answer in one window. Windows are numbered from the start
// of 1970.
struct usage_report {
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; // by team

    bool operator==(const usage_report&) const = default;
};

// The number of endpoints that a service needs in a failure domain.
struct scale_order {
    std::string service;
    std::string failure_domain;
    std::uint32_t desired = 0;

    bool operator==(const scale_order&) const = default;
};

// A call to the infrastructure that only the holder of its duty may make.
using duty_call = std::variant<usage_report, scale_order>;

// Outcome of a call as far as its duty is concerned. A call that is fenced ends the claim of its holder and
// does not reach the task.
enum class duty_outcome : std::uint8_t {
    accepted,
    refused, // the infrastructure answered that it has not carried the call out
    unknown  // no answer; the call may be carried out at any later time
};

// What a task decides from.
struct duty_context {
    time_point now;
    wall_time wall;             // this member's estimate of true time
    const state_machine& state; // as applied by this member, which leads the group
};

// The work of one duty. Asked on the leader's strand, only while the member holds the duty and its lease is
// in force. A task performs no I/O and reads no clock.
class duty_task {
public:
    duty_task() = default;
    duty_task(const duty_task&) = delete;
    duty_task& operator=(const duty_task&) = delete;
    virtual ~duty_task() = default;

    // Name of the duty, as in the setting `duties`.
    virtual std::string_view duty() const = 0;

    // The member has begun or ceased to hold the duty.
    virtual void on_hold(bool held, time_point now) = 0;

    // A packed command for the replicated log that must be applied before further calls; empty when there is
    // none. The same command is asked for again when its proposal has failed.
    virtual std::vector<std::uint8_t> next_command(const duty_context& context) = 0;

    // The next call; nullopt while none is due. No other call of the duty is under way.
    virtual std::optional<duty_call> next_call(const duty_context& context) = 0;

    virtual void on_outcome(const duty_call& call, duty_outcome outcome, const duty_context& context) = 0;
};

} // namespace verbena::control
