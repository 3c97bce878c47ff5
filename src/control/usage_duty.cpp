#include "control/usage_duty.h"

namespace verbena::control {

namespace {

std::vector<std::uint8_t> make_record(const usage_summary& window, wall_time wall)
{
    log_entry::record_usageT body;
    body.now_ms = static_cast<std::uint64_t>(wall.time_since_epoch().count());
    body.window = window.window;
    for (const auto& [team, requests] : window.counts) {
        auto count = std::make_unique<log_entry::team_countT>();
        count->team = team;
        count->requests = requests;
        body.counts.push_back(std::move(count));
    }
    return make_duty_command(std::move(body));
}

} // namespace

void usage_duty::on_hold(bool, time_point)
{
    m_accepted = 0;
    m_proposed = {};
}

std::vector<std::uint8_t> usage_duty::next_command(const duty_context& context)
{
    const usage_table& table = context.state.usage();
    if (m_accepted > table.last_finished()) {
        log_entry::finish_usageT body;
        body.now_ms = static_cast<std::uint64_t>(context.wall.time_since_epoch().count());
        body.window = m_accepted;
        return make_duty_command(std::move(body));
    }
    const std::uint64_t recorded = table.last_recorded();
    if (m_proposed.window != 0 && m_proposed.window <= recorded) {
        // An earlier holder may have recorded other counts, which hold.
        const auto held = table.unfinished().find(m_proposed.window);
        if (held != table.unfinished().end()) {
            m_proposed.counts = held->second;
        }
        report_step(m_proposed, "recorded", context.now);
        m_proposed = {};
    }
    m_collector.close(recorded);
    std::optional<usage_summary> window = m_collector.next_closed(recorded, context.now);
    if (!window) {
        return {};
    }
    m_proposed = std::move(*window);
    return make_record(m_proposed, context.wall);
}

std::optional<duty_call> usage_duty::next_call(const duty_context& context)
{
    const auto& unfinished = context.state.usage().unfinished();
    const auto next = unfinished.upper_bound(m_accepted);
    if (next == unfinished.end()) {
        return std::nullopt;
    }
    return usage_report{next->first, next->second};
}

void usage_duty::on_outcome(const duty_call& call, duty_outcome outcome, const duty_context& context)
{
    const auto* report = std::get_if<usage_report>(&call);
    if (report == nullptr) {
        return;
    }
    usage_summary window;
    window.window = report->window;
    window.counts = report->counts;
    switch (outcome) {
    case duty_outcome::accepted:
        m_accepted = std::max(m_accepted, report->window);
        report_step(window, "accepted", context.now);
        break;
    case duty_outcome::refused:
        report_step(window, "refused", context.now);
        break;
    case duty_outcome::unknown:
        report_step(window, "unknown", context.now);
        break;
    }
}

void usage_duty::report_step(const usage_summary& window, const char* outcome, time_point now) const
{
    event::usage_windowT line;
    line.window = window.window;
    for (const auto& [team, requests] : window.counts) {
        line.requests += requests;
    }
    line.entries = window.entries;
    line.missing = window.missing;
    line.outcome = outcome;
    const milliseconds since_end = m_collector.since_end(window.window, now);
    line.since_end_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(since_end.count(), 0));
    m_on_step(line);
}

} // namespace verbena::control
