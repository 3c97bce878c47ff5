#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace verbena::policy {

// A request queued at an endpoint for dispatch.
struct queued_request {
    attempt_id attempt;
    std::string team;
    request_class priority_class = request_class::standard;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    incarnation owner = 0; // incarnation of the entry that sent it
    time_point arrival{};
    time_point deadline{};

    length_class length() const { return classify(prompt_tokens); }
    std::uint64_t tokens() const { return std::uint64_t{prompt_tokens} + max_tokens; }
};

// A queued request with the values assigned by its scheduling policy.
struct queue_entry {
    queued_request request;
    std::uint64_t sequence = 0; // order of arrival
    double start = 0;           // virtual start time of start-time fair queueing
};

// Sort key for the dispatch order; the smallest is dispatched first.
struct dispatch_order {
    std::uint32_t level = 0;
    std::uint32_t turn = 0;
    double rank = 0;
    double start = 0;
    std::uint64_t sequence = 0;

    bool operator<(const dispatch_order& other) const
    {
        return std::tie(level, turn, rank, start, sequence) <
               std::tie(other.level, other.turn, other.rank, other.start, other.sequence);
    }
};

// Time waited, in whole quarters of the time from arrival to deadline: 0 to 4.
std::uint32_t quarters_waited(const queued_request& request, time_point now);

// Number of length classes by which a request is promoted: one per quarter waited, starting two quarters
// later for batch requests. Requests of a team over its share are demoted to batch, and the delay keeps them
// from overtaking other teams just because they have waited longer.
std::uint32_t promotions(const queued_request& request, time_point now);

// Length class after promotion by promotions() classes; 0 goes first.
std::uint32_t promoted_level(const queued_request& request, time_point now);

// Scheduling level inside the engine; 0 goes first. Aging promotes long requests to the level of medium ones,
// but none to the level of short ones: one promoted prompt would delay short prompts by seconds.
std::uint32_t engine_level(const queued_request& request, time_point now);

// Rank of the request class within a level; 0 goes first. It improves by one only in the last quarter before
// the deadline: under overload all requests of a team over its share have waited a quarter, and with an
// earlier promotion they would no longer yield to other teams.
std::uint32_t request_rank(const queued_request& request, time_point now);

// Scheduling rank inside the engine: by level, then by request class at level 0; 0 goes first.
std::uint32_t engine_rank(const queued_request& request, time_point now);

// Priority sent to the engine for a request dispatched now; larger values go first.
std::uint32_t engine_priority(const queued_request& request, time_point now);

// Virtual clock for start-time fair queueing between teams: while all teams have requests waiting, a team
// with twice the weight gets twice the work.
class fair_queue_clock {
public:
    // Virtual start time of the team's next request.
    double start_of(std::string_view team) const;

    // Counts a request that enters the queue and returns its virtual start time.
    double push(std::string_view team, double work, double weight);

    // Advances the virtual time to the start of the dispatched request.
    void dispatched(double start);

    // Removes all teams. Called when nothing is waiting, so that the state is bounded by the queue.
    void reset();

    double now() const { return m_now; }

private:
    double m_now = 0;
    name_map<double> m_finish;
};

// Determines the dispatch order. Implementations do not store entries.
class scheduling_policy {
public:
    virtual ~scheduling_policy() = default;

    virtual std::string_view name() const = 0;

    // Virtual start time that a request would get now.
    virtual double start_of(const queued_request& request) const = 0;

    // Counts a request that enters the queue and returns its virtual start time.
    virtual double push(const queued_request& request, double weight) = 0;

    // Counts a request that leaves the queue for the engine.
    virtual void dispatched(const queue_entry& entry, time_point now) = 0;

    virtual dispatch_order order(const queue_entry& entry, time_point now) const = 0;

    // True if other requests may overtake an entry that does not fit now.
    virtual bool may_pass(const queue_entry& blocked, time_point now) const = 0;

    // True if free memory is reserved for an entry that does not fit now.
    virtual bool holds_memory(const queue_entry& blocked, time_point now) const = 0;

    // Called when the last waiting entry of this length class has left the queue.
    virtual void idle(length_class length) = 0;
};

// Dispatches in order of arrival; a request that does not fit blocks all others. Baseline for comparison.
std::unique_ptr<scheduling_policy> make_first_come_first_served();

// Short before medium before long, weighted fair queueing between teams within a class, and promotion by one
// class per quarter of the time to the deadline. Promoted requests get a quarter of the work dispatched at
// their level while native requests of that level are waiting.
std::unique_ptr<scheduling_policy> make_class_shares();

// Least estimated work first. The estimate is reduced with each quarter of the time to the deadline that has
// passed.
std::unique_ptr<scheduling_policy> make_shortest_work();

} // namespace verbena::policy
