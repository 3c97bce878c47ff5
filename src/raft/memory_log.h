#pragma once

#include "raft/types.h"

#include <deque>
#include <optional>

namespace verbena::raft {

// The log entries held in memory. Indexes run from base() + 1 to last(); earlier entries are covered by a
// snapshot.
class memory_log {
public:
    log_index base() const { return m_base; }
    log_index last() const { return m_base + m_entries.size(); }
    term_number last_term() const { return m_entries.empty() ? m_base_term : m_entries.back().term; }
    std::size_t size() const { return m_entries.size(); }
    std::size_t byte_size() const { return m_bytes; }

    // Term of the entry at `index`, or nothing if it was compacted or is not appended yet.
    std::optional<term_number> term_at(log_index index) const;

    const entry& at(log_index index) const { return m_entries[index - m_base - 1]; }

    // Entries from `from` to at most `to`, up to `max_bytes` in total; the first entry is returned even if
    // larger.
    std::vector<entry> slice(log_index from, log_index to, std::size_t max_bytes) const;

    // The entry's index must be last() + 1.
    void append(entry value);

    // Removes the entries from `index` on.
    void truncate_from(log_index index);

    // Removes the entries up to and including `index`, which must be in the log.
    void compact_to(log_index index);

    // Clears the log so that it continues after an installed snapshot.
    void reset(log_index index, term_number term);

private:
    log_index m_base = 0;
    term_number m_base_term = 0;
    std::size_t m_bytes = 0;
    std::deque<entry> m_entries;
};

} // namespace verbena::raft
