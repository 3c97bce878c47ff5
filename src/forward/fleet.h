#pragma once

#include "base/error.h"
#include "base/settings.h"
#include "policy/placement.h"
#include "policy/prefill_order.h"
#include "wire_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace verbena::forward {

// An endpoint that receives a request or prefills a part of its prompt.
struct chosen_endpoint {
    std::string name;
    host_port address;
    std::uint64_t reserved_tokens = 0; // KV memory to reserve; 0 = none
};

// The properties of a request that determine which endpoints it can be sent to.
struct dispatch_request {
    const route::service_rule* service = nullptr;
    policy::model_request model;
    milliseconds time_left{};
    std::set<std::string> excluded; // endpoints that earlier attempts have used or found failed
    std::uint64_t wait_number = 0;  // from begin_wait(); 0 = the request has not waited
    bool may_wait = true;           // its objective has not passed yet
    bool answer_started = false;    // a part has been delivered, which is lost without the rest
};

// The endpoints selected for a request; the first one generates the answer.
struct dispatch_choice {
    std::vector<chosen_endpoint> endpoints;
    std::uint64_t number = 0; // dispatch number, passed to record_first_event() and record_end()
    milliseconds predicted_first_event{};

    // Whether any part of the prompt uses memory reserved at another endpoint.
    bool has_reservation() const;
};

// Why no endpoint can take a request now.
struct dispatch_refusal {
    enum class reason : std::uint8_t { no_endpoint, too_late, too_large, too_harmful };

    reason why = reason::no_endpoint;
    milliseconds predicted{}; // time to the first event; set for `too_late`
};

const char* to_string(dispatch_refusal::reason value);

// The selected endpoints, a time to wait before the next try (non-zero `wait`), or a refusal.
struct dispatch_result {
    std::optional<dispatch_choice> choice;
    milliseconds wait{};
    dispatch_refusal refusal;
};

// Result of an attempt as far as it affects the selection of the endpoint for later requests.
enum class attempt_health : std::uint8_t { good, failed, unreachable, misdirected, neutral };

// The endpoints known to this entry and the work that all entries have dispatched to them. Thread-safe; its
// mutex comes after the directory's in the lock order.
class fleet {
public:
    // Called without the lock at each phase change of this entry's own work, for replication to the other
    // entries.
    using note_listener = std::function<void(wire::dispatch_noteT)>;

    fleet(incarnation self, std::string own_domain, double cold_fraction, note_listener on_note);

    // Applies a directory update; `value` is null when no control member lists the endpoint any more.
    void on_endpoint(const std::string& name, const wire::announcementT* value);

    // Sets the failure domains that operators have taken out of service.
    void set_domains_out(std::set<std::string> domains);

    // Selects endpoints and records the dispatch under one lock, so that two requests cannot take the same
    // slot.
    dispatch_result dispatch(const dispatch_request& request, time_point now);

    void record_first_event(std::uint64_t number, time_point now);
    void record_end(std::uint64_t number, time_point now);

    // Adds a request to the queue shared by all entries for free endpoints, and removes it.
    std::uint64_t begin_wait(const dispatch_request& request, time_point now);
    void end_wait(std::uint64_t number);

    void record_health(const std::string& endpoint, attempt_health health, time_point now);

    // `slowdown` is the measured over the predicted time between events of an answer.
    void record_slowdown(const std::string& endpoint, double slowdown, time_point now);

    // Predicted time between two events of an answer at the endpoint, with no prefill in between.
    double event_interval_ms(const std::string& endpoint, const route::engine_rule& engine) const;

    // Name of the most recently started endpoint with this address; empty when there is none.
    std::string endpoint_at(const std::string& address) const;

    // Predicted time until the endpoint has finished its pending prefill.
    milliseconds backlog(const std::string& endpoint, time_point now) const;

    // Whether the endpoint accepts new work: it is listed, not leaving, and its failure domain is in service.
    bool is_usable(const std::string& endpoint, time_point now) const;

    // Applies the notes of another entry, and removes all work of an entry that has disconnected.
    void apply_notes(const wire::load_notesT& notes, time_point now);
    void remove_entry(incarnation entry, time_point now);

    // All current work of this entry, for an entry that has just connected.
    std::vector<wire::dispatch_noteT> own_notes() const;

    std::size_t size() const;
    std::size_t usable_count(const std::string& service, time_point now) const;

private:
    struct endpoint_state {
        wire::announcementT info;
        host_port address;
        bool listed = true;
        time_point unlisted_since;
        time_point cold_until;
        policy::endpoint_load load;
        double slowdown = 1;
        time_point slowdown_updated;
        double failure_rate = 0;
        time_point failure_rate_updated;
        std::uint32_t unreachable_count = 0; // consecutive connection failures
        time_point backoff_until;
        bool misdirected = false;                 // another endpoint answered at the address
        bool superseded = false;                  // an endpoint that started later has announced the address
        std::deque<time_point> recent_dispatches; // by all entries
    };

    struct own_dispatch {
        std::vector<wire::dispatch_noteT> notes;
        std::uint8_t phase = 0;
    };

    // A request at any entry that waits for free endpoints.
    struct waiting_request {
        std::string service;
        policy::waiting_prompt prompt;
    };

    bool is_next_to_prefill(const dispatch_request& request, std::size_t endpoints, double first_free_ms,
                            time_point now) const;
    void mark_superseded();
    bool accepts_work(const endpoint_state& state, time_point now) const;
    bool at_cold_limit(endpoint_state& state, const route::service_rule& service, time_point now) const;
    double slowdown_of(const endpoint_state& state, time_point now) const;
    double failure_rate_of(const endpoint_state& state, time_point now) const;
    std::vector<endpoint_state*> eligible_endpoints(const dispatch_request& request, time_point now);
    dispatch_result dispatch_model(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    dispatch_result dispatch_plain(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    void record_dispatch(dispatch_choice& choice, const dispatch_request& request,
                         const std::vector<endpoint_state*>& parts, time_point now);
    void apply_note(incarnation entry, const wire::dispatch_noteT& note, time_point now);
    void advance_phase(std::uint64_t number, std::uint8_t phase, time_point now);
    void publish_notes(const std::vector<wire::dispatch_noteT>& notes);

    const incarnation m_self;
    const std::string m_own_domain;
    const double m_cold_fraction;
    const note_listener m_on_note;

    mutable std::mutex m_mutex;
    std::map<std::string, endpoint_state> m_endpoints;
    std::map<std::uint64_t, own_dispatch> m_own_dispatches;
    std::map<policy::work_key, waiting_request> m_waiting;
    std::set<std::string> m_domains_out;
    std::uint64_t m_next_number = 1;
};

} // namespace verbena::forward
