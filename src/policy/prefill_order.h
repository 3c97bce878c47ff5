#pragma once

#include "policy/endpoint_load.h"

#include <vector>

namespace verbena::policy {

// A prompt that waits until enough endpoints are free to prefill its parts.
struct waiting_prompt {
    work_key key;
    time_point due;        // deadline of the first event under its objective
    double prefill_ms = 0; // prefill time of the whole prompt at one endpoint
    double value = 0;
    double loss_per_ms = 0; // expected loss per ms of delay
};

// Which of several prompts with the least value is moved behind when not all can be in time.
enum class deferred_prompt { earliest_due, latest_due };

// Order in which waiting prompts are served by `endpoints` endpoints that prefill each prompt together.
// Earliest due first. If a prompt would then be late, the one with the least value per prefill time among it
// and those before it is moved behind all prompts that can be in time; otherwise an overload would make every
// prompt a little late. `first_free_ms` is the time until the endpoints are free.
std::vector<work_key> serving_order(std::vector<waiting_prompt> waiting, double endpoints,
                                    double first_free_ms, time_point now,
                                    deferred_prompt among_equals = deferred_prompt::earliest_due);

// Number of endpoints that the prompts served before `own` would use to prefill their parts. Prompts go in
// parallel: one that follows others need not wait until they have gone if endpoints are left over for it.
std::size_t parts_before(const std::vector<waiting_prompt>& waiting, const work_key& own, double endpoints,
                         double first_free_ms, time_point now);

} // namespace verbena::policy
