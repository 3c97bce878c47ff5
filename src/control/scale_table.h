#pragma once

#include "log_generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace verbena::control {

// Numbers of endpoints that have been ordered (docs/design/autoscale.md). A number is recorded before it is
// ordered, so that every later holder of the duty starts from it. Deterministic; not thread-safe.
class scale_table {
public:
    // Service and failure domain.
    using subject = std::pair<std::string, std::string>;

    // A bound on the replicated state, far above the subjects of any deployment.
    static constexpr std::size_t max_subjects = 10'000;

    // The reply has the number on record.
    log_entry::scale_replyT record(const log_entry::record_scale& command);

    // Nullopt when no number has been recorded.
    std::optional<std::uint32_t> find(const subject& value) const;

    const std::map<subject, std::uint32_t>& records() const { return m_records; }

    // Writes the records in the order of their subjects.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::scale_record>>>
    save(flatbuffers::FlatBufferBuilder& builder) const;

    // Replaces the state by that of a verified snapshot.
    void restore(const log_entry::snapshot& snapshot);

private:
    std::map<subject, std::uint32_t> m_records;
};

} // namespace verbena::control
