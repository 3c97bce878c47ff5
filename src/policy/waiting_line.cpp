#include "policy/waiting_line.h"

#include <algorithm>

namespace verbena::policy {

namespace {

bool is_due_earlier(const waiting_prompt& a, const waiting_prompt& b)
{
    return std::tie(a.due, a.key) < std::tie(b.due, b.key);
}

bool is_worth_less(const waiting_prompt& a, const waiting_prompt& b)
{
    return a.value * b.read_ms < b.value * a.read_ms;
}

} // namespace

std::vector<work_key> serving_order(std::vector<waiting_prompt> waiting, double endpoints,
                                    double first_free_ms, time_point now)
{
    std::sort(waiting.begin(), waiting.end(), is_due_earlier);
    std::vector<waiting_prompt> in_time;
    std::vector<waiting_prompt> behind;
    const double at_once = std::max(endpoints, 1.0);
    double end_ms = first_free_ms;
    for (const waiting_prompt& prompt : waiting) {
        const double slack_ms = std::chrono::duration<double, std::milli>(prompt.due - now).count();
        if (slack_ms <= 0) {
            behind.push_back(prompt);
            continue;
        }
        in_time.push_back(prompt);
        end_ms += prompt.read_ms / at_once;
        if (end_ms > slack_ms) {
            const auto least = std::min_element(in_time.begin(), in_time.end(), is_worth_less);
            end_ms -= least->read_ms / at_once;
            behind.push_back(*least);
            in_time.erase(least);
        }
    }
    std::sort(behind.begin(), behind.end(), is_due_earlier);
    in_time.insert(in_time.end(), behind.begin(), behind.end());
    std::vector<work_key> order;
    order.reserve(in_time.size());
    for (const waiting_prompt& prompt : in_time) {
        order.push_back(prompt.key);
    }
    return order;
}

} // namespace verbena::policy
