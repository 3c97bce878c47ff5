#pragma once

#include "base/types.h"
#include "policy/name_map.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace verbena::policy {

// A request that waits at an endpoint for dispatch.
struct queued_request {
    attempt_id attempt;
    std::string team;
    request_class request = request_class::standard;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    incarnation owner = 0; // incarnation of the entry that sent it
    time_point arrival{};
    time_point deadline{};

    length_class length() const { return classify(prompt_tokens); }
    std::uint64_t tokens() const { return std::uint64_t{prompt_tokens} + max_tokens; }
};

// A waiting request with the values that its scheduling policy gave it.
struct queue_entry {
    queued_request request;
    std::uint64_t sequence = 0; // order of arrival
    double start = 0;           // virtual start time of start-time fair queueing
};

// Position of an entry in the order of dispatch; the smallest goes first.
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

// Number of quarters of its time to the deadline that a request has waited, 0 to 4.
std::uint32_t quarters_waited(const queued_request& request, time_point now);

// Number of length classes by which a request is promoted: one for each quarter waited, for batch work two
// quarters later, so that work of a team over its share does not pass the other teams by having waited
// longer.
std::uint32_t promotions(const queued_request& request, time_point now);

// Level of a request after promotion by one class for each quarter waited; 0 goes first.
std::uint32_t promoted_level(const queued_request& request, time_point now);

// Level at which a request competes inside the engine; 0 goes first. Aging lifts long work beside medium
// work, but nothing beside short work: one promoted prompt would delay short prompts by seconds.
std::uint32_t engine_level(const queued_request& request, time_point now);

// Rank of the request class inside a level, 0 goes first. It rises by one in the last quarter before the
// deadline only: under overload all work of a team over its share has waited a quarter and would no longer
// give way.
std::uint32_t request_rank(const queued_request& request, time_point now);

// Rank inside the engine: level, then request class; 0 goes first.
std::uint32_t engine_rank(const queued_request& request, time_point now);

// Priority that the engine gets for a request dispatched now; larger goes first.
std::uint32_t engine_priority(const queued_request& request, time_point now);

// Start-time fair queueing between teams: a team with twice the weight gets twice the work when all teams
// wait.
class fair_queue_clock {
public:
    // Virtual start time of the team's next request.
    double start_of(std::string_view team) const;

    // Counts a request that enters the queue and returns its virtual start time.
    double push(std::string_view team, double work, double weight);

    // Advances the virtual time to the start of the dispatched request.
    void dispatched(double start);

    // Forgets all teams; called when nothing waits, so that the state stays bounded by the queue.
    void reset();

    double now() const { return m_now; }

private:
    double m_now = 0;
    name_map<double> m_finish;
};

// Decides the order of dispatch. Implementations keep no entries.
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

    // True when other work may pass an entry that does not fit now.
    virtual bool may_pass(const queue_entry& blocked, time_point now) const = 0;

    // True when free memory is kept for an entry that does not fit now.
    virtual bool holds_memory(const queue_entry& blocked, time_point now) const = 0;

    // Called when no entry of this length class waits any more.
    virtual void idle(length_class length) = 0;
};

// Dispatch in the order of arrival; a request that does not fit blocks all others. Baseline for comparison.
std::unique_ptr<scheduling_policy> make_first_come_first_served();

// Short before medium before long, teams by weight inside a class, promotion by one class for each quarter of
// the time to the deadline. Promoted work gets a quarter of the work of its level while other work waits
// there.
std::unique_ptr<scheduling_policy> make_class_shares();

// Least estimated work first; the work counts for less with each quarter of the time to the deadline.
std::unique_ptr<scheduling_policy> make_shortest_work();

} // namespace verbena::policy
