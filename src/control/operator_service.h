#pragma once

#include "base/error.h"
#include "control/directory.h"
#include "control/poll_service.h"
#include "control/state_machine.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::control {

// Interface to the replicated log for operator calls. Implemented by raft_host.
class replicated_log {
public:
    using proposal_handler = std::function<void(result<std::vector<std::uint8_t>>)>;
    using member_handler = std::function<void(result<void>)>;

    virtual ~replicated_log() = default;

    virtual bool is_leader() const = 0;

    // host:port of the leader's operator calls; empty when no leader is known.
    virtual std::string leader_operator_address() const = 0;

    // Proposes a command. The handler receives the state machine's reply once the entry is applied, or an
    // error: `not_leader` when the entry was certainly not accepted; with any other error the outcome is
    // unknown.
    virtual void propose(std::vector<std::uint8_t> command, proposal_handler handler) = 0;

    virtual void add_member(std::uint64_t id, const std::string& address, member_handler handler) = 0;
    virtual void remove_member(std::uint64_t id, member_handler handler) = 0;

    // Leader, term, commit index and members; the service adds revision and processes.
    virtual op::status_replyT status() const = 0;
};

// Reply to an operator call.
struct operator_reply {
    int status = 200;
    // With status 307: URL of the same call at the leader.
    std::string location;
    std::string body;
};

using operator_handler = std::function<void(operator_reply)>;

// Largest body of an operator call, in bytes. A whole configuration as JSON is smaller.
inline constexpr std::size_t max_operator_body = std::size_t{2} << 20U;

// Largest packed change that is proposed, in bytes. A log entry is sent to the other members in one frame of
// at most 256 KiB.
inline constexpr std::size_t max_change_command = std::size_t{250} << 10U;

// Serves the operator calls of schema/operator.fbs. Any member answers reads from its applied state; only the
// leader accepts changes. The caller serialises calls with the other users of the state. The service must
// outlive the handlers of its proposals.
class operator_service {
public:
    operator_service(replicated_log& log, const state_machine& state, const directory& endpoints,
                     const poll_service& polls);

    // Runs the call with a JSON body; an empty body means {}. The handler is called exactly once: before the
    // return for reads and errors, later for changes. `wall` is the timestamp of proposals; `now` is the base
    // for the ages of processes and endpoints.
    void handle(std::string_view call, std::string_view json, wall_time wall, time_point now,
                operator_handler handler);

private:
    struct call_context {
        std::string call;
        wall_time wall;
        time_point now;
        operator_handler handler;
    };

    void dispatch(std::span<const std::uint8_t> request, call_context context);
    void change(const op::change_requestT& request, call_context context);
    void propose(std::vector<std::uint8_t> command, call_context context);
    void change_member(std::span<const std::uint8_t> request, call_context context);
    void move_duty(const op::move_duty_requestT& request, call_context context);
    void get_config(const op::get_config_requestT& request, const call_context& context) const;
    void history(const op::history_requestT& request, const call_context& context) const;
    void diff(const op::diff_requestT& request, const call_context& context) const;
    void status(const call_context& context) const;
    void endpoints(const call_context& context) const;
    result<void> check_unused(const op::change_requestT& request, time_point now) const;
    operator_reply redirect(const std::string& call) const;

    replicated_log& m_log;
    const state_machine& m_state;
    const directory& m_endpoints;
    const poll_service& m_polls;
};

} // namespace verbena::control
