#pragma once

#include "agent/attempt.h"
#include "control/key_table.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace verbena::agent {

// Retention of closed attempts and of ended unrepeatable attempts. Must exceed the lifetime of an idempotency
// key: with 15 min, a query for a resend after 16 min got "never seen" for work that had run, and the work
// ran again.
inline constexpr std::chrono::seconds ended_attempt_retention =
    control::key_record_lifetime + std::chrono::minutes(5);

// Retention of the response of an ended repeatable attempt, for a resume.
inline constexpr std::chrono::seconds answer_retention{15};

// Attempts received by this incarnation of the agent. Rejects duplicates, so that an attempt runs at most
// once. Not thread-safe.
class attempt_table {
public:
    enum class add_verdict : std::uint8_t { added, duplicate, closed };

    add_verdict add(const std::shared_ptr<attempt>& value, time_point now);

    std::shared_ptr<attempt> find(const attempt_id& id) const;

    // Closes an attempt that was never seen, so that it is refused if it arrives later. Returns true when the
    // attempt is closed, which proves that it has not run and will not run at this incarnation.
    bool close_unseen(const attempt_id& id, time_point now);

    // Removes attempts whose retention has passed and acknowledged repeatable ones.
    void expire(time_point now);

    std::vector<std::shared_ptr<attempt>> all() const;
    std::size_t size() const { return m_attempts.size(); }
    std::size_t closed() const { return m_closed.size(); }

private:
    std::unordered_map<attempt_id, std::shared_ptr<attempt>> m_attempts;
    std::unordered_map<attempt_id, time_point> m_closed;
};

} // namespace verbena::agent
