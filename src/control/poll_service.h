#pragma once

#include "control/configuration.h"
#include "control/directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbena::control {

// A confirmation older than this does not help anyone: processes accept work for 2.5 s after it.
inline constexpr milliseconds max_confirmation_age{2'500};

struct poll_limits {
    // Processes remembered; 1,400 agents and some entries at the size of two years.
    std::size_t processes = 4'096;
    // A process that was not heard for this long is dropped from the table.
    std::chrono::seconds forget_after{60};
    // Rate limit of the weight store and the largest amount granted at once after a pause, in bytes.
    std::uint64_t load_bytes_per_s = std::uint64_t{1} << 30U;
    std::uint64_t load_burst_bytes = std::uint64_t{4} << 30U;
};

// What the member knows about itself when it answers a poll.
struct member_view {
    // Age of the newest proof that this member's applied state includes everything accepted before the proof
    // began. Empty while the member hears from no quorum.
    std::optional<milliseconds> confirmed_age;
    bool is_leader = false;
    // Address of the leader for other processes; empty when unknown.
    std::string leader;
    // Frame addresses of all members.
    std::vector<std::string> members{};
};

// Token bucket for loads from the weight store. A grant may take the bucket below zero, so that a load larger
// than the burst is possible; the next grant then waits until the debt is paid.
class load_bucket {
public:
    load_bucket(std::uint64_t bytes_per_s, std::uint64_t burst_bytes);

    // Starts empty, because the former leader may just have granted a full burst.
    void restart(time_point now);

    bool take(std::uint64_t bytes, time_point now);

private:
    double m_rate;
    double m_burst;
    double m_tokens = 0;
    time_point m_filled{};
};

// A process that polls this member.
struct process_record {
    wire::role role = wire::role::unknown;
    incarnation process = 0;
    revision confirmed = 0;
    time_point heard;
    // Where other entries reach it; empty for other roles.
    std::string frame_address;
    // Bytes of the permit that the process holds; 0 when it holds none.
    std::uint64_t granted_bytes = 0;
};

// Answers polls. Not thread-safe.
//
// A member that is not confirmed answers confirmed = false, age at its maximum, revision 0, no configuration,
// no leader and no permit. An isolated member may hold an old configuration, and a process that has just
// started has nothing to compare it with. The directory is still given: it only decides which endpoint is
// tried next, and agents accept work only under a confirmed configuration.
class poll_service {
public:
    explicit poll_service(const poll_limits& limits = {});

    // The permit for a load is granted once and repeated for the same incarnation and amount until a poll
    // asks for nothing, so that a lost reply costs no bytes. A process polls with wants_load_bytes = 0 at
    // least once between two loads.
    wire::poll_replyT handle(const wire::pollT& poll, const member_view& member, const configuration& config,
                             directory& endpoints, time_point now);

    // Processes heard within `forget_after`, by role and name.
    std::vector<std::unique_ptr<op::process_statusT>> processes(time_point now) const;

    // Whether more than half of the entries heard lately poll this member now.
    bool most_entries_listen(time_point now) const;

    // Whether any entry does.
    bool an_entry_listens(time_point now) const;

    std::size_t size() const { return m_processes.size(); }

private:
    using process_key = std::pair<wire::role, std::string>;

    std::vector<std::string> entry_addresses(time_point now) const;
    process_record* note(const wire::pollT& poll, time_point now);
    void forget(time_point now);
    bool permit(const wire::pollT& poll, process_record* process, time_point now);
    void follow_leadership(bool is_leader, time_point now);

    poll_limits m_limits;
    load_bucket m_bucket;
    bool m_was_leader = false;
    std::map<process_key, process_record> m_processes;
};

// Answers a freshness query or the freshness part of a poll: the newest confirmed revision, its age and, when
// the asker's revision is older, the packed configuration. Nothing when `age` is empty or too old.
struct freshness {
    bool confirmed = false;
    milliseconds age{};
    revision number = 0;
    std::vector<std::uint8_t> config;
};

freshness make_freshness(std::optional<milliseconds> age, const configuration& config, revision held);

} // namespace verbena::control
