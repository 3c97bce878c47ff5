#include "control/directory.h"

#include "node/announcement_check.h"

#include <algorithm>
#include <tuple>

namespace verbena::control {

namespace {

// Age from which an entry that was announced once makes room in a full directory. Agents announce themselves
// every 500 ms, other endpoints every 1 to 2 s.
constexpr milliseconds first_renewal_timeout{2'000};

// A start that has announced itself once yields to an earlier one after this time, in which a running
// endpoint announces itself at least once more.
constexpr milliseconds unconfirmed_start_timeout{3'000};
// The earlier start must have announced itself this often, and for this long, since then. Announcements that
// a partition has delayed arrive together, so they do not bring back an endpoint that has crashed.
constexpr std::uint32_t min_earlier_announcements = 3;
constexpr milliseconds min_earlier_time{1'500};

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

// Endpoints that announce themselves send a sequence number, and most of them their start time. Agents send
// neither.
bool is_self_announced(const wire::announcementT& announcement)
{
    return announcement.born_ms != 0 || announcement.sequence != 0;
}

// Start time and sequence number identify late announcements.
bool is_older(const wire::announcementT& received, const wire::announcementT& held)
{
    return std::tie(received.born_ms, received.sequence) < std::tie(held.born_ms, held.sequence);
}

// True when only the sequence number and the remaining cold time differ. Receivers count the cold time down
// themselves, so only an increase is a change.
bool is_renewal(const wire::announcementT& received, const wire::announcementT& held)
{
    if (received.cold_ms > held.cold_ms) {
        return false;
    }
    wire::announcementT copy = received;
    copy.sequence = held.sequence;
    copy.cold_ms = held.cold_ms;
    return copy == held;
}

} // namespace

directory::directory(std::uint64_t epoch, const directory_limits& limits) : m_epoch(epoch), m_limits(limits)
{
}

bool directory::announce(const wire::announcementT& announcement, time_point now)
{
    // Another member may have passed on what it has not checked itself.
    if (!node::check_announcement(announcement, std::chrono::system_clock::now()) ||
        size_of(announcement) > m_limits.announcement_bytes) {
        return false;
    }
    const auto position = m_entries.find(announcement.endpoint);
    if (position == m_entries.end()) {
        if (m_entries.size() >= m_limits.endpoints && !make_room(now)) {
            return false;
        }
        add(announcement, now);
        return true;
    }
    entry& known = position->second;
    const bool yields = is_outdated(known, announcement) && yields_to(known, announcement, now);
    if (!yields && is_outdated(known, announcement)) {
        return false;
    }
    record_start(known, announcement, yields, now);
    set_renewed(known, now);
    if (is_renewal(announcement, known.announcement)) {
        known.announcement.sequence = announcement.sequence;
        known.announcement.cold_ms = announcement.cold_ms;
        return true;
    }
    if (announcement.incarnation != known.announcement.incarnation) {
        // A start that has yielded is listed again when it announces itself again.
        known.replaced_incarnation = yields ? 0 : known.announcement.incarnation;
    }
    known.announcement = announcement;
    assign_new_version(announcement.endpoint, known);
    return true;
}

bool directory::is_outdated(const entry& known, const wire::announcementT& announcement)
{
    // Without a start time the incarnation is 0 too and replaces none.
    const bool replaced =
        announcement.incarnation != 0 && announcement.incarnation == known.replaced_incarnation;
    const bool repeats_yielded = announcement.born_ms != 0 && announcement.born_ms == known.yielded_born_ms &&
                                 announcement.sequence <= known.yielded_sequence;
    return replaced || repeats_yielded || is_older(announcement, known.announcement);
}

// An endpoint announces itself for as long as it runs, and at most one start of it runs. So when two starts
// are announced, the one that goes on is the one that runs, whatever start time the other one claims.
bool directory::yields_to(entry& known, const wire::announcementT& announcement, time_point now)
{
    const wire::announcementT& listed = known.announcement;
    if (announcement.born_ms == 0 || announcement.born_ms >= listed.born_ms || listed.gone ||
        known.start_confirmed) {
        return false;
    }
    earlier_start& earlier = known.earlier;
    if (earlier.born_ms != announcement.born_ms) {
        earlier = {announcement.born_ms, announcement.sequence, now, 1};
        return false;
    }
    if (announcement.sequence <= earlier.sequence) {
        return false;
    }
    earlier.sequence = announcement.sequence;
    ++earlier.announcements;
    return earlier.announcements >= min_earlier_announcements &&
           now - earlier.first_announced >= min_earlier_time &&
           now - known.start_announced >= unconfirmed_start_timeout;
}

void directory::record_start(entry& known, const wire::announcementT& announcement, bool yields,
                             time_point now)
{
    const wire::announcementT& listed = known.announcement;
    if (announcement.born_ms == listed.born_ms) {
        known.start_confirmed = known.start_confirmed || announcement.sequence > listed.sequence;
        return;
    }
    // Both have been announced more than once: the one that yields to, and one that returns after it yielded.
    known.start_confirmed = yields || announcement.born_ms == known.yielded_born_ms;
    known.start_announced = now;
    known.earlier = {};
    known.yielded_born_ms = yields ? listed.born_ms : 0;
    known.yielded_sequence = yields ? listed.sequence : 0;
}

bool directory::announce_gone(const wire::announcementT& announcement, time_point now)
{
    if (!node::check_announcement(announcement, std::chrono::system_clock::now())) {
        return false;
    }
    const auto position = m_entries.find(announcement.endpoint);
    if (position == m_entries.end()) {
        // Only the start time identifies which of several starts under one name has ended.
        return announcement.born_ms != 0 && announce(announcement, now);
    }
    wire::announcementT ended = position->second.announcement;
    if (announcement.born_ms != 0 && announcement.born_ms < ended.born_ms) {
        // The listed endpoint is a later start, so nothing changes.
        return true;
    }
    ended.gone = true;
    ended.leaving = true;
    ended.sequence = announcement.sequence;
    ended.born_ms = std::max(ended.born_ms, announcement.born_ms);
    announce(ended, now);
    return true;
}

result<bool> directory::check_in(const wire::announcementT& announcement, time_point now)
{
    const bool stored = announcement.gone ? announce_gone(announcement, now) : announce(announcement, now);
    if (stored || m_entries.count(announcement.endpoint) != 0) {
        return stored;
    }
    if (announcement.gone) {
        return make_error(error_kind::unavailable, "endpoint is not in the directory of this member",
                          "send the leave to another member");
    }
    return make_error(error_kind::overloaded, "the directory of this member is full or rejects the endpoint",
                      "check in at another member");
}

milliseconds directory::lease_of(const entry& value) const
{
    return is_self_announced(value.announcement) ? m_limits.self_announced_lease : m_limits.lease;
}

void directory::expire(time_point now)
{
    if (now < m_next_expiry) {
        return;
    }
    m_next_expiry = time_point::max();
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const auto next = std::next(position);
        const time_point end = position->second.last_announced + lease_of(position->second);
        if (end <= now) {
            remove(position);
        } else {
            m_next_expiry = std::min(m_next_expiry, end);
        }
        position = next;
    }
    prune_removals();
}

directory_delta directory::delta(std::uint64_t epoch, std::uint64_t version) const
{
    return has_delta_since(epoch, version) && removed_bytes_since(version) <= m_limits.delta_bytes / 2
               ? changes_since(version, false)
               : changes_since(0, true);
}

// Stops counting once the names do not fit a delta.
std::size_t directory::removed_bytes_since(std::uint64_t version) const
{
    constexpr std::size_t overhead = 16;
    std::size_t bytes = 0;
    for (auto item = m_removals_by_version.upper_bound(version);
         item != m_removals_by_version.end() && bytes <= m_limits.delta_bytes; ++item) {
        bytes += item->second.size() + overhead;
    }
    return bytes;
}

directory_delta directory::changes_since(std::uint64_t since, bool whole) const
{
    directory_delta out;
    out.epoch = m_epoch;
    out.whole = whole;
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
    for (auto item = m_removals_by_version.upper_bound(since);
         item != m_removals_by_version.end() && item->first <= out.version; ++item) {
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
        items.push_back(
            {&value.announcement, std::chrono::duration_cast<milliseconds>(now - value.last_announced)});
    }
    return items;
}

const wire::announcementT* directory::find(const std::string& endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second.announcement;
}

bool directory::make_room(time_point now)
{
    if (m_unrenewed.empty()) {
        return false;
    }
    const auto oldest = m_entries.find(m_unrenewed.begin()->second);
    if (now - oldest->second.last_announced < first_renewal_timeout) {
        return false;
    }
    remove(oldest);
    prune_removals();
    return true;
}

void directory::add(const wire::announcementT& announcement, time_point now)
{
    entry added;
    added.announcement = announcement;
    added.last_announced = now;
    added.arrival = ++m_last_arrival;
    added.start_announced = now;
    m_unrenewed.emplace(m_last_arrival, announcement.endpoint);
    m_next_expiry = std::min(m_next_expiry, now + lease_of(added));
    assign_new_version(announcement.endpoint,
                       m_entries.emplace(announcement.endpoint, std::move(added)).first->second);
}

void directory::set_renewed(entry& renewed, time_point now)
{
    renewed.last_announced = now;
    m_unrenewed.erase(renewed.arrival);
    renewed.arrival = 0;
}

void directory::assign_new_version(const std::string& name, entry& changed)
{
    m_changed_by_version.erase(changed.version);
    changed.version = ++m_version;
    m_changed_by_version.emplace(m_version, name);
}

void directory::remove(std::map<std::string, entry>::iterator position)
{
    m_changed_by_version.erase(position->second.version);
    m_removals_by_version.emplace(++m_version, position->first);
    m_unrenewed.erase(position->second.arrival);
    m_entries.erase(position);
}

// Entries at or below m_oldest_delta get a new version. Otherwise the first part of a whole list could end at
// a version from which no delta is possible, and the client would receive the first part forever.
void directory::prune_removals()
{
    if (m_removals_by_version.size() <= m_limits.removals) {
        return;
    }
    while (m_removals_by_version.size() > m_limits.removals / 2) {
        m_oldest_delta = m_removals_by_version.begin()->first;
        m_removals_by_version.erase(m_removals_by_version.begin());
    }
    while (!m_changed_by_version.empty() && m_changed_by_version.begin()->first <= m_oldest_delta) {
        const std::string name = m_changed_by_version.begin()->second;
        assign_new_version(name, m_entries.at(name));
    }
}

bool directory::has_delta_since(std::uint64_t epoch, std::uint64_t version) const
{
    return epoch == m_epoch && version >= m_oldest_delta && version <= m_version;
}

} // namespace verbena::control
