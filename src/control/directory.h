#pragma once

#include "base/error.h"
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
    // An endpoint is removed after this time without an announcement. Agents poll every 500 ms.
    milliseconds lease = std::chrono::seconds(3);
    // Lease of endpoints that announce themselves: they do so every 1 to 2 s, occasionally seconds late.
    milliseconds self_announced_lease = std::chrono::seconds(8);
    // Most endpoints held. The design size, two years ahead, is 1,400. When the directory is full, a new
    // endpoint takes the place of the oldest entry that has not been renewed within 2 s of its arrival.
    std::size_t endpoints = 10'000;
    // Largest accepted announcement, in estimated bytes.
    std::size_t announcement_bytes = std::size_t{8} << 10U;
    // Removals kept for deltas. A client that missed more gets the whole list.
    std::size_t removals = 4'096;
    // Estimated bytes of announcements in one delta, so that a reply fits a frame of 256 KiB; the client
    // fetches the rest with its next poll. When the names of removed endpoints need more than half as much,
    // the client gets the whole list instead.
    std::size_t delta_bytes = std::size_t{128} << 10U;
};

// Changes of the directory since a version that the client holds.
struct directory_delta {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    // True for the first part of a whole list: the client discards what it held from this member.
    bool whole = false;
    std::vector<const wire::announcementT*> changed;
    std::vector<std::string> gone;
};

// One endpoint as the operator call `endpoints` shows it.
struct directory_item {
    const wire::announcementT* announcement = nullptr;
    milliseconds age{};
};

// Announcements received by one control member, with leases. Soft state: not replicated, and empty after a
// start. Not thread-safe; pointers in results are valid until the next non-const call.
class directory {
public:
    // `epoch` is a new random number at each start of the process and must not be 0.
    explicit directory(std::uint64_t epoch, const directory_limits& limits = {});

    // Renews the lease and stores a changed announcement. Returns false when it is rejected: it names no
    // endpoint to use, it is too large, the directory is full of renewed entries, or it is older than the
    // stored one or from the process that was replaced. A start that was announced once yields to an earlier
    // start of the endpoint that keeps announcing itself; it is listed again when it announces itself again.
    bool announce(const wire::announcementT& announcement, time_point now);

    // Marks an endpoint as gone after it announced its end. It stays listed as gone until its lease expires,
    // so that the mark overrides the lists of other members. Returns false when neither the list nor the
    // announcement identifies which start of the endpoint has ended; another member may know it.
    bool announce_gone(const wire::announcementT& announcement, time_point now);

    // Stores the announcement, or marks the endpoint as gone, for an endpoint that relies on being listed
    // once this is acknowledged. The value is false when the listed announcement is newer. Returns an error
    // when the endpoint is not listed afterwards.
    result<bool> check_in(const wire::announcementT& announcement, time_point now);

    // Removes endpoints whose lease has expired. Returns at once before the earliest expiry, so it can be
    // called with every poll.
    void expire(time_point now);

    // Changes since `version` of `epoch`; the whole list when that version is unknown or too old.
    directory_delta delta(std::uint64_t epoch, std::uint64_t version) const;

    std::vector<directory_item> list(time_point now) const;

    // Null when the endpoint is not listed.
    const wire::announcementT* find(const std::string& endpoint) const;

    std::size_t size() const { return m_entries.size(); }
    std::uint64_t version() const { return m_version; }

private:
    // An earlier start than the listed one that still announces itself.
    struct earlier_start {
        std::uint64_t born_ms = 0;
        std::uint64_t sequence = 0; // of its latest announcement
        time_point first_announced;
        std::uint32_t announcements = 0; // with increasing sequence numbers
    };

    struct entry {
        wire::announcementT announcement;
        time_point last_announced;
        std::uint64_t version = 0;
        // Incarnation that the current one replaced; 0 when there was none.
        incarnation replaced_incarnation = 0;
        // Position in m_unrenewed; 0 once the entry has been renewed.
        std::uint64_t arrival = 0;
        // First announcement of the listed start, and whether a later one has followed it.
        time_point start_announced;
        bool start_confirmed = false;
        earlier_start earlier;
        // Latest announcement of the start that yielded to the listed one; 0 when none did.
        std::uint64_t yielded_born_ms = 0;
        std::uint64_t yielded_sequence = 0;
    };

    milliseconds lease_of(const entry& value) const;
    // Whether the announcement is older than the listed one, or from a start that was replaced or has
    // yielded.
    static bool is_outdated(const entry& known, const wire::announcementT& announcement);
    // Counts an outdated announcement, and returns whether the listed start yields to it.
    static bool yields_to(entry& known, const wire::announcementT& announcement, time_point now);
    static void record_start(entry& known, const wire::announcementT& announcement, bool yields,
                             time_point now);
    // Removes the oldest entry that has not been renewed in time; returns false if there is none.
    bool make_room(time_point now);
    void add(const wire::announcementT& announcement, time_point now);
    void set_renewed(entry& renewed, time_point now);
    void assign_new_version(const std::string& name, entry& changed);
    void remove(std::map<std::string, entry>::iterator position);
    void prune_removals();
    bool has_delta_since(std::uint64_t epoch, std::uint64_t version) const;
    std::size_t removed_bytes_since(std::uint64_t version) const;
    directory_delta changes_since(std::uint64_t since, bool whole) const;

    std::uint64_t m_epoch;
    directory_limits m_limits;
    std::uint64_t m_version = 1;
    // Oldest version from which a complete delta can be built.
    std::uint64_t m_oldest_delta = 1;
    // No lease expires before this time.
    time_point m_next_expiry = time_point::max();
    std::map<std::string, entry> m_entries;
    // Names of the entries that have been announced once, in the order of their arrival.
    std::map<std::uint64_t, std::string> m_unrenewed;
    std::uint64_t m_last_arrival = 0;
    std::map<std::uint64_t, std::string> m_changed_by_version;
    std::map<std::uint64_t, std::string> m_removals_by_version;
};

} // namespace verbena::control
