#pragma once

#include "base/random.h"
#include "control/duty_table.h"
#include "control/infrastructure.h"

#include <optional>

namespace verbena::control {

struct duty_limits {
    // How long a new holder waits before its first call. A holder acts for a third of this time after the
    // group has confirmed it.
    milliseconds lease{3'000};
    milliseconds thaw{300}; // time without calls after a suspension
};

// What a member knows about a duty when it decides.
struct duty_view {
    time_point now;
    bool leads = false; // the member leads the group, as far as it knows
    // Time since the start of the newest round that a quorum answered; empty if none proves the leadership.
    std::optional<milliseconds> confirm_age;
    const duty_record* record = nullptr; // as applied by this member
    bool barred = false;                 // its machine may not hold the duty
};

enum class duty_step : std::uint8_t {
    wait,
    claim, // propose to take the duty
    act    // call the infrastructure
};

// Decides when a member claims a duty and when it may act in it (docs/design/duties.md). Pure.
class duty_holder {
public:
    duty_holder(std::string name, std::uint64_t incarnation, const duty_limits& limits, random_engine random);

    duty_step next(const duty_view& view);

    // Whether a call with `token` may be sent now.
    bool may_send(const duty_view& view, std::uint64_t token) const;

    // Whether the member is the holder as of the last next(). It may have to wait before it acts.
    bool holds() const { return m_holds; }

    // Token of the claim, to be used for calls while holds(); 0 = none.
    std::uint64_t token() const { return m_token; }

    // A proposal has failed, or its outcome is unknown.
    void on_proposal_failed(time_point now);

    void on_answer(call_answer answer, std::uint64_t token, time_point now);

    // The VM or the process was suspended, or its clock was set.
    void on_suspension(time_point now) { m_suspended = now; }

    // No more calls or claims: the member is about to give up its leadership.
    void stop() { m_stopped = true; }

private:
    bool is_named(const duty_view& view) const;
    bool is_confirmed(const duty_view& view) const;
    milliseconds next_delay();

    std::string m_name;
    std::uint64_t m_incarnation;
    duty_limits m_limits;
    random_engine m_random;
    bool m_stopped = false;
    bool m_holds = false;
    std::uint64_t m_token = 0;
    std::uint64_t m_fenced_token = 0; // this token and all before are not used any more
    time_point m_first_call;
    time_point m_next_attempt; // of a call or a proposal
    std::optional<time_point> m_suspended;
    std::uint32_t m_failures = 0; // one after another
};

} // namespace verbena::control
