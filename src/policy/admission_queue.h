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

// Maximum prompt tokens per length class that are dispatched but not yet prefilled. Keeps the backlog in this
// queue, where the scheduling policy orders it, rather than in the engine. One request per class may always
// be dispatched, whatever its size.
struct dispatch_window {
    std::array<std::uint64_t, length_class_count> tokens{8'000, 16'000, 0};
};

// Bounded queue of requests waiting for dispatch at one endpoint. A team that holds more than its share of
// the queue is refused before the queue is full, so that it cannot keep other teams out.
class admission_queue {
public:
    admission_queue(std::size_t limit, std::unique_ptr<scheduling_policy> policy);

    // Without a window, only the memory account and the cold limit bound dispatch.
    void set_window(const std::optional<dispatch_window>& window) { m_window = window; }

    // Sets the weight of a team's share. Teams without a weight have 1.
    void set_weight(std::string_view team, double weight);

    // Adds a request. `too_large` means that it cannot fit even into an empty memory account.
    push_verdict push(const queued_request& request, const memory_account& memory, time_point now);

    // Removes the next request that the memory account and the cold limit allow, and reserves its memory. The
    // caller dispatches it and releases the reservation when the engine reports its end. Call until it
    // returns nullopt after each push, release, removal and increase of the limit, and once a second to apply
    // aging.
    std::optional<queued_request> pop(memory_account& memory, const cold_limit& limit, time_point now);

    // Reports the first token of a dispatched request and returns the engine's prefill time for its prompt:
    // the time since its dispatch or since the previous first token of its class, whichever is later. Returns
    // nullopt for unknown attempts. A request whose memory is released also counts as prefilled.
    std::optional<clock::duration> record_first_token(const attempt_id& attempt, time_point now);

    // Prompt tokens that are dispatched, not yet prefilled, and of this engine rank or a lower (earlier) one.
    std::uint64_t pending_prefill(std::uint32_t rank) const;

    // Removes a cancelled request that is still queued. A returned request has not been dispatched.
    std::optional<queued_request> remove(const attempt_id& attempt);

    // Removes and returns the requests whose deadline has passed.
    std::vector<queued_request> expire(time_point now);

    // Removes and returns all requests.
    std::vector<queued_request> clear();

    // Earliest deadline of a waiting request, for the caller's timer.
    std::optional<time_point> next_deadline() const;

    // Work that the engine handles before this request: queued, or dispatched and not yet prefilled.
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

    // A dispatched request whose prefill has not finished.
    struct pending {
        queued_request request;
        std::uint32_t level = 0; // engine level at dispatch
        std::uint32_t rank = 0;  // engine rank at dispatch
        time_point dispatched{};
    };

    // Restrictions that entries already considered in one dispatch decision impose on later entries.
    struct dispatch_constraints {
        std::uint64_t held = 0; // tokens kept free for an earlier entry
        std::array<bool, length_class_count> blocked{};
    };

    double weight_of(std::string_view team) const;
    bool over_share(std::string_view team) const;
    std::vector<candidate> ordered(time_point now) const;
    std::optional<std::size_t> choose(const memory_account& memory, time_point now) const;
    bool window_allows(const queued_request& request, time_point now) const;
    void keep_memory_for(const queued_request& request, const memory_account& memory,
                         dispatch_constraints& limits) const;
    queued_request take(std::size_t index);

    std::size_t m_limit;
    std::unique_ptr<scheduling_policy> m_policy;
    std::uint64_t m_sequence = 0;
    std::vector<queue_entry> m_entries;
    std::optional<dispatch_window> m_window;
    std::vector<pending> m_pending;
    std::array<time_point, length_class_count> m_last_prefilled{};
    std::array<std::size_t, length_class_count> m_by_length{};
    name_map<double> m_weights;
    name_map<std::size_t> m_by_team;
};

} // namespace verbena::policy
