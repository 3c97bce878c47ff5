#pragma once

#include "agent/attempt.h"
#include "control/key_table.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace verbena::agent {

// How long a closed attempt is refused, and how long an ended attempt that may not be repeated is remembered:
// longer than its key can be used. With 15 min, a resend after 16 min was told "never seen" for work that had
// run, and ran it again.
inline constexpr std::chrono::seconds attempt_memory = control::key_drop_after + std::chrono::minutes(5);

// How long the answer of an ended repeatable attempt is kept for a resume.
inline constexpr std::chrono::seconds answer_memory{15};

// Every attempt this incarnation has seen. It is what makes an attempt run at most once. Not thread-safe.
class attempt_table {
public:
    enum class add_verdict : std::uint8_t { added, duplicate, closed };

    add_verdict add(const std::shared_ptr<attempt>& value, time_point now);

    std::shared_ptr<attempt> find(const attempt_id& id) const;

    // Refuses the attempt from now on if it was never seen; true when the attempt is closed, which proves
    // that it has not run and will not run at this incarnation.
    bool close_unseen(const attempt_id& id, time_point now);

    // Drops what is no longer needed.
    void expire(time_point now);

    std::vector<std::shared_ptr<attempt>> all() const;
    std::size_t size() const { return m_attempts.size(); }
    std::size_t closed() const { return m_closed.size(); }

private:
    std::unordered_map<attempt_id, std::shared_ptr<attempt>> m_attempts;
    std::unordered_map<attempt_id, time_point> m_closed;
};

} // namespace verbena::agent
