#include "forward/limit_messages.h"

#include <cmath>

namespace verbena::forward {

wire::endpoint_limitsT to_message(const std::vector<endpoint_limit>& limits)
{
    wire::endpoint_limitsT message;
    for (const endpoint_limit& limit : limits) {
        auto item = std::make_unique<wire::endpoint_limitT>();
        item->endpoint = limit.endpoint;
        item->born_ms = limit.born_ms;
        item->limited = limit.statement.rate.has_value();
        item->rate = limit.statement.rate.value_or(0);
        item->changes = limit.statement.changes;
        item->observer = limit.statement.observer;
        message.limits.push_back(std::move(item));
    }
    return message;
}

std::vector<endpoint_limit> read_limits(const wire::endpoint_limits& message)
{
    std::vector<endpoint_limit> limits;
    if (message.limits() == nullptr) {
        return limits;
    }
    for (const wire::endpoint_limit* item : *message.limits()) {
        const bool readable = std::isfinite(item->rate()) && item->rate() >= 0;
        if (item->endpoint() == nullptr || !readable) {
            continue;
        }
        endpoint_limit limit{item->endpoint()->str(), item->born_ms(), {}};
        if (item->limited()) {
            limit.statement.rate = item->rate();
        }
        limit.statement.changes = item->changes();
        limit.statement.observer = item->observer();
        limits.push_back(std::move(limit));
    }
    return limits;
}

} // namespace verbena::forward
