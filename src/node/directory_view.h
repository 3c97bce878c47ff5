#pragma once

#include "base/types.h"
#include "wire_generated.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace verbena::node {

// The endpoints known to the control members, merged from their lists. An endpoint is present while any
// member lists it, so that a member that receives no announcements from agents does not empty the view.
// Thread-safe; second in the lock order.
class directory_view {
public:
    using announcement = wire::announcementT;

    // Version of one member's list that this process has; sent with the next poll.
    struct position {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
    };

    // Called without the lock held when an endpoint appears, changes or disappears (value is null).
    using listener = std::function<void(const std::string& endpoint, const announcement* value)>;

    explicit directory_view(listener on_change) : m_on_change(std::move(on_change)) {}

    position position_of(const std::string& member) const;

    // Applies the directory changes in one member's poll reply. Announcements that name no endpoint to use
    // are skipped, so that they do not hide what this or another member lists under the same name.
    void apply(const std::string& member, const wire::poll_replyT& reply);

    // Removes a member's list when the member has not replied for the announcement lease or has left the
    // group.
    void remove_member_list(const std::string& member);

    std::optional<announcement> find(const std::string& endpoint) const;
    std::size_t size() const;

    // True once a member has sent its complete list. An entry that reports ready before that would refuse
    // requests because it knows no endpoints.
    bool loaded() const;

private:
    struct member_list {
        position at;
        std::map<std::string, announcement> endpoints;
    };

    const announcement* newest_announcement(const std::string& endpoint) const;

    listener m_on_change;
    mutable std::mutex m_mutex;
    std::map<std::string, member_list> m_members;
    std::map<std::string, announcement> m_merged;
};

} // namespace verbena::node
