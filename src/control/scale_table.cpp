#include "control/scale_table.h"

namespace verbena::control {

namespace {

std::string to_text(const flatbuffers::String* value)
{
    return value == nullptr ? std::string() : value->str();
}

} // namespace

log_entry::scale_replyT scale_table::record(const log_entry::record_scale& command)
{
    const subject key{to_text(command.service()), to_text(command.failure_domain())};
    if (!key.first.empty() && (m_records.size() < max_subjects || m_records.contains(key))) {
        m_records[key] = command.desired();
    }
    log_entry::scale_replyT reply;
    reply.desired = find(key).value_or(0);
    return reply;
}

std::optional<std::uint32_t> scale_table::find(const subject& value) const
{
    const auto found = m_records.find(value);
    return found == m_records.end() ? std::nullopt : std::optional(found->second);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::scale_record>>>
scale_table::save(flatbuffers::FlatBufferBuilder& builder) const
{
    std::vector<flatbuffers::Offset<log_entry::scale_record>> offsets;
    offsets.reserve(m_records.size());
    for (const auto& [key, desired] : m_records) {
        const auto service = builder.CreateString(key.first);
        const auto domain = builder.CreateString(key.second);
        offsets.push_back(log_entry::Createscale_record(builder, service, domain, desired));
    }
    return builder.CreateVector(offsets);
}

void scale_table::restore(const log_entry::snapshot& snapshot)
{
    m_records.clear();
    if (snapshot.scales() == nullptr) {
        return;
    }
    for (const log_entry::scale_record* record : *snapshot.scales()) {
        m_records[{to_text(record->service()), to_text(record->failure_domain())}] = record->desired();
    }
}

} // namespace verbena::control
