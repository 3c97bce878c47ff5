#include "forward/crash_messages.h"

#include <algorithm>
#include <limits>

namespace verbena::forward {

namespace {

std::uint32_t to_age(time_point time, time_point now)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    const std::int64_t age = std::chrono::duration_cast<milliseconds>(now - time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, longest));
}

} // namespace

wire::crash_recordsT to_message(const std::vector<policy::crash_statement>& statements, time_point now)
{
    wire::crash_recordsT message;
    for (const policy::crash_statement& statement : statements) {
        auto item = std::make_unique<wire::crash_recordT>();
        const policy::crash_record& record = statement.record;
        item->part = statement.part;
        item->generation = record.generation;
        item->crashes = record.crashes;
        item->leads = record.leads;
        item->blocked_trials = record.blocked_trials;
        item->trials_begun = record.trials_begun;
        item->trials_ended = record.trials_ended;
        item->request_age_ms = to_age(record.last_request, now);
        message.records.push_back(std::move(item));
    }
    return message;
}

std::vector<policy::crash_statement> read_crash_records(const wire::crash_records& message, time_point now)
{
    std::vector<policy::crash_statement> statements;
    if (message.records() == nullptr) {
        return statements;
    }
    for (const wire::crash_record* item : *message.records()) {
        policy::crash_record record;
        record.generation = item->generation();
        record.crashes = item->crashes();
        record.leads = item->leads();
        record.blocked_trials = item->blocked_trials();
        record.trials_begun = item->trials_begun();
        record.trials_ended = item->trials_ended();
        record.last_request = now - milliseconds(item->request_age_ms());
        statements.push_back({item->part(), record});
    }
    return statements;
}

} // namespace verbena::forward
