#pragma once

#include "control/configuration.h"
#include "control/directory.h"
#include "node/scheduler_list.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbena::control {

// An older confirmation is useless to the poller: processes accept work for 2.5 s after a confirmation.
inline constexpr milliseconds max_confirmation_age{2'500};

struct poll_limits {
    // Most processes kept in the table. The design size, two years ahead, is 1,400 agents and some entries.
    std::size_t processes = 4'096;
    // A process that has not polled for this long is removed from the table.
    std::chrono::seconds process_timeout{60};
    // Rate limit of the weight store, and the largest burst granted after an idle period, in bytes.
    std::uint64_t load_bytes_per_s = std::uint64_t{1} << 30U;
    std::uint64_t load_burst_bytes = std::uint64_t{4} << 30U;
};

// State of this member at the time of a poll.
struct member_view {
    // Age of the newest proof that this member's applied state includes everything accepted before the proof
    // began. Empty while the member has no contact with a quorum.
    std::optional<milliseconds> confirmed_age;
    bool is_leader = false;
    // Frame address of the leader; empty when unknown.
    std::string leader;
    // Frame addresses of all members.
    std::vector<std::string> members{};
    std::string failure_domain{};
};

// Token bucket for loads from the weight store. A full bucket admits a load larger than the burst; the
// balance then becomes negative and later grants wait until it has recovered.
class load_rate_limiter {
public:
    load_rate_limiter(std::uint64_t bytes_per_s, std::uint64_t burst_bytes);

    // Empties the bucket. Called on a new leader, because the former one may just have granted a full burst.
    void restart(time_point now);

    bool try_take(std::uint64_t bytes, time_point now);

private:
    double m_rate;
    double m_burst;
    double m_available = 0;
    time_point m_refilled{};
};

// A process that polls this member.
struct process_record {
    wire::role role = wire::role::unknown;
    incarnation current_incarnation = 0;
    revision held_revision = 0;
    time_point last_poll;
    // Frame address under which other entries reach this entry; empty for other roles.
    std::string frame_address;
    // Failure domain and processor share of an entry that may schedule requests; empty and 0 for others.
    std::string failure_domain;
    std::uint32_t processor_share = 0;
    // Size of the load permit that the process holds, in bytes; 0 without a permit.
    std::uint64_t granted_bytes = 0;
};

// Answers polls. Not thread-safe.
//
// A member without confirmation replies confirmed = false, the maximum age, revision 0, no configuration, no
// leader and no permit: an isolated member may hold an old configuration, which a process that has just
// started could not recognise as old. The directory is still sent: it only decides which endpoint is tried
// next, and agents accept work only under a confirmed configuration.
class poll_service {
public:
    explicit poll_service(const poll_limits& limits = {});

    // A load permit is charged once and repeated to the same incarnation for the same amount until a poll has
    // wants_load_bytes = 0, so that a lost reply is not charged again. A process polls with
    // wants_load_bytes = 0 at least once between two loads.
    wire::poll_replyT handle(const wire::pollT& poll, const member_view& member, const configuration& config,
                             directory& endpoints, time_point now);

    // Processes that polled within `process_timeout`, ordered by role and name.
    std::vector<std::unique_ptr<op::process_statusT>> processes(time_point now) const;

    // True when more than half of the entries that polled in the last 10 s have polled in the last 1.5 s.
    bool most_entries_poll(time_point now) const;

    // True when any entry has polled in the last 1.5 s.
    bool any_entry_polls(time_point now) const;

    std::size_t size() const { return m_processes.size(); }

private:
    using process_key = std::pair<wire::role, std::string>;

    std::vector<std::string> entry_addresses(time_point now) const;
    void add_schedulers(const wire::pollT& poll, time_point now, wire::poll_replyT& reply);
    void update_schedulers(time_point now);
    process_record* record_poll(const wire::pollT& poll, time_point now);
    void remove_expired(time_point now);
    bool grant_permit(const wire::pollT& poll, process_record* process, time_point now);
    void track_leadership(bool is_leader, time_point now);

    poll_limits m_limits;
    load_rate_limiter m_load_limiter;
    bool m_was_leader = false;
    std::map<process_key, process_record> m_processes;

    std::vector<node::scheduler_candidate> m_schedulers;
    std::uint64_t m_schedulers_digest = 0;
    std::uint32_t m_entry_count = 0;
    time_point m_schedulers_updated{};
};

// Reply to a freshness query, or the freshness part of a poll reply: the newest confirmed revision, its age
// and, when the requester holds an older revision, the packed configuration. Empty when `age` is empty or
// above max_confirmation_age.
struct freshness {
    bool confirmed = false;
    milliseconds age{};
    revision number = 0;
    std::vector<std::uint8_t> config;
};

freshness make_freshness(std::optional<milliseconds> age, const configuration& config, revision held);

} // namespace verbena::control
