#pragma once

#include "policy/name_map.h"
#include "policy/placement.h"
#include "policy/retry_budget.h"

#include <deque>
#include <map>

namespace verbena::policy {

// What an entry has sent to a service in the last window, as it says itself.
struct retry_statement {
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0; // attempts beyond the first of a request
};

struct retry_grant_options {
    double ratio = 0.12; // repeats per request
    double slack = 0;    // repeats per window for each entry heard, beyond the ratio
};

enum class retry_verdict : std::uint8_t {
    undecided, // the decider has not heard all entries yet
    granted,
    refused,
};

// State of the budget of a service at one decider.
struct retry_pool_state {
    double limit = 0; // repeats in a window
    double used = 0;
};

// What a repeated attempt is expected to save: the value of the request times the chance that the attempt
// begins to answer before the caller has left; most of it is lost once the objective has passed. A begun
// answer is lost without the rest, so it keeps its value until its caller leaves.
double repeat_worth(const model_request& request, milliseconds predicted, milliseconds time_left,
                    bool answer_started);

// Decides which requests are sent once more when many endpoints fail or fall silent at once and the budget of
// repeated attempts does not suffice for all. While less than half of it is used, each request that can still
// be answered is; after that the worth of the request has to rank the higher among those that asked lately,
// the less is left. Lost answers come before silent attempts: they are ranked in the last quarter only.
//
// The budget follows from what the entries say that they have sent, so that a new decider knows it as soon as
// they have asked it once. An entry that has not been heard adds nothing.
class retry_grants {
public:
    explicit retry_grants(const retry_grant_options& options = {}) : m_options(options) {}

    void set_options(const retry_grant_options& options) { m_options = options; }

    // This process begins to decide. It leaves the first decisions open until the entries have been heard.
    void begin(time_point now);

    void hear(std::string_view service, incarnation entry, const retry_statement& statement, time_point now);

    // The entry does not ask this process any more. Its repeats stay counted for a window, its requests do
    // not: another process may count them by now.
    void remove(incarnation entry, time_point now);

    retry_verdict decide(std::string_view service, retry_cause cause, double worth, time_point now);

    retry_pool_state state_of(std::string_view service, time_point now) const;

    // The budget of the service that has the smallest part left.
    retry_pool_state state(time_point now) const;

private:
    struct heard_entry {
        retry_statement statement;
        time_point heard;
    };

    struct departed_entry {
        std::uint32_t repeats = 0;
        time_point left;
    };

    struct pool {
        std::map<incarnation, heard_entry> entries;
        std::deque<departed_entry> departed;
        std::deque<time_point> grants;                    // that the statements may not contain yet
        std::deque<std::pair<time_point, double>> worths; // of the requests that have asked
    };

    static void expire(pool& value, time_point now);
    retry_pool_state state_of(const pool& value, time_point now) const;

    retry_grant_options m_options;
    time_point m_begun{};
    name_map<pool> m_pools;
};

} // namespace verbena::policy
