#include "agent/attempt_table.h"

namespace verbena::agent {

attempt_table::add_verdict attempt_table::add(const std::shared_ptr<attempt>& value, time_point now)
{
    if (const auto closed = m_closed.find(value->id); closed != m_closed.end() && closed->second <= now) {
        m_closed.erase(closed);
    }
    if (m_closed.contains(value->id)) {
        return add_verdict::closed;
    }
    return m_attempts.try_emplace(value->id, value).second ? add_verdict::added : add_verdict::duplicate;
}

std::shared_ptr<attempt> attempt_table::find(const attempt_id& id) const
{
    const auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : it->second;
}

bool attempt_table::close_unseen(const attempt_id& id, time_point now)
{
    if (m_attempts.contains(id)) {
        return false;
    }
    m_closed.insert_or_assign(id, now + ended_attempt_retention);
    return true;
}

void attempt_table::expire(time_point now)
{
    std::erase_if(m_closed, [now](const auto& item) { return item.second <= now; });
    std::erase_if(m_attempts, [now](const auto& item) {
        const attempt& value = *item.second;
        if (!value.ended_at) {
            return false;
        }
        if (value.submit.repeatable) {
            return value.acknowledged || now - *value.ended_at > answer_retention;
        }
        return now - *value.ended_at > ended_attempt_retention;
    });
}

std::vector<std::shared_ptr<attempt>> attempt_table::all() const
{
    std::vector<std::shared_ptr<attempt>> values;
    values.reserve(m_attempts.size());
    for (const auto& [id, value] : m_attempts) {
        values.push_back(value);
    }
    return values;
}

} // namespace verbena::agent
