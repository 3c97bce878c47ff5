#include "control/directory.h"

#include <algorithm>

namespace verbena::control {

namespace {

std::size_t size_of(const wire::announcementT& announcement)
{
    constexpr std::size_t overhead = 96;
    std::size_t bytes = overhead + announcement.endpoint.size() + announcement.address.size() +
                        announcement.failure_domain.size() + announcement.service.size();
    for (const std::string& model : announcement.models) {
        bytes += model.size() + 12;
    }
    return bytes;
}

} // namespace

directory::directory(std::uint64_t epoch, const directory_limits& limits) : m_epoch(epoch), m_limits(limits)
{
}

bool directory::announce(const wire::announcementT& announcement, time_point now)
{
    if (announcement.endpoint.empty() || size_of(announcement) > m_limits.announcement_bytes) {
        return false;
    }
    const auto position = m_entries.find(announcement.endpoint);
    if (position == m_entries.end()) {
        if (m_entries.size() >= m_limits.endpoints) {
            return false;
        }
        entry added{announcement, now, 0, 0};
        m_next_expiry = std::min(m_next_expiry, now + m_limits.lease);
        touch(announcement.endpoint,
              m_entries.emplace(announcement.endpoint, std::move(added)).first->second);
        return true;
    }
    entry& known = position->second;
    if (announcement.incarnation == known.replaced) {
        return false;
    }
    known.heard = now;
    if (known.announcement == announcement) {
        return true;
    }
    if (announcement.incarnation != known.announcement.incarnation) {
        known.replaced = known.announcement.incarnation;
    }
    known.announcement = announcement;
    touch(announcement.endpoint, known);
    return true;
}

void directory::expire(time_point now)
{
    if (now < m_next_expiry) {
        return;
    }
    m_next_expiry = time_point::max();
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const auto next = std::next(position);
        const time_point end = position->second.heard + m_limits.lease;
        if (end <= now) {
            remove(position);
        } else {
            m_next_expiry = std::min(m_next_expiry, end);
        }
        position = next;
    }
    forget_old_removals();
}

directory_delta directory::delta(std::uint64_t epoch, std::uint64_t version) const
{
    directory_delta out;
    out.epoch = m_epoch;
    out.whole = !is_known(epoch, version);
    const std::uint64_t since = out.whole ? 0 : version;
    out.version = m_version;
    std::size_t bytes = 0;
    for (auto item = m_changed_by_version.upper_bound(since); item != m_changed_by_version.end(); ++item) {
        const wire::announcementT& announcement = m_entries.at(item->second).announcement;
        bytes += size_of(announcement);
        if (bytes > m_limits.delta_bytes && !out.changed.empty()) {
            out.version = item->first - 1;
            break;
        }
        out.changed.push_back(&announcement);
    }
    if (out.whole) {
        return out;
    }
    for (auto item = m_gone_by_version.upper_bound(since);
         item != m_gone_by_version.end() && item->first <= out.version; ++item) {
        if (m_entries.count(item->second) == 0) {
            out.gone.push_back(item->second);
        }
    }
    return out;
}

std::vector<directory_item> directory::list(time_point now) const
{
    std::vector<directory_item> items;
    items.reserve(m_entries.size());
    for (const auto& [name, value] : m_entries) {
        items.push_back({&value.announcement, std::chrono::duration_cast<milliseconds>(now - value.heard)});
    }
    return items;
}

void directory::touch(const std::string& name, entry& changed)
{
    m_changed_by_version.erase(changed.version);
    changed.version = ++m_version;
    m_changed_by_version.emplace(m_version, name);
}

void directory::remove(std::map<std::string, entry>::iterator position)
{
    m_changed_by_version.erase(position->second.version);
    m_gone_by_version.emplace(++m_version, position->first);
    m_entries.erase(position);
}

// Entries below the oldest delta get a new version. Otherwise the first part of a whole list could end at a
// version that no longer has deltas, and the asker would get the first part forever.
void directory::forget_old_removals()
{
    if (m_gone_by_version.size() <= m_limits.removals) {
        return;
    }
    while (m_gone_by_version.size() > m_limits.removals / 2) {
        m_oldest_delta = m_gone_by_version.begin()->first;
        m_gone_by_version.erase(m_gone_by_version.begin());
    }
    while (!m_changed_by_version.empty() && m_changed_by_version.begin()->first <= m_oldest_delta) {
        const std::string name = m_changed_by_version.begin()->second;
        touch(name, m_entries.at(name));
    }
}

bool directory::is_known(std::uint64_t epoch, std::uint64_t version) const
{
    return epoch == m_epoch && version >= m_oldest_delta && version <= m_version;
}

} // namespace verbena::control
