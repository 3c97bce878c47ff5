#include "policy/prefill_order.h"

#include <algorithm>
#include <iterator>

namespace verbena::policy {

namespace {

bool is_due_earlier(const waiting_prompt& a, const waiting_prompt& b)
{
    return std::tie(a.due, a.key) < std::tie(b.due, b.key);
}

bool has_less_value_per_ms(const waiting_prompt& a, const waiting_prompt& b)
{
    return a.value * b.prefill_ms < b.value * a.prefill_ms;
}

std::vector<waiting_prompt>::iterator find_least_valuable(std::vector<waiting_prompt>& prompts,
                                                          deferred_prompt among_equals)
{
    if (among_equals == deferred_prompt::earliest_due) {
        return std::min_element(prompts.begin(), prompts.end(), has_less_value_per_ms);
    }
    return std::prev(std::min_element(prompts.rbegin(), prompts.rend(), has_less_value_per_ms).base());
}

// Parts into which a waiting prompt is split at most, and prefill time of each part at least.
constexpr double max_parts = 17;
constexpr double min_part_ms = 15;

} // namespace

std::vector<work_key> serving_order(std::vector<waiting_prompt> waiting, double endpoints,
                                    double first_free_ms, time_point now, deferred_prompt among_equals)
{
    std::sort(waiting.begin(), waiting.end(), is_due_earlier);
    std::vector<waiting_prompt> in_time;
    std::vector<waiting_prompt> deferred;
    const double parallel = std::max(endpoints, 1.0);
    double end_ms = first_free_ms;
    for (const waiting_prompt& prompt : waiting) {
        const double slack_ms = std::chrono::duration<double, std::milli>(prompt.due - now).count();
        if (slack_ms <= 0) {
            deferred.push_back(prompt);
            continue;
        }
        in_time.push_back(prompt);
        end_ms += prompt.prefill_ms / parallel;
        if (end_ms > slack_ms) {
            const auto least_valuable = find_least_valuable(in_time, among_equals);
            end_ms -= least_valuable->prefill_ms / parallel;
            deferred.push_back(*least_valuable);
            in_time.erase(least_valuable);
        }
    }
    std::sort(deferred.begin(), deferred.end(), is_due_earlier);
    in_time.insert(in_time.end(), deferred.begin(), deferred.end());
    std::vector<work_key> order;
    order.reserve(in_time.size());
    for (const waiting_prompt& prompt : in_time) {
        order.push_back(prompt.key);
    }
    return order;
}

std::size_t parts_before(const std::vector<waiting_prompt>& waiting, const work_key& own, double endpoints,
                         double first_free_ms, time_point now)
{
    std::map<work_key, double> prefill_ms;
    for (const waiting_prompt& prompt : waiting) {
        prefill_ms[prompt.key] = prompt.prefill_ms;
    }
    double parts = 0;
    for (const work_key& key : serving_order(waiting, endpoints, first_free_ms, now)) {
        if (key == own) {
            break;
        }
        parts += std::clamp(prefill_ms[key] / min_part_ms, 1.0, max_parts);
    }
    return static_cast<std::size_t>(parts);
}

} // namespace verbena::policy
