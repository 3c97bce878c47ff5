#include "policy/admission_queue.h"

#include <algorithm>

namespace verbena::policy {

namespace {

// Above this fraction of the queue limit, only teams below their share are admitted.
constexpr double open_fraction = 0.75;

// Inverted comparison: std::make_heap and std::pop_heap then yield the earliest entry in dispatch order.
struct dispatched_later {
    template <typename T>
    bool operator()(const T& left, const T& right) const
    {
        return right.order < left.order;
    }
};

// The engine does not change a request's priority after dispatch, so aging of a dispatched request is applied
// by holding back new requests instead: medium ones once a dispatched long request has been promoted, short
// ones in one second of four once a dispatched long request has been promoted twice (half of its time to the
// deadline; batch requests two quarters later).
bool yields_to(const queued_request& dispatched, length_class length, time_point now)
{
    const std::uint32_t quarters = promotions(dispatched, now);
    if (length != length_class::short_prompt) {
        return quarters > 0;
    }
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    return dispatched.length() == length_class::long_prompt && quarters >= 2 && second % 4 == 0;
}

} // namespace

const char* to_string(push_verdict verdict)
{
    switch (verdict) {
    case push_verdict::queued:
        return "queued";
    case push_verdict::full:
        return "full";
    case push_verdict::duplicate:
        return "duplicate";
    case push_verdict::too_large:
        return "too_large";
    }
    return "unknown";
}

admission_queue::admission_queue(std::size_t limit, std::unique_ptr<scheduling_policy> policy)
    : m_limit(limit), m_policy(std::move(policy))
{
}

void admission_queue::set_weight(std::string_view team, double weight)
{
    m_weights.insert_or_assign(std::string(team), weight);
}

double admission_queue::weight_of(std::string_view team) const
{
    const auto found = m_weights.find(team);
    return found == m_weights.end() ? 1.0 : found->second;
}

bool admission_queue::over_share(std::string_view team) const
{
    const auto found = m_by_team.find(team);
    const std::size_t held = found == m_by_team.end() ? 0 : found->second;
    const double own = weight_of(team);
    double sum = held == 0 ? own : 0;
    for (const auto& [name, count] : m_by_team) {
        sum += weight_of(name);
    }
    return static_cast<double>(held + 1) > static_cast<double>(m_limit) * own / sum;
}

push_verdict admission_queue::push(const queued_request& request, const memory_account& memory,
                                   time_point /*now*/)
{
    if (contains(request.attempt)) {
        return push_verdict::duplicate;
    }
    if (!memory.can_ever_fit(request.tokens(), request.length())) {
        return push_verdict::too_large;
    }
    const bool above_open_fraction =
        static_cast<double>(m_entries.size()) >= open_fraction * static_cast<double>(m_limit);
    if (m_entries.size() >= m_limit || (above_open_fraction && over_share(request.team))) {
        return push_verdict::full;
    }
    const double start = m_policy->push(request, weight_of(request.team));
    m_entries.push_back({request, m_sequence, start});
    ++m_sequence;
    ++m_by_length[static_cast<std::size_t>(request.length())];
    ++m_by_team.try_emplace(request.team, 0).first->second;
    return push_verdict::queued;
}

std::vector<admission_queue::candidate> admission_queue::ordered(time_point now) const
{
    std::vector<candidate> candidates;
    candidates.reserve(m_entries.size());
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        candidates.push_back({m_policy->order(m_entries[i], now), i});
    }
    std::make_heap(candidates.begin(), candidates.end(), dispatched_later{});
    return candidates;
}

bool admission_queue::window_allows(const queued_request& request, time_point now) const
{
    if (!m_window) {
        return true;
    }
    const auto length = request.length();
    const std::uint32_t level = engine_level(request, now);
    const std::uint32_t rank = engine_rank(request, now);
    std::uint64_t sum = 0;
    for (const pending& other : m_pending) {
        if (other.request.length() == length) {
            sum += other.rank <= rank ? other.request.prompt_tokens : 0;
        } else if (other.level > level && yields_to(other.request, length, now)) {
            return false;
        }
    }
    return sum == 0 || sum + request.prompt_tokens <= m_window->tokens[static_cast<std::size_t>(length)];
}

void admission_queue::keep_memory_for(const queued_request& request, const memory_account& memory,
                                      dispatch_constraints& limits) const
{
    const bool is_long = request.length() == length_class::long_prompt;
    if (is_long) {
        limits.blocked[static_cast<std::size_t>(length_class::long_prompt)] = true;
    }
    // A long request that waits for the memory of other long requests needs no free memory yet, but no other
    // long request may overtake it.
    if (!is_long || memory.used_by_long() + request.tokens() <= memory.long_capacity()) {
        limits.held = request.tokens();
    }
}

std::optional<std::size_t> admission_queue::choose(const memory_account& memory, time_point now) const
{
    auto candidates = ordered(now);
    dispatch_constraints limits;
    for (auto end = candidates.end(); end != candidates.begin(); --end) {
        std::pop_heap(candidates.begin(), end, dispatched_later{});
        const std::size_t index = std::prev(end)->index;
        const queue_entry& entry = m_entries[index];
        const auto length = entry.request.length();
        bool& blocked = limits.blocked[static_cast<std::size_t>(length)];
        // Once the window rejects a request, smaller requests of its class do not overtake it.
        blocked = blocked || !window_allows(entry.request, now);
        if (!blocked && memory.fits(entry.request.tokens(), length, limits.held)) {
            return index;
        }
        if (!m_policy->may_pass(entry, now)) {
            return std::nullopt;
        }
        if (!blocked && limits.held == 0 && m_policy->holds_memory(entry, now)) {
            keep_memory_for(entry.request, memory, limits);
        }
    }
    return std::nullopt;
}

queued_request admission_queue::take(std::size_t index)
{
    queued_request request = std::move(m_entries[index].request);
    m_entries[index] = std::move(m_entries.back());
    m_entries.pop_back();
    const auto length = request.length();
    auto& count = m_by_length[static_cast<std::size_t>(length)];
    --count;
    if (count == 0) {
        m_policy->idle(length);
    }
    const auto team = m_by_team.find(request.team);
    if (--team->second == 0) {
        m_by_team.erase(team);
    }
    return request;
}

std::optional<queued_request> admission_queue::pop(memory_account& memory, const cold_limit& limit,
                                                   time_point now)
{
    if (m_entries.empty() || !limit.allows(memory.size())) {
        return std::nullopt;
    }
    std::erase_if(m_pending,
                  [&memory](const pending& other) { return !memory.contains(other.request.attempt); });
    const auto index = choose(memory, now);
    if (!index) {
        return std::nullopt;
    }
    const queue_entry& entry = m_entries[*index];
    const queued_request& request = entry.request;
    if (!memory.reserve(request.attempt, request.tokens(), request.length(), request.owner)) {
        return std::nullopt;
    }
    m_policy->dispatched(entry, now);
    const std::uint32_t level = engine_level(request, now);
    const std::uint32_t rank = engine_rank(request, now);
    queued_request taken = take(*index);
    m_pending.push_back({taken, level, rank, now});
    return taken;
}

std::optional<clock::duration> admission_queue::record_first_token(const attempt_id& attempt, time_point now)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&attempt](const pending& other) {
        return other.request.attempt == attempt;
    });
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    time_point& last = m_last_prefilled[static_cast<std::size_t>(found->request.length())];
    const auto spent = now - std::max(last, found->dispatched);
    last = now;
    m_pending.erase(found);
    return spent;
}

std::uint64_t admission_queue::pending_prefill(std::uint32_t rank) const
{
    std::uint64_t sum = 0;
    for (const pending& other : m_pending) {
        sum += other.rank <= rank ? other.request.prompt_tokens : 0;
    }
    return sum;
}

std::optional<queued_request> admission_queue::remove(const attempt_id& attempt)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&attempt](const queue_entry& entry) {
        return entry.request.attempt == attempt;
    });
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return take(static_cast<std::size_t>(found - m_entries.begin()));
}

std::vector<queued_request> admission_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    for (std::size_t i = 0; i < m_entries.size();) {
        if (m_entries[i].request.deadline <= now) {
            expired.push_back(take(i));
        } else {
            ++i;
        }
    }
    return expired;
}

std::vector<queued_request> admission_queue::clear()
{
    std::vector<queued_request> removed;
    removed.reserve(m_entries.size());
    while (!m_entries.empty()) {
        removed.push_back(take(m_entries.size() - 1));
    }
    return removed;
}

std::optional<time_point> admission_queue::next_deadline() const
{
    std::optional<time_point> next;
    for (const queue_entry& entry : m_entries) {
        if (!next || entry.request.deadline < *next) {
            next = entry.request.deadline;
        }
    }
    return next;
}

backlog admission_queue::ahead_of(const queued_request& request, time_point now) const
{
    const queue_entry entry{request, m_sequence, m_policy->start_of(request)};
    const dispatch_order own = m_policy->order(entry, now);
    backlog ahead;
    const std::uint32_t rank = engine_rank(request, now);
    ahead.prefill_tokens = pending_prefill(rank);
    for (const queue_entry& other : m_entries) {
        if (engine_rank(other.request, now) <= rank && m_policy->order(other, now) < own) {
            ahead.prefill_tokens += other.request.prompt_tokens;
            ++ahead.waiting;
        }
    }
    return ahead;
}

bool admission_queue::contains(const attempt_id& attempt) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&attempt](const queue_entry& entry) { return entry.request.attempt == attempt; });
}

} // namespace verbena::policy
