#include "forward/crash_messages.h"

#include <algorithm>
#include <limits>

namespace verbena::forward {

namespace {

// The age of something that has never happened.
constexpr std::uint32_t never = std::numeric_limits<std::uint32_t>::max();

std::uint32_t to_age(time_point time, time_point now)
{
    if (time == time_point{}) {
        return never;
    }
    const std::int64_t age = std::chrono::duration_cast<milliseconds>(now - time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, never - 1));
}

time_point from_age(std::uint32_t age, time_point now)
{
    return age == never ? time_point{} : now - milliseconds(age);
}

} // namespace

wire::crash_recordsT to_message(const std::vector<policy::crash_statement>& statements, time_point now)
{
    wire::crash_recordsT message;
    for (const policy::crash_statement& statement : statements) {
        auto item = std::make_unique<wire::crash_recordT>();
        const policy::crash_record& record = statement.record;
        item->part = statement.part;
        item->crashes = record.crashes;
        item->leads = record.leads;
        item->trials = record.trials;
        item->crash_age_ms = to_age(record.last_crash, now);
        item->answer_age_ms = to_age(record.last_answer, now);
        item->request_age_ms = to_age(record.last_request, now);
        item->trial_start_age_ms = to_age(record.trial_started, now);
        item->trial_end_age_ms = to_age(record.trial_ended, now);
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
        record.crashes = item->crashes();
        record.leads = item->leads();
        record.trials = item->trials();
        record.last_crash = from_age(item->crash_age_ms(), now);
        record.last_answer = from_age(item->answer_age_ms(), now);
        record.last_request = from_age(item->request_age_ms(), now);
        record.trial_started = from_age(item->trial_start_age_ms(), now);
        record.trial_ended = from_age(item->trial_end_age_ms(), now);
        statements.push_back({item->part(), record});
    }
    return statements;
}

} // namespace verbena::forward
