#include "raft/memory_log.h"

namespace verbena::raft {

std::optional<term_number> memory_log::term_at(log_index index) const
{
    if (index == m_base) {
        return m_base_term;
    }
    if (index < m_base || index > last()) {
        return std::nullopt;
    }
    return at(index).term;
}

std::vector<entry> memory_log::slice(log_index from, log_index to, std::size_t max_bytes) const
{
    std::vector<entry> part;
    std::size_t size = 0;
    for (log_index i = from; i <= to && i <= last(); ++i) {
        size += cost(at(i));
        if (!part.empty() && size > max_bytes) {
            break;
        }
        part.push_back(at(i));
    }
    return part;
}

void memory_log::append(entry value)
{
    m_bytes += cost(value);
    m_entries.push_back(std::move(value));
}

void memory_log::truncate_from(log_index index)
{
    while (last() >= index && !m_entries.empty()) {
        m_bytes -= cost(m_entries.back());
        m_entries.pop_back();
    }
}

void memory_log::compact_to(log_index index)
{
    while (m_base < index && !m_entries.empty()) {
        m_base = m_entries.front().index;
        m_base_term = m_entries.front().term;
        m_bytes -= cost(m_entries.front());
        m_entries.pop_front();
    }
}

void memory_log::reset(log_index index, term_number term)
{
    m_entries.clear();
    m_bytes = 0;
    m_base = index;
    m_base_term = term;
}

} // namespace verbena::raft
