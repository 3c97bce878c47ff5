#include "control/poll_service.h"

#include <algorithm>
#include <limits>

namespace verbena::control {

namespace {

constexpr std::uint32_t unknown_age = std::numeric_limits<std::uint32_t>::max();

constexpr std::size_t max_process_name = 64;

// The address of an entry that has not polled for this long is no longer given to other entries. Entries poll
// twice per second.
constexpr milliseconds entry_lease{5'000};

// An entry counts as polling until it has missed three polls.
constexpr milliseconds entry_poll_timeout{1'500};

// Candidates listed for each failure domain: the preferred one and those that replace it.
constexpr std::size_t schedulers_per_domain = 3;

// The list of candidates is computed at most this often.
constexpr milliseconds schedulers_interval{100};

// Entries that stopped polling longer ago than this are not counted towards the majority.
constexpr milliseconds recent_entry_window{10'000};

void add_directory(const directory_delta& delta, wire::poll_replyT& reply)
{
    reply.directory_epoch = delta.epoch;
    reply.directory_version = delta.version;
    reply.directory_whole = delta.whole;
    reply.gone = delta.gone;
    reply.changed.reserve(delta.changed.size());
    for (const wire::announcementT* announcement : delta.changed) {
        reply.changed.push_back(std::make_unique<wire::announcementT>(*announcement));
    }
}

} // namespace

load_rate_limiter::load_rate_limiter(std::uint64_t bytes_per_s, std::uint64_t burst_bytes)
    : m_rate(static_cast<double>(bytes_per_s)), m_burst(static_cast<double>(burst_bytes))
{
}

void load_rate_limiter::restart(time_point now)
{
    m_available = 0;
    m_refilled = now;
}

bool load_rate_limiter::try_take(std::uint64_t bytes, time_point now)
{
    const std::chrono::duration<double> elapsed = std::max(now - m_refilled, clock::duration::zero());
    m_available = std::min(m_burst, m_available + elapsed.count() * m_rate);
    m_refilled = std::max(m_refilled, now);
    if (m_available < std::min(static_cast<double>(bytes), m_burst)) {
        return false;
    }
    m_available -= static_cast<double>(bytes);
    return true;
}

freshness make_freshness(std::optional<milliseconds> age, const configuration& config, revision held)
{
    freshness out;
    if (!age || *age > max_confirmation_age) {
        return out;
    }
    out.confirmed = true;
    out.age = std::max(*age, milliseconds::zero());
    out.number = config.current_revision();
    if (held < out.number) {
        out.config = *config.packed();
    }
    return out;
}

poll_service::poll_service(const poll_limits& limits)
    : m_limits(limits), m_load_limiter(limits.load_bytes_per_s, limits.load_burst_bytes)
{
}

wire::poll_replyT poll_service::handle(const wire::pollT& poll, const member_view& member,
                                       const configuration& config, directory& endpoints, time_point now)
{
    track_leadership(member.is_leader, now);
    process_record* process = record_poll(poll, now);
    if (poll.announce) {
        endpoints.announce(*poll.announce, now);
    }
    wire::poll_replyT reply;
    reply.nonce = poll.nonce;
    freshness fresh = make_freshness(member.confirmed_age, config, poll.revision);
    reply.confirmed = fresh.confirmed;
    reply.age_ms = fresh.confirmed ? static_cast<std::uint32_t>(fresh.age.count()) : unknown_age;
    reply.revision = fresh.number;
    if (!poll.without_config) {
        reply.config = std::move(fresh.config);
    }
    if (fresh.confirmed) {
        reply.leader = member.leader;
        reply.load_permit = member.is_leader && grant_permit(poll, process, now);
    }
    if (poll.role == wire::role::entry) {
        reply.members = member.members;
        reply.failure_domain = member.failure_domain;
        add_schedulers(poll, now, reply);
    }
    endpoints.expire(now);
    // Configuration and directory delta together may exceed one frame, so the delta waits for the next poll.
    if (poll.role == wire::role::entry && reply.config.empty()) {
        add_directory(endpoints.delta(poll.directory_epoch, poll.directory_version), reply);
    } else {
        reply.directory_epoch = poll.directory_epoch;
        reply.directory_version = poll.directory_version;
    }
    return reply;
}

std::vector<std::unique_ptr<op::process_statusT>> poll_service::processes(time_point now) const
{
    std::vector<std::unique_ptr<op::process_statusT>> items;
    for (const auto& [key, process] : m_processes) {
        const milliseconds age = std::chrono::duration_cast<milliseconds>(now - process.last_poll);
        if (age > m_limits.process_timeout) {
            continue;
        }
        auto item = std::make_unique<op::process_statusT>();
        item->name = key.second;
        item->role = wire::EnumNamerole(key.first);
        item->revision = process.held_revision;
        item->age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
        items.push_back(std::move(item));
    }
    return items;
}

process_record* poll_service::record_poll(const wire::pollT& poll, time_point now)
{
    if (poll.name.empty() || poll.name.size() > max_process_name || poll.role > wire::role::MAX) {
        return nullptr;
    }
    const process_key key(poll.role, poll.name);
    auto position = m_processes.find(key);
    if (position == m_processes.end()) {
        if (m_processes.size() >= m_limits.processes) {
            remove_expired(now);
        }
        if (m_processes.size() >= m_limits.processes) {
            return nullptr;
        }
        position = m_processes.emplace(key, process_record{}).first;
    }
    process_record& process = position->second;
    if (process.current_incarnation != poll.incarnation) {
        process.granted_bytes = 0;
    }
    process.role = poll.role;
    process.current_incarnation = poll.incarnation;
    process.held_revision = poll.revision;
    process.last_poll = now;
    process.frame_address =
        poll.frame_address.size() <= max_process_name ? poll.frame_address : std::string();
    process.failure_domain =
        poll.failure_domain.size() <= max_process_name ? poll.failure_domain : std::string();
    process.processor_share = poll.processor_share;
    return &process;
}

bool poll_service::most_entries_poll(time_point now) const
{
    std::size_t known = 0;
    std::size_t listening = 0;
    for (const auto& [key, process] : m_processes) {
        if (process.role == wire::role::entry && now - process.last_poll < recent_entry_window) {
            ++known;
            listening += now - process.last_poll < entry_poll_timeout ? 1 : 0;
        }
    }
    return known != 0 && listening * 2 > known;
}

bool poll_service::any_entry_polls(time_point now) const
{
    return std::any_of(m_processes.begin(), m_processes.end(), [now](const auto& item) {
        return item.second.role == wire::role::entry && now - item.second.last_poll < entry_poll_timeout;
    });
}

// A list of all entries would make the replies grow with the square of the fleet, so only the candidates of
// each failure domain are listed, and only to a process that holds another list.
void poll_service::add_schedulers(const wire::pollT& poll, time_point now, wire::poll_replyT& reply)
{
    if (poll.failure_domain.empty()) {
        reply.entries = entry_addresses(now);
        return;
    }
    if (now - m_schedulers_updated >= schedulers_interval) {
        m_schedulers_updated = now;
        update_schedulers(now);
    }
    reply.entry_count = m_entry_count;
    reply.schedulers_digest = m_schedulers_digest;
    if (poll.schedulers_digest == m_schedulers_digest) {
        return;
    }
    for (const node::scheduler_candidate& value : m_schedulers) {
        auto item = std::make_unique<wire::scheduler_candidateT>();
        item->address = value.address;
        item->failure_domain = value.failure_domain;
        item->processor_share = value.processor_share;
        reply.schedulers.push_back(std::move(item));
    }
}

void poll_service::update_schedulers(time_point now)
{
    std::vector<node::scheduler_candidate> polling;
    m_entry_count = 0;
    for (const auto& [key, process] : m_processes) {
        if (process.role != wire::role::entry || now - process.last_poll >= entry_lease) {
            continue;
        }
        ++m_entry_count;
        const bool listening = now - process.last_poll < entry_poll_timeout;
        if (listening && !process.frame_address.empty() && !process.failure_domain.empty()) {
            polling.push_back({process.frame_address, process.failure_domain, process.processor_share});
        }
    }
    std::sort(polling.begin(), polling.end(), node::is_preferred);
    m_schedulers.clear();
    std::map<std::string, std::size_t> listed;
    for (node::scheduler_candidate& value : polling) {
        if (++listed[value.failure_domain] <= schedulers_per_domain) {
            m_schedulers.push_back(std::move(value));
        }
    }
    m_schedulers_digest = node::digest_of(m_schedulers);
}

std::vector<std::string> poll_service::entry_addresses(time_point now) const
{
    std::vector<std::string> addresses;
    for (const auto& [key, process] : m_processes) {
        if (!process.frame_address.empty() && now - process.last_poll < entry_lease) {
            addresses.push_back(process.frame_address);
        }
    }
    return addresses;
}

void poll_service::remove_expired(time_point now)
{
    std::erase_if(m_processes,
                  [&](const auto& item) { return now - item.second.last_poll > m_limits.process_timeout; });
}

bool poll_service::grant_permit(const wire::pollT& poll, process_record* process, time_point now)
{
    if (process == nullptr) {
        return false;
    }
    if (poll.wants_load_bytes == 0) {
        process->granted_bytes = 0;
        return false;
    }
    if (process->granted_bytes == poll.wants_load_bytes) {
        return true;
    }
    if (!m_load_limiter.try_take(poll.wants_load_bytes, now)) {
        return false;
    }
    process->granted_bytes = poll.wants_load_bytes;
    return true;
}

// Discards permits granted in an earlier term, so that the rate limit holds across leader changes.
void poll_service::track_leadership(bool is_leader, time_point now)
{
    if (is_leader && !m_was_leader) {
        m_load_limiter.restart(now);
        for (auto& [key, process] : m_processes) {
            process.granted_bytes = 0;
        }
    }
    m_was_leader = is_leader;
}

} // namespace verbena::control
