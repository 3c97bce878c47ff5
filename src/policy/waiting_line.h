#pragma once

#include "policy/endpoint_load.h"

#include <vector>

namespace verbena::policy {

// A prompt that waits until endpoints are free to read it together.
struct waiting_prompt {
    work_key key;
    time_point due;     // latest first event that is in time
    double read_ms = 0; // reading in all, by one endpoint
    double value = 0;
};

// The order in which waiting prompts are served by `endpoints` endpoints that read each prompt together.
// Earliest due first; when that would make one late, the one of those before it whose value per reading time
// is least is put behind all that can be in time. Otherwise an overload would make every prompt late by a
// little. `first_free_ms` is the time until the endpoints are free.
std::vector<work_key> serving_order(std::vector<waiting_prompt> waiting, double endpoints,
                                    double first_free_ms, time_point now);

} // namespace verbena::policy
