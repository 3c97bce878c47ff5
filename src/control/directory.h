#pragma once

#include "base/types.h"
#include "wire_generated.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbena::control {

struct directory_limits {
    // An endpoint that was not heard for this long is gone. Agents poll every 500 ms.
    milliseconds lease = std::chrono::seconds(3);
    // The same for endpoints that announce themselves, every second or two and at times seconds late.
    milliseconds self_announced_lease = std::chrono::seconds(8);
    // Endpoints held; the size of two years is 1,400.
    std::size_t endpoints = 10'000;
    // Estimated bytes of one announcement.
    std::size_t announcement_bytes = std::size_t{8} << 10U;
    // Removals remembered for deltas. An asker that missed more gets the whole list.
    std::size_t removals = 4'096;
    // Estimated bytes of announcements in one delta, so that a reply fits a frame of 256 KiB; the asker
    // fetches the rest with its next poll.
    std::size_t delta_bytes = std::size_t{128} << 10U;
};

// Changes of the directory since a version.
struct directory_delta {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    // True for the first part of a whole list: the asker forgets what it held from this member.
    bool whole = false;
    std::vector<const wire::announcementT*> changed;
    std::vector<std::string> gone;
};

// One endpoint as the operator call `endpoints` shows it.
struct directory_item {
    const wire::announcementT* announcement = nullptr;
    milliseconds age{};
};

// Announcements that one control member heard, with leases. Soft state: it is not replicated and starts
// empty. Not thread-safe; pointers in results are valid until the next call that is not const.
class directory {
public:
    // `epoch` is drawn anew at each start of the process and must not be 0.
    explicit directory(std::uint64_t epoch, const directory_limits& limits = {});

    // Renews the lease and takes over a changed announcement. False when it was not accepted: it is too
    // large, the directory is full, or it is a late one of the process that the current one replaced.
    bool announce(const wire::announcementT& announcement, time_point now);

    // Notes that an endpoint has said that it ends. It stays listed as gone for its lease, so that what other
    // members still list loses against it.
    // False when neither the list nor the announcement says which start of the endpoint ends: another member
    // may know it.
    bool announce_gone(const wire::announcementT& announcement, time_point now);

    // Removes endpoints whose lease ended. Cheap to call with every poll.
    void expire(time_point now);

    // What changed since `version` of `epoch`; the whole list when the asker's state is unknown or too old.
    directory_delta delta(std::uint64_t epoch, std::uint64_t version) const;

    std::vector<directory_item> list(time_point now) const;

    // Null when the endpoint is not listed.
    const wire::announcementT* find(const std::string& endpoint) const;

    std::size_t size() const { return m_entries.size(); }
    std::uint64_t version() const { return m_version; }

private:
    struct entry {
        wire::announcementT announcement;
        time_point heard;
        std::uint64_t version = 0;
        // The process that this one replaced; 0 when there was none.
        incarnation replaced = 0;
    };

    milliseconds lease_of(const entry& value) const;
    void touch(const std::string& name, entry& changed);
    void remove(std::map<std::string, entry>::iterator position);
    void forget_old_removals();
    bool is_known(std::uint64_t epoch, std::uint64_t version) const;

    std::uint64_t m_epoch;
    directory_limits m_limits;
    std::uint64_t m_version = 1;
    // Deltas against versions below this one are no longer complete.
    std::uint64_t m_oldest_delta = 1;
    // No lease ends before this time.
    time_point m_next_expiry = time_point::max();
    std::map<std::string, entry> m_entries;
    std::map<std::uint64_t, std::string> m_changed_by_version;
    std::map<std::uint64_t, std::string> m_gone_by_version;
};

} // namespace verbena::control
