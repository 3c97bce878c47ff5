#pragma once

#include "base/metrics.h"
#include "control/duty_holder.h"
#include "control/raft_host.h"
#include "control/suspension_watch.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace verbena::control {

// Claims the duties while this member leads its group, and makes their calls to the infrastructure.
// Everything runs on the strand of the raft_host.
class duty_service : public std::enable_shared_from_this<duty_service> {
public:
    struct options {
        std::vector<std::unique_ptr<duty_task>> tasks;
        duty_limits limits;
        std::string holder; // name of this machine
        std::uint64_t incarnation = 0;
        double calls_per_s = 1; // of all duties together
        std::shared_ptr<infrastructure> target;
    };

    duty_service(std::shared_ptr<raft_host> log, const state_machine& state, metrics& counters,
                 options settings);

    net::task<void> run();

    // Ends calls and claims, and waits until the calls under way have ended, at most `limit`. To be called
    // before the member gives up its leadership.
    net::task<void> stop(milliseconds limit);

private:
    struct duty {
        duty(std::unique_ptr<duty_task> work, duty_holder decisions)
            : task(std::move(work)), holder(std::move(decisions))
        {
        }

        std::unique_ptr<duty_task> task;
        duty_holder holder;
        bool busy = false; // a proposal or a call is under way
        bool held = false;
        std::uint64_t held_since = 0; // counts the beginnings of holding
        std::shared_ptr<std::atomic<bool>> held_gauge = std::make_shared<std::atomic<bool>>(false);
    };

    void step(duty& value, time_point now);
    duty_view make_view(const duty& value, time_point now) const;
    duty_context make_context(time_point now) const;
    void set_held(duty& value, bool held, time_point now);
    void claim(duty& value);
    void act(duty& value, time_point now);
    void propose(duty& value, std::vector<std::uint8_t> command, bool is_claim);
    net::task<void> call(duty& value, duty_call content);
    void leave_if_barred(time_point now);
    void report(const duty& value, const char* what) const;

    std::shared_ptr<raft_host> m_log;
    const state_machine& m_state;
    metrics& m_counters;
    options m_options;
    suspension_watch m_watch;
    // The duties do not move: calls under way refer to them.
    std::vector<std::unique_ptr<duty>> m_duties;
    time_point m_next_call;     // as the rate of calls allows
    time_point m_next_transfer; // of the leadership, away from a barred machine
    bool m_stopped = false;
};

} // namespace verbena::control
