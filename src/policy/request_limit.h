#pragma once

#include "base/random.h"
#include "base/types.h"

#include <compare>
#include <optional>

namespace verbena::policy {

// Parts of an endpoint's limit that may be used by this process. The parts of all processes together stay
// below the limit.
struct limit_shares {
    double scheduled = 0.8; // by all schedulers that know each other's choices, together
    double alone = 0.2;     // by this entry when no scheduler answers it
};

// The limit of an endpoint as one process has read it. The statement with more changes is the newer one.
struct limit_statement {
    std::optional<double> rate; // requests a second from all callers together; empty = no limit
    std::uint64_t changes = 0;  // since the endpoint's start, as far as the observer knows
    incarnation observer = 0;
};

// Spaces requests evenly at a given rate. Requests that are up to 250 ms early are allowed, so that a higher
// rate needs no even arrivals; within any second there are never more than the rate.
class request_pacer {
public:
    bool allows(time_point now) const { return now >= next(); }

    // When the next request is allowed.
    time_point next() const { return m_due - tolerance; }

    void take(clock::duration interval, time_point now);

    // Allows the next request after one interval only.
    void use_up(clock::duration interval, time_point now);

    // Changes the interval of the requests that were taken too early.
    void change_interval(clock::duration before, clock::duration after, time_point now);

private:
    static constexpr milliseconds tolerance{250};

    time_point m_due{};
};

// The requests a second that an endpoint takes from all entries together, from its start on. Each answer of
// the endpoint says whether there is a limit. A statement counts at once, unless the request that it answers
// was sent before the statement held became known: such an answer may have been overtaken on its way.
class request_limit {
public:
    std::optional<double> rate() const { return m_statement.rate; }
    const limit_statement& statement() const { return m_statement; }

    // Since when this process has known the statement.
    time_point known_since() const { return m_known_since; }

    // Takes what an answer to a request says that this process sent at `sent`. Returns whether it is new.
    bool observe(std::optional<double> rate, time_point sent, incarnation self, const limit_shares& shares,
                 time_point now);

    // Takes a statement of another process. Returns whether it is newer than the one held.
    bool merge(const limit_statement& other, const limit_shares& shares, time_point now);

    // The rate at which this process may choose the endpoint. At 0 the endpoint would never be heard again,
    // so a request in ten seconds is the minimum.
    double permitted_rate(const limit_shares& shares, bool alone) const;

    // Whether a request is allowed now, and when the next one is. The requests of entries that choose alone
    // are spread at random, since they do not know of each other's.
    bool allows(const limit_shares& shares, bool alone, time_point now, random_engine& random);
    time_point next(bool alone) const { return alone ? m_alone_due : m_scheduled.next(); }

    void take(const limit_shares& shares, bool alone, time_point now);

    // Counts the requests of the scheduled share as used, for a process that has not known of them so far.
    void use_up(const limit_shares& shares, time_point now);

private:
    void set(const limit_statement& statement, const limit_shares& shares, time_point now);
    clock::duration interval(const limit_shares& shares, bool alone) const;

    limit_statement m_statement;
    time_point m_known_since{};
    request_pacer m_scheduled;
    time_point m_alone_due{};
};

} // namespace verbena::policy
