#pragma once

#include "log_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace verbena::control {

// Counts of the windows whose usage report may have to be sent (docs/design/metering.md). A window is
// recorded before its report is sent the first time, so that every later holder of the duty repeats the same
// counts. Deterministic; not thread-safe.
class usage_table {
public:
    using team_counts = std::map<std::string, std::uint64_t>;

    // Windows kept while no report is accepted, about 40 min of windows of 5 s; the oldest is dropped then.
    static constexpr std::size_t max_windows = 500;

    // Records the counts of a window. Changes nothing if the window has been recorded or finished. The reply
    // has the counts on record, which are empty for a finished window.
    log_entry::usage_replyT record(const log_entry::record_usage& command);

    // The window and all before it need no further report.
    log_entry::usage_replyT finish(const log_entry::finish_usage& command);

    // Recorded windows that are not finished.
    const std::map<std::uint64_t, team_counts>& unfinished() const { return m_unfinished; }

    std::uint64_t last_finished() const { return m_last_finished; }

    // The last window that has been recorded; 0 if none has.
    std::uint64_t last_recorded() const;

    // Writes the records in the order of their windows.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::usage_record>>>
    save(flatbuffers::FlatBufferBuilder& builder) const;

    // Replaces the state by that of a verified snapshot.
    void restore(const log_entry::snapshot& snapshot);

private:
    log_entry::usage_replyT make_reply(std::uint64_t window) const;

    std::map<std::uint64_t, team_counts> m_unfinished;
    std::uint64_t m_last_finished = 0;
};

} // namespace verbena::control
