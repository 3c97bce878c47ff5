#include "node/directory_view.h"

#include "base/log.h"
#include "node/announcement_check.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace verbena::node {

namespace {

// Orders two announcements of one endpoint. Endpoints that announce themselves number their announcements;
// for all others both fields are 0.
bool is_newer(const wire::announcementT& left, const wire::announcementT& right)
{
    return std::tie(left.born_ms, left.sequence) > std::tie(right.born_ms, right.sequence);
}

} // namespace

directory_view::position directory_view::position_of(const std::string& member) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_members.find(member);
    return found == m_members.end() ? position{} : found->second.at;
}

// A restarted endpoint is announced with its new incarnation to all members within one poll interval. Until
// then any member's list may be used, because the agent refuses requests that name its previous incarnation.
const directory_view::announcement* directory_view::newest_announcement(const std::string& endpoint) const
{
    const announcement* newest = nullptr;
    for (const auto& [name, list] : m_members) {
        const auto found = list.endpoints.find(endpoint);
        if (found != list.endpoints.end() && (newest == nullptr || is_newer(found->second, *newest))) {
            newest = &found->second;
        }
    }
    return newest;
}

void directory_view::apply(const std::string& member, const wire::poll_replyT& reply)
{
    std::set<std::string> affected;
    std::map<std::string, std::optional<announcement>> changes;
    const auto wall_now = std::chrono::system_clock::now();
    std::size_t skipped = 0;
    std::string first_reason;
    {
        const std::lock_guard lock(m_mutex);
        member_list& list = m_members[member];
        if (reply.directory_whole) {
            for (const auto& [name, value] : list.endpoints) {
                affected.insert(name);
            }
            list.endpoints.clear();
        }
        for (const std::string& name : reply.gone) {
            list.endpoints.erase(name);
            affected.insert(name);
        }
        for (const auto& value : reply.changed) {
            const result<void> usable = check_announcement(*value, wall_now);
            if (!usable) {
                first_reason = ++skipped == 1 ? usable.error().message : first_reason;
                continue;
            }
            list.endpoints[value->endpoint] = *value;
            affected.insert(value->endpoint);
        }
        list.at = position{reply.directory_epoch, reply.directory_version};
        for (const std::string& name : affected) {
            // Among announcements of equal age, the member that has just reported a change takes precedence.
            const auto own = list.endpoints.find(name);
            const announcement* value = newest_announcement(name);
            if (value != nullptr && own != list.endpoints.end() && !is_newer(*value, own->second)) {
                value = &own->second;
            }
            if (value == nullptr) {
                m_merged.erase(name);
                changes[name] = std::nullopt;
            } else if (const auto previous = m_merged.find(name);
                       previous == m_merged.end() || previous->second != *value) {
                m_merged[name] = *value;
                changes[name] = *value;
            }
        }
    }
    if (skipped != 0) {
        log::warn(std::to_string(skipped) + " announcements listed by member " + member +
                  " are skipped; reason of the first: " + first_reason +
                  "; check which process sends them to the member");
    }
    for (const auto& [name, value] : changes) {
        m_on_change(name, value ? &*value : nullptr);
    }
}

void directory_view::remove_member_list(const std::string& member)
{
    wire::poll_replyT empty;
    empty.directory_whole = true;
    apply(member, empty);
}

std::optional<directory_view::announcement> directory_view::find(const std::string& endpoint) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_merged.find(endpoint);
    return found == m_merged.end() ? std::nullopt : std::optional<announcement>(found->second);
}

bool directory_view::loaded() const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_members.begin(), m_members.end(),
                       [](const auto& item) { return item.second.at.epoch != 0; });
}

std::size_t directory_view::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_merged.size();
}

} // namespace verbena::node
