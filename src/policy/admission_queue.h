#pragma once

#include "policy/cold_limit.h"
#include "policy/estimate.h"
#include "policy/memory_account.h"
#include "policy/scheduling.h"

#include <memory>
#include <optional>
#include <vector>

namespace verbena::policy {

enum class push_verdict : std::uint8_t { queued, full, duplicate, too_large };

const char* to_string(push_verdict verdict);

// Requests that wait at one endpoint. Bounded; a team that holds more than its share of the queue is refused
// before the queue is full, so that it cannot keep other teams out.
class admission_queue {
public:
    admission_queue(std::size_t limit, std::unique_ptr<scheduling_policy> policy);

    // Weight of a team's share; 1 for teams that were not set.
    void set_weight(std::string_view team, double weight);

    // Adds a request. "too_large" means that it can never fit into the memory account.
    push_verdict push(const queued_request& request, const memory_account& memory, time_point now);

    // Takes the next request that the memory account and the cold limit allow, and reserves its memory. The
    // caller dispatches it and releases the reservation when the engine reports its end. Call it until it
    // returns nothing after each push, release, removal and rise of the limit, and once a second for aging.
    std::optional<queued_request> pop(memory_account& memory, const cold_limit& limit, time_point now);

    // Removes a cancelled request that still waits, which proves that it did not run.
    std::optional<queued_request> remove(const attempt_id& attempt);

    // Removes and returns the requests whose deadline has passed.
    std::vector<queued_request> expire(time_point now);

    // Removes and returns all requests.
    std::vector<queued_request> clear();

    // Earliest deadline of a waiting request, for the caller's timer.
    std::optional<time_point> next_deadline() const;

    // Waiting work that would go before this request.
    backlog ahead_of(const queued_request& request, time_point now) const;

    bool contains(const attempt_id& attempt) const;
    std::size_t size() const { return m_entries.size(); }
    std::size_t size(length_class length) const { return m_by_length[static_cast<std::size_t>(length)]; }
    std::size_t limit() const { return m_limit; }
    const scheduling_policy& policy() const { return *m_policy; }

private:
    struct candidate {
        dispatch_order order;
        std::size_t index = 0;
    };

    double weight_of(std::string_view team) const;
    bool over_share(std::string_view team) const;
    std::vector<candidate> ordered(time_point now) const;
    std::optional<std::size_t> choose(const memory_account& memory, time_point now) const;
    queued_request take(std::size_t index);

    std::size_t m_limit;
    std::unique_ptr<scheduling_policy> m_policy;
    std::uint64_t m_sequence = 0;
    std::vector<queue_entry> m_entries;
    std::array<std::size_t, length_class_count> m_by_length{};
    name_map<double> m_weights;
    name_map<std::size_t> m_by_team;
};

} // namespace verbena::policy
