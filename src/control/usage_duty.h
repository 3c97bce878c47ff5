#pragma once

#include "control/duty_task.h"
#include "control/usage_collector.h"
#include "events_generated.h"

namespace verbena::control {

// The duty `metering`: records the counts of each window in the replicated log, then reports them. A report
// that got no answer or was refused is repeated; so is one that an earlier holder of the duty may have sent.
class usage_duty : public duty_task {
public:
    // Called with each step of a report, for logs and metrics.
    using listener = std::function<void(const event::usage_windowT&)>;

    usage_duty(usage_collector& collector, listener on_step)
        : m_collector(collector), m_on_step(std::move(on_step))
    {
    }

    std::string_view duty() const override { return "metering"; }
    void on_hold(bool held, time_point now) override;
    std::vector<std::uint8_t> next_command(const duty_context& context) override;
    std::optional<duty_call> next_call(const duty_context& context) override;
    void on_outcome(const duty_call& call, duty_outcome outcome, const duty_context& context) override;

private:
    void report_step(const usage_summary& window, const char* outcome, time_point now) const;

    usage_collector& m_collector;
    listener m_on_step;
    usage_summary m_proposed;     // the last window whose record was asked for
    std::uint64_t m_accepted = 0; // last window whose report was accepted since the duty is held
};

} // namespace verbena::control
