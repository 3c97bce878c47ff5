#pragma once

#include "base/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace verbena::policy {

// Account of the KV tokens of one endpoint. A reservation is made at dispatch and released when the engine
// reports the request as finished or cancelled; the number of reservations is the number of dispatched
// requests.
class memory_account {
public:
    // The share of the capacity in [0, 1) that long work cannot use.
    static constexpr double default_protected_share = 0.3;

    // The share that only short work can use, while anything is dispatched. Without it a medium prompt that
    // waits for memory would stop short work.
    static constexpr double short_share = 0.1;

    explicit memory_account(std::uint64_t capacity_tokens, double protected_share = default_protected_share);

    // True when the tokens fit now, beside `held` tokens that are kept free for another request. Short work
    // may use the short share in spite of them.
    bool fits(std::uint64_t tokens, length_class length, std::uint64_t held = 0) const;

    // True when the tokens fit into the empty account.
    bool can_ever_fit(std::uint64_t tokens, length_class length) const;

    // Reserves prompt + max tokens; false when they do not fit or the attempt already has a reservation.
    bool reserve(const attempt_id& attempt, std::uint64_t tokens, length_class length, incarnation owner);

    // Gives the tokens back; false when the attempt has no reservation.
    bool release(const attempt_id& attempt);

    // Drops all reservations, because the engine restarted, and returns their attempts.
    std::vector<attempt_id> clear();

    // Attempts whose owner is the entry with this incarnation.
    std::vector<attempt_id> owned_by(incarnation owner) const;

    // Largest prompt that can ever be served with this many output tokens; 0 when none can.
    std::uint32_t largest_prompt(std::uint32_t max_tokens) const;

    // A lower capacity than the tokens in use admits nothing until enough is released.
    void set_capacity(std::uint64_t capacity_tokens);

    // Tokens the engine holds for requests that have no reservation here, as found by reconciliation.
    void set_unaccounted(std::uint64_t tokens) { m_unaccounted = tokens; }

    bool contains(const attempt_id& attempt) const { return m_reservations.contains(attempt); }
    std::size_t size() const { return m_reservations.size(); }
    std::uint64_t capacity() const { return m_capacity; }
    std::uint64_t used() const { return m_used + m_unaccounted; }
    std::uint64_t used_by_long() const { return m_long_used; }
    std::uint64_t used_by_short() const { return m_short_used; }
    std::uint64_t long_capacity() const { return m_long_capacity; }
    std::uint64_t free() const { return used() < m_capacity ? m_capacity - used() : 0; }

private:
    struct reservation {
        std::uint64_t tokens = 0;
        length_class length = length_class::short_prompt;
        incarnation owner = 0;
    };

    std::uint64_t short_reserve() const
    {
        return static_cast<std::uint64_t>(short_share * static_cast<double>(m_capacity));
    }
    double m_protected_share;
    std::uint64_t m_capacity = 0;
    std::uint64_t m_long_capacity = 0;
    std::uint64_t m_used = 0;
    std::uint64_t m_long_used = 0;
    std::uint64_t m_short_used = 0;
    std::uint64_t m_unaccounted = 0;
    std::unordered_map<attempt_id, reservation> m_reservations;
};

} // namespace verbena::policy
