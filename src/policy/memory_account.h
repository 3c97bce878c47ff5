#pragma once

#include "base/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace verbena::policy {

// Tracks the KV memory of one endpoint in tokens. A reservation is made at dispatch and released when the
// engine reports the request as finished or cancelled, so the number of reservations is the number of
// dispatched requests.
class memory_account {
public:
    // Fraction of the capacity, in [0, 1), that long requests cannot use.
    static constexpr double default_protected_share = 0.3;

    // Fraction of the capacity that only short requests can use while anything is dispatched. Without it, a
    // medium prompt that waits for memory would block short requests.
    static constexpr double short_share = 0.1;

    explicit memory_account(std::uint64_t capacity_tokens, double protected_share = default_protected_share);

    // True if the tokens fit now, in addition to `held` tokens that are kept free for another request. Short
    // requests may use the short share regardless of `held`.
    bool fits(std::uint64_t tokens, length_class length, std::uint64_t held = 0) const;

    // True if the tokens fit while nothing is reserved.
    bool can_ever_fit(std::uint64_t tokens, length_class length) const;

    // Reserves prompt + max tokens. Returns false if they do not fit or the attempt already has a
    // reservation.
    bool reserve(const attempt_id& attempt, std::uint64_t tokens, length_class length, incarnation owner);

    // Releases the attempt's tokens. Returns false if it has no reservation.
    bool release(const attempt_id& attempt);

    // Drops all reservations after an engine restart and returns their attempts.
    std::vector<attempt_id> clear();

    // Attempts dispatched for the entry with this incarnation.
    std::vector<attempt_id> owned_by(incarnation owner) const;

    // Largest prompt that fits into the empty account with this many output tokens; 0 if none fits.
    std::uint32_t largest_prompt(std::uint32_t max_tokens) const;

    // If the capacity is below the tokens in use, nothing is admitted until enough is released.
    void set_capacity(std::uint64_t capacity_tokens);

    // Sets the tokens that the engine uses for requests without a reservation here, as found by
    // reconciliation.
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
