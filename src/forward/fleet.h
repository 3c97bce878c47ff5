#pragma once

#include "base/error.h"
#include "base/settings.h"
#include "policy/placement.h"
#include "policy/waiting_line.h"
#include "wire_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace verbena::forward {

// An endpoint that a request is sent to or that reads a part of its prompt.
struct chosen_endpoint {
    std::string name;
    host_port address;
    std::uint64_t reserved_tokens = 0;
};

// A request as far as the choice of its endpoints depends on it.
struct dispatch_request {
    const route::service_rule* service = nullptr;
    policy::model_request model;
    milliseconds time_left{};
    std::set<std::string> excluded; // endpoints that have had it
    std::uint64_t waiting_as = 0;   // number under which the request waits; 0 = it has not waited
    bool may_wait = true;           // it has not waited for the whole of its objective yet
    bool begun = false;             // the caller has a part of the answer, which is lost without the rest
};

// Where a request goes; the first endpoint answers.
struct dispatch_choice {
    std::vector<chosen_endpoint> endpoints;
    std::uint64_t number = 0;   // of the dispatch, for the calls that follow it
    milliseconds first_event{}; // predicted

    // Whether a part of the prompt is kept in memory that was reserved at another endpoint.
    bool holds_memory() const;
};

// Why there is no endpoint for a request now.
struct dispatch_refusal {
    enum class reason : std::uint8_t { no_endpoint, too_late, too_large, too_harmful };

    reason why = reason::no_endpoint;
    milliseconds predicted{}; // of `too_late`: time to the first event
};

const char* to_string(dispatch_refusal::reason value);

// A choice, a time to wait for free endpoints before the next try, or a refusal.
struct dispatch_result {
    std::optional<dispatch_choice> choice;
    milliseconds wait{};
    dispatch_refusal refusal;
};

// How an attempt at an endpoint went, for the choice of the next ones.
enum class attempt_health : std::uint8_t { good, failed, unreachable, misdirected, neutral };

// The endpoints that this entry knows, with the work that all entries have given them. Thread-safe; behind
// the directory in the lock order.
class fleet {
public:
    // Called without the lock for each step of this entry's own work, to tell the other entries.
    using note_listener = std::function<void(wire::dispatch_noteT)>;

    fleet(incarnation self, std::string own_domain, double cold_share, note_listener on_note);

    // Takes over what the directory says; null when no control member lists the endpoint any more.
    void on_endpoint(const std::string& name, const wire::announcementT* value);

    // Failure domains that operators have taken out.
    void set_domains_out(std::set<std::string> domains);

    // Chooses and counts in one step, so that two requests do not take the same place.
    dispatch_result dispatch(const dispatch_request& request, time_point now);

    void first_event(std::uint64_t number, time_point now);
    void end(std::uint64_t number, time_point now);

    // Puts a request into the queue of all entries for free endpoints, and takes it out.
    std::uint64_t begin_wait(const dispatch_request& request, time_point now);
    void end_wait(std::uint64_t number);

    void note_health(const std::string& endpoint, attempt_health health, time_point now);

    // Measured over predicted time between the events of an answer.
    void note_pace(const std::string& endpoint, double pace, time_point now);

    // Predicted time between two events of an answer at the endpoint, with nothing read in between.
    double pass_ms(const std::string& endpoint, const route::engine_rule& engine) const;

    // The endpoint that announced this address last; empty when there is none.
    std::string name_at(const std::string& address) const;

    // Predicted time until the endpoint has read what it was given.
    milliseconds backlog(const std::string& endpoint, time_point now) const;

    // Whether the endpoint may still be given work: it is listed, not leaving, and its failure domain is in.
    bool is_usable(const std::string& endpoint, time_point now) const;

    // Work of another entry.
    void apply_notes(const wire::load_notesT& notes, time_point now);
    void forget_entry(incarnation entry, time_point now);

    // All work of this entry, for an entry that has just connected.
    std::vector<wire::dispatch_noteT> own_notes() const;

    std::size_t size() const;
    std::size_t usable(const std::string& service, time_point now) const;

private:
    struct endpoint_state {
        wire::announcementT info;
        host_port address;
        bool listed = true;
        time_point unlisted_since;
        time_point cold_until;
        policy::endpoint_load load;
        double pace = 1;
        time_point pace_at;
        double failure_share = 0;
        time_point failure_at;
        std::uint32_t unreachable = 0; // in a row
        time_point avoid_until;
        bool misdirected = false;    // another endpoint answered at the address
        bool superseded = false;     // a newer endpoint has announced the address
        std::deque<time_point> sent; // lately, by all entries
    };

    struct own_dispatch {
        std::vector<wire::dispatch_noteT> notes;
        std::uint8_t phase = 0;
    };

    // A request that waits for free endpoints, at any entry.
    struct waiting_request {
        std::string service;
        policy::waiting_prompt prompt;
    };

    bool is_first_in_line(const dispatch_request& request, std::size_t endpoints, double first_free_ms,
                          time_point now) const;
    void mark_superseded();
    bool usable_state(const endpoint_state& state, time_point now) const;
    bool cold_full(endpoint_state& state, const route::service_rule& service, time_point now) const;
    double pace_of(const endpoint_state& state, time_point now) const;
    double failures_of(const endpoint_state& state, time_point now) const;
    std::vector<endpoint_state*> candidates(const dispatch_request& request, time_point now);
    dispatch_result dispatch_model(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    dispatch_result dispatch_plain(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    void take(dispatch_choice& choice, const dispatch_request& request,
              const std::vector<endpoint_state*>& parts, time_point now);
    void apply_note(incarnation entry, const wire::dispatch_noteT& note, time_point now);
    void advance(std::uint64_t number, std::uint8_t phase, time_point now);
    void emit(const std::vector<wire::dispatch_noteT>& notes);

    const incarnation m_self;
    const std::string m_own_domain;
    const double m_cold_share;
    const note_listener m_on_note;

    mutable std::mutex m_mutex;
    std::map<std::string, endpoint_state> m_endpoints;
    std::map<std::uint64_t, own_dispatch> m_own;
    std::map<policy::work_key, waiting_request> m_waiting;
    std::set<std::string> m_domains_out;
    std::uint64_t m_next_number = 1;
};

} // namespace verbena::forward
