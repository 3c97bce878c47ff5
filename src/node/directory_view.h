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

// The endpoints that control members know, as an entry sees them. Each member keeps its own list; an endpoint
// is present while any member lists it, so that a member that hears no agents does not empty the view.
// Thread-safe; second in the lock order.
class directory_view {
public:
    using announcement = wire::announcementT;

    // Position in one member's list, sent with the next poll.
    struct position {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
    };

    // Called without the lock when an endpoint appears or changes, and when it disappears (null).
    using listener = std::function<void(const std::string& endpoint, const announcement* value)>;

    explicit directory_view(listener on_change) : m_on_change(std::move(on_change)) {}

    position position_of(const std::string& member) const;

    // Applies what one member answered.
    void apply(const std::string& member, const wire::poll_replyT& reply);

    // Drops a member's list after it has not answered for the announcement lease.
    void forget_member(const std::string& member);

    std::optional<announcement> find(const std::string& endpoint) const;
    std::size_t size() const;

    // True once a member has given its whole list. An entry that is ready before would refuse for want of
    // endpoints.
    bool loaded() const;

private:
    struct member_list {
        position at;
        std::map<std::string, announcement> endpoints;
    };

    const announcement* merged(const std::string& endpoint) const;

    listener m_on_change;
    mutable std::mutex m_mutex;
    std::map<std::string, member_list> m_members;
    std::map<std::string, announcement> m_merged;
};

} // namespace verbena::node
