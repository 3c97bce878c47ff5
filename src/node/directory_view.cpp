#include "node/directory_view.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace verbena::node {

namespace {

// Endpoints that announce themselves count their announcements; for the others both numbers are 0.
bool is_newer(const wire::announcementT& given, const wire::announcementT& than)
{
    return std::tie(given.born_ms, given.sequence) > std::tie(than.born_ms, than.sequence);
}

} // namespace

directory_view::position directory_view::position_of(const std::string& member) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(member);
    return place == m_members.end() ? position{} : place->second.at;
}

// An endpoint that restarted is announced with its new incarnation to all members within one poll interval;
// until then any list is good enough, because the agent refuses what names its former incarnation.
const directory_view::announcement* directory_view::merged(const std::string& endpoint) const
{
    const announcement* newest = nullptr;
    for (const auto& [name, list] : m_members) {
        const auto place = list.endpoints.find(endpoint);
        if (place != list.endpoints.end() && (newest == nullptr || is_newer(place->second, *newest))) {
            newest = &place->second;
        }
    }
    return newest;
}

void directory_view::apply(const std::string& member, const wire::poll_replyT& reply)
{
    std::set<std::string> touched;
    std::map<std::string, std::optional<announcement>> changes;
    {
        const std::lock_guard lock(m_mutex);
        member_list& list = m_members[member];
        if (reply.directory_whole) {
            for (const auto& [name, value] : list.endpoints) {
                touched.insert(name);
            }
            list.endpoints.clear();
        }
        for (const std::string& name : reply.gone) {
            list.endpoints.erase(name);
            touched.insert(name);
        }
        for (const auto& value : reply.changed) {
            list.endpoints[value->endpoint] = *value;
            touched.insert(value->endpoint);
        }
        list.at = position{reply.directory_epoch, reply.directory_version};
        for (const std::string& name : touched) {
            // The newest word about an endpoint comes from the member that has just reported a change.
            const auto own = list.endpoints.find(name);
            const announcement* value = merged(name);
            if (value != nullptr && own != list.endpoints.end() && !is_newer(*value, own->second)) {
                value = &own->second;
            }
            if (value == nullptr) {
                m_merged.erase(name);
                changes[name] = std::nullopt;
            } else if (const auto held = m_merged.find(name);
                       held == m_merged.end() || held->second != *value) {
                m_merged[name] = *value;
                changes[name] = *value;
            }
        }
    }
    for (const auto& [name, value] : changes) {
        m_on_change(name, value ? &*value : nullptr);
    }
}

void directory_view::forget_member(const std::string& member)
{
    wire::poll_replyT empty;
    empty.directory_whole = true;
    apply(member, empty);
}

std::optional<directory_view::announcement> directory_view::find(const std::string& endpoint) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_merged.find(endpoint);
    return place == m_merged.end() ? std::nullopt : std::optional<announcement>(place->second);
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
