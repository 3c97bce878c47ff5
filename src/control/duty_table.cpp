#include "control/duty_table.h"

#include <algorithm>

namespace verbena::control {

namespace {

wall_time to_time(std::uint64_t now_ms)
{
    return wall_time(milliseconds(now_ms));
}

std::uint64_t to_ms(wall_time value)
{
    return static_cast<std::uint64_t>(value.time_since_epoch().count());
}

std::string to_text(const flatbuffers::String* value)
{
    return value == nullptr ? std::string() : value->str();
}

// A bound on what operators can add to the replicated state.
constexpr std::size_t max_barred_machines = 1'000;

} // namespace

log_entry::duty_replyT duty_table::make_reply(bool accepted, const duty_record& value)
{
    log_entry::duty_replyT reply;
    reply.accepted = accepted;
    reply.holder = value.holder;
    reply.incarnation = value.incarnation;
    reply.token = value.token;
    return reply;
}

log_entry::duty_replyT duty_table::take(const log_entry::take_duty& command)
{
    const std::string duty = to_text(command.duty());
    const std::string holder = to_text(command.holder());
    const wall_time now = to_time(command.now_ms());
    const duty_record* known = find(duty);
    const duty_record current = known == nullptr ? duty_record() : *known;
    if (duty.empty() || holder.empty() || command.expected_token() != current.token ||
        is_barred(duty, holder, now)) {
        return make_reply(false, current);
    }
    // The time of day keeps tokens growing also when the group starts anew because all its disks were lost.
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    m_last_token = std::max(m_last_token + 1, static_cast<std::uint64_t>(seconds));
    duty_record& record = m_records[duty];
    record.holder = holder;
    record.incarnation = command.incarnation();
    record.token = m_last_token;
    record.taken = now;
    return make_reply(true, record);
}

log_entry::duty_replyT duty_table::bar(const log_entry::bar_duty& command)
{
    const std::string duty = to_text(command.duty());
    const std::string machine = to_text(command.machine());
    const wall_time now = to_time(command.now_ms());
    if (duty.empty() || machine.empty()) {
        return make_reply(false, duty_record());
    }
    duty_record& record = m_records[duty];
    std::erase_if(record.barred_until, [now](const auto& item) { return item.second <= now; });
    if (to_time(command.until_ms()) <= now) {
        record.barred_until.erase(machine);
        return make_reply(true, record);
    }
    if (record.barred_until.size() >= max_barred_machines && !record.barred_until.contains(machine)) {
        return make_reply(false, record);
    }
    record.barred_until[machine] = to_time(command.until_ms());
    return make_reply(true, record);
}

const duty_record* duty_table::find(std::string_view duty) const
{
    const auto found = m_records.find(duty);
    return found == m_records.end() ? nullptr : &found->second;
}

bool duty_table::is_barred(std::string_view duty, const std::string& machine, wall_time now) const
{
    const duty_record* record = find(duty);
    if (record == nullptr) {
        return false;
    }
    const auto found = record->barred_until.find(machine);
    return found != record->barred_until.end() && now < found->second;
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::duty_record>>>
duty_table::save(flatbuffers::FlatBufferBuilder& builder) const
{
    std::vector<flatbuffers::Offset<log_entry::duty_record>> offsets;
    offsets.reserve(m_records.size());
    for (const auto& [duty, record] : m_records) {
        std::vector<flatbuffers::Offset<log_entry::duty_bar>> bars;
        bars.reserve(record.barred_until.size());
        for (const auto& [machine, until] : record.barred_until) {
            bars.push_back(log_entry::Createduty_bar(builder, builder.CreateString(machine), to_ms(until)));
        }
        const auto name = builder.CreateString(duty);
        const auto holder = builder.CreateString(record.holder);
        const auto barred = builder.CreateVector(bars);
        offsets.push_back(log_entry::Createduty_record(builder, name, holder, record.incarnation,
                                                       record.token, to_ms(record.taken), barred));
    }
    return builder.CreateVector(offsets);
}

void duty_table::restore(const log_entry::snapshot& snapshot)
{
    m_records.clear();
    m_last_token = snapshot.last_token();
    if (snapshot.duties() == nullptr) {
        return;
    }
    for (const auto* saved : *snapshot.duties()) {
        duty_record record;
        record.holder = to_text(saved->holder());
        record.incarnation = saved->incarnation();
        record.token = saved->token();
        record.taken = to_time(saved->taken_ms());
        if (saved->barred() != nullptr) {
            for (const auto* bar : *saved->barred()) {
                record.barred_until[to_text(bar->machine())] = to_time(bar->until_ms());
            }
        }
        m_last_token = std::max(m_last_token, record.token);
        m_records[to_text(saved->duty())] = std::move(record);
    }
}

} // namespace verbena::control
