#include "control/usage_table.h"

#include <algorithm>

namespace verbena::control {

namespace {

using count_vector = flatbuffers::Vector<flatbuffers::Offset<log_entry::team_count>>;

usage_table::team_counts read_counts(const count_vector* counts)
{
    usage_table::team_counts out;
    if (counts != nullptr) {
        for (const log_entry::team_count* count : *counts) {
            if (count->team() != nullptr) {
                out[count->team()->str()] = count->requests();
            }
        }
    }
    return out;
}

} // namespace

log_entry::usage_replyT usage_table::record(const log_entry::record_usage& command)
{
    const std::uint64_t window = command.window();
    if (window > last_recorded()) {
        m_unfinished.emplace(window, read_counts(command.counts()));
        if (m_unfinished.size() > max_windows) {
            m_last_finished = m_unfinished.begin()->first;
            m_unfinished.erase(m_unfinished.begin());
        }
    }
    return make_reply(window);
}

log_entry::usage_replyT usage_table::finish(const log_entry::finish_usage& command)
{
    m_last_finished = std::max(m_last_finished, command.window());
    m_unfinished.erase(m_unfinished.begin(), m_unfinished.upper_bound(command.window()));
    return make_reply(command.window());
}

std::uint64_t usage_table::last_recorded() const
{
    return m_unfinished.empty() ? m_last_finished : m_unfinished.rbegin()->first;
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::usage_record>>>
usage_table::save(flatbuffers::FlatBufferBuilder& builder) const
{
    std::vector<flatbuffers::Offset<log_entry::usage_record>> records;
    records.reserve(m_unfinished.size());
    for (const auto& [window, counts] : m_unfinished) {
        std::vector<flatbuffers::Offset<log_entry::team_count>> items;
        items.reserve(counts.size());
        for (const auto& [team, requests] : counts) {
            items.push_back(log_entry::Createteam_countDirect(builder, team.c_str(), requests));
        }
        records.push_back(log_entry::Createusage_recordDirect(builder, window, &items));
    }
    return builder.CreateVector(records);
}

void usage_table::restore(const log_entry::snapshot& snapshot)
{
    m_unfinished.clear();
    m_last_finished = snapshot.usage_finished();
    if (snapshot.usage() != nullptr) {
        for (const log_entry::usage_record* saved : *snapshot.usage()) {
            m_unfinished.emplace(saved->window(), read_counts(saved->counts()));
        }
    }
}

log_entry::usage_replyT usage_table::make_reply(std::uint64_t window) const
{
    log_entry::usage_replyT reply;
    reply.window = window;
    const auto found = m_unfinished.find(window);
    if (found != m_unfinished.end()) {
        for (const auto& [team, requests] : found->second) {
            auto count = std::make_unique<log_entry::team_countT>();
            count->team = team;
            count->requests = requests;
            reply.counts.push_back(std::move(count));
        }
    }
    return reply;
}

} // namespace verbena::control
