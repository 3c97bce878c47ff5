#pragma once

#include "base/error.h"
#include "base/random.h"
#include "base/settings.h"
#include "forward/limit_messages.h"
#include "policy/crash_suspects.h"
#include "policy/even_load.h"
#include "policy/first_event_watch.h"
#include "policy/placement.h"
#include "policy/prefill_order.h"
#include "policy/retry_grants.h"
#include "policy/slot_queue.h"
#include "wire_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
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
    std::set<std::string> excluded;         // endpoints that earlier attempts have used or found failed
    std::optional<policy::work_key> wait;   // from begin_wait()
    bool may_wait = true;                   // its objective has not passed yet
    bool answer_started = false;            // a part has been delivered, which is lost without the rest
    std::vector<policy::prompt_part> parts; // of its prompt, that other requests may contain too
    // The dispatch of another entry that asks this one; nullopt = this entry's own, numbered by dispatch().
    std::optional<policy::work_key> key;
    // This entry chooses without the work of the other entries, because no scheduler answers.
    bool alone = false;
    wire::attempt_kind attempt = wire::attempt_kind::unstated;
    policy::retry_statement recent; // unless unstated: what the entry has sent to the service
    std::set<std::string> silent;   // endpoints whose silence makes it repeat the request
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
    enum class reason : std::uint8_t {
        no_endpoint,
        too_late,
        too_large,
        too_harmful,
        crashing_prompt,
        rate_limited, // by the limits of all endpoints that could take it
        no_slot,      // is expected to be free before the caller disconnects
        retry_budget  // does not suffice for a repeated attempt
    };

    reason why = reason::no_endpoint;
    // Time to the first event with `too_late`, and until it could be sent with `rate_limited` and `no_slot`.
    milliseconds predicted{};
    policy::prompt_part part = 0; // set for `crashing_prompt`: endpoints have crashed under it
    milliseconds retry_after{};   // time until such a request may be tried again; 0 = not known
};

const char* to_string(dispatch_refusal::reason value);

// The selected endpoints, a time to wait before the next try (non-zero `wait`), or a refusal.
struct dispatch_result {
    std::optional<dispatch_choice> choice;
    milliseconds wait{};
    dispatch_refusal refusal;
    std::string chosen_by; // address of the scheduler, `self` or `alone`
    bool repeat_granted = false;
};

// Result of an attempt as far as it affects the selection of the endpoint for later requests. The values are
// sent to other entries.
enum class attempt_health : std::uint8_t {
    neutral,
    good,
    failed,
    unreachable,
    misdirected,
    stalled // it has begun to answer and does not get on; counts as failed and as unreachable
};

// What an attempt has shown about its endpoints.
struct attempt_report {
    attempt_health health = attempt_health::neutral; // of the answering endpoint
    std::vector<std::string> unreachable;            // endpoints that the answering endpoint could not reach
    std::chrono::microseconds interval{}; // shortest time between two events of the answer; 0 = unknown
    bool leaving = false;                 // the answering endpoint has announced that it leaves
};

// The limit that this process holds of an endpoint.
struct known_limit {
    double rate = 0; // requests a second
    milliseconds age{};
};

// The limits that this process holds of all endpoints together.
struct limit_summary {
    std::size_t endpoints = 0; // with a limit
    double rate = 0;           // sum of their limits, in requests a second
    milliseconds oldest{};
    std::uint64_t skips = 0; // choices so far that left an endpoint out because of its limit
};

// How the load of the endpoints with slots spreads, as far as this process knows it.
struct load_spread {
    std::size_t over = 0;            // endpoints with more requests than slots
    std::size_t idle_beside = 0;     // endpoints without any request while one of their service is over
    double unheard = 0;              // expected requests that other schedulers have sent and not reported yet
    std::uint64_t sends = 0;         // choices so far in services that spread their load
    std::uint64_t sends_to_full = 0; // of these, to an endpoint without a free slot
};

// Parts of the choice that settings call for. They apply to services whose slots are scarce.
struct placement_parts {
    bool slot_queue = false;        // docs/design/late-binding.md
    bool even_load = false;         // docs/design/even-load.md
    bool retry_grants = false;      // docs/design/retry-budget.md
    bool first_event_watch = false; // the same page
};

// The endpoints known to this entry and the work dispatched to them, as far as this entry knows it: a
// scheduler knows the work of all entries, any other entry its own. Thread-safe; its mutex comes after the
// directory's in the lock order.
class fleet {
public:
    // Called without the lock at each phase change of the work that this entry has chosen the endpoints for,
    // that it has sent, or that an entry has reported to it directly; for replication to the schedulers.
    using note_listener = std::function<void(wire::dispatch_noteT)>;

    // Called without the lock with what this entry has learned of prompt parts under which endpoints crash.
    using crash_listener = std::function<void(const std::vector<policy::crash_statement>&)>;

    // Called without the lock with limits of endpoints that have changed.
    using limit_listener = std::function<void(const std::vector<endpoint_limit>&)>;

    fleet(incarnation self, std::string own_domain, double cold_fraction, note_listener on_note);

    // Not thread-safe.
    void set_placement_parts(const placement_parts& parts) { m_parts = parts; }
    void set_crash_listener(crash_listener listener) { m_on_crash = std::move(listener); }
    void set_limit_listener(limit_listener listener) { m_on_limits = std::move(listener); }

    // Applies a directory update; `value` is null when no control member lists the endpoint any more.
    void on_endpoint(const std::string& name, const wire::announcementT* value);

    // Sets the services that the configuration names. Until the first call all services count as named. An
    // announcement of another service takes neither the name nor the address of an endpoint of a named one.
    void set_services(std::set<std::string> services);

    // Sets the failure domains that operators have taken out of service.
    void set_domains_out(std::set<std::string> domains);

    // Until `time` endpoints may be missing from the list. A request that no listed endpoint can take waits
    // until then, for at most half of its time, instead of being refused.
    void set_complete_at(time_point time);

    // Until the records of other entries have come, requests with shared prompt parts wait within their
    // objective. Receiving records sets it as well.
    void set_crashes_known(bool known);

    // Sets the budget of repeated attempts that this entry grants as a scheduler, and returns its state.
    void set_retry_options(const policy::retry_grant_options& options);
    policy::retry_pool_state retry_state(time_point now) const;

    // Selects endpoints and records the dispatch under one lock, so that two requests cannot take the same
    // slot.
    dispatch_result dispatch(const dispatch_request& request, time_point now);

    // A number for a dispatch of this entry for which a scheduler is asked.
    std::uint64_t next_number();

    // Records endpoints that a scheduler has chosen for a dispatch of this entry. Without a choice,
    // `rejected` names an endpoint that this entry may not use.
    std::optional<dispatch_choice> adopt(std::uint64_t number,
                                         const std::vector<std::unique_ptr<wire::dispatch_noteT>>& notes,
                                         std::string& rejected, time_point now);

    // The notes of a dispatch, one for each endpoint, the answering one first; empty for an unknown dispatch.
    std::vector<wire::dispatch_noteT> notes_of(const policy::work_key& key) const;

    // Whether another endpoint of the service may take a request later, if none can now. While the list may
    // lack endpoints, one may.
    bool has_endpoint_left(const std::string& service, const std::set<std::string>& excluded,
                           time_point now) const;

    void record_first_event(std::uint64_t number, time_point now);
    void record_end(std::uint64_t number, time_point now, const attempt_report& report = {});

    // Adds a request to the queue for free endpoints that all schedulers share, and removes it.
    policy::work_key begin_wait(const dispatch_request& request, time_point now);
    void end_wait(const policy::work_key& key);

    // An endpoint has begun to answer a request of this entry with these prompt parts; or it has crashed
    // before, and the request was sent to it at `sent`.
    void record_answer(const std::vector<policy::prompt_part>& parts, const std::string& request,
                       time_point now);
    void record_crash(const std::vector<policy::prompt_part>& parts, const std::string& request,
                      const std::string& endpoint, time_point sent, time_point now);

    // Prompt parts under which endpoints have crashed: whether a request with these parts has to be refused,
    // what another entry knows, all that is known, and the end of the suspicion against one by an operator.
    std::optional<dispatch_refusal> crash_refusal(const std::vector<policy::prompt_part>& parts,
                                                  time_point now);
    void apply_crash_records(const std::vector<policy::crash_statement>& received, time_point now);
    std::vector<policy::crash_statement> crash_records(time_point now);
    bool release_part(policy::prompt_part part, time_point now);
    // Sends the records again that other entries would drop otherwise. Call it in intervals.
    void refresh_crash_records(time_point now);

    void record_health(const std::string& endpoint, attempt_health health, time_point now);

    // The endpoint has announced to this entry that it leaves, or that it wants no requests for some time.
    void record_leaving(const std::string& endpoint);
    void record_retry_after(const std::string& endpoint, milliseconds time, time_point now);

    // An answer of the endpoint names a limit on the requests a second of all entries together, or none.
    // `sent` is when this entry sent the request that it answers.
    void record_limit(const std::string& endpoint, std::optional<double> rate, time_point sent,
                      const std::string& request, time_point now);

    // Limits that other entries have learned of, and all that are known, those that have ended included.
    void apply_limits(const std::vector<endpoint_limit>& received, time_point now);
    std::vector<endpoint_limit> limits() const;
    std::optional<known_limit> limit_of(const std::string& endpoint, time_point now) const;
    limit_summary summarize_limits(time_point now) const;

    // Sets the parts of these limits that this entry may use.
    void set_limit_shares(const policy::limit_shares& shares);

    // Whether this entry knows the choices of the other entries. When that begins, the limits count as used
    // up: the choices before are not known.
    void set_scheduling(bool scheduling, time_point now);

    // Endpoints of a service that this entry sends nothing to because of what they have answered to it.
    std::set<std::string> blocked(const std::string& service, time_point now) const;

    // Sets the failure domains whose load this entry does not know. Their endpoints are chosen only when
    // there are no others.
    void set_unknown_domains(std::set<std::string> domains);

    // Name of the most recently started endpoint with this address; empty when there is none.
    std::string endpoint_at(const std::string& address) const;

    // Start of the endpoint's process as it has announced it, in Unix milliseconds; 0 if it is not known.
    std::uint64_t born_ms(const std::string& endpoint) const;

    // Predicted time until the endpoint has finished its pending prefill.
    milliseconds backlog(const std::string& endpoint, time_point now) const;

    // Whether the endpoint accepts new work: it is listed, not leaving, and its failure domain is in service.
    bool is_usable(const std::string& endpoint, time_point now) const;

    // Applies the notes of another entry, and removes all work reported by an entry that has disconnected.
    void apply_notes(const wire::load_notesT& notes, time_point now);
    void remove_entry(incarnation entry, time_point now);

    // All current work that this entry has sent or that entries have reported to it directly, for an entry to
    // which this one has just connected.
    std::vector<wire::dispatch_noteT> own_notes() const;

    // Load of these services in each failure domain, for the decision how many endpoints they need.
    std::vector<std::unique_ptr<wire::service_demandT>> demand_summary(const std::set<std::string>& services,
                                                                       time_point now) const;
    load_spread summarize_load(time_point now) const;

    // Requests at all entries that wait for a slot, as far as this entry knows.
    std::size_t slot_waiters() const;

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
        time_point retry_after;                   // the endpoint wants no requests of this entry until then
        bool announced_leaving = false;           // in an answer
        bool misdirected = false;                 // another endpoint answered at the address
        std::uint32_t trials = 0;                 // running requests with suspect prompt parts
        time_point superseded_until{};            // another endpoint has announced the address later
        std::deque<time_point> recent_dispatches; // by all entries
        policy::request_limit limit;
    };

    // Endpoints with a free slot, by whether a new request would be in time there.
    struct free_slots {
        policy::slot_supply supply;
        std::vector<endpoint_state*> quick;
        std::vector<endpoint_state*> reserved; // quick, but only with slots kept for other schedulers
        std::vector<endpoint_state*> slow;
    };

    struct limit_change {
        endpoint_limit now;
        std::optional<double> previous;
        time_point known_since; // the previous one
    };

    struct dispatch_record {
        incarnation reporter = 0;                // the entry whose connection vouches for the dispatch
        std::vector<wire::dispatch_noteT> notes; // one for each endpoint, the answering one first
        std::uint8_t phase = 0;
        time_point due{}; // of the first event under its objective; time_point{} = none
        std::vector<policy::prompt_part> trial_parts; // of a request that this entry has sent as a trial
    };

    // A request at any entry that waits for free endpoints.
    struct waiting_request {
        incarnation reporter = 0;
        std::string service;
        policy::waiting_prompt prompt;
    };

    // Counts of a service in a failure domain since the start of this process.
    struct outcome_counts {
        std::uint64_t answered = 0; // first events
        std::uint64_t late = 0;     // of these, after the objective
        std::uint64_t refused = 0;  // for want of room; in this entry's own domain
    };

    using note_list = std::vector<wire::dispatch_noteT>;

    void count_first_event(const dispatch_record& record, time_point now);
    void count_refusal(const dispatch_request& request, const dispatch_result& outcome);
    void begin_trial(const dispatch_choice& choice, const dispatch_request& request, dispatch_record& record,
                     time_point now);
    std::vector<endpoint_state*> trial_endpoints(const dispatch_request& request, time_point now);
    dispatch_result choose(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                           time_point now);
    // Whether a request waits for a slot at its scheduler when none is free, instead of in the queue of an
    // endpoint: the configuration of its service says that slots are scarce, and its prompt is placed
    // unsplit.
    bool waits_for_slot(const dispatch_request& request) const;
    static bool has_free_slot(const endpoint_state* state);
    bool waits_for_slot(const route::service_rule& service, double prefill_ms) const;
    // Whether requests to a service with this engine are spread by what other schedulers may have sent.
    bool spreads_load(const route::engine_rule& engine) const;
    static milliseconds shortest_first_event(const dispatch_request& request);
    // Predicted time to the first event of an unsplit prompt at an endpoint with a free slot.
    milliseconds first_event_at(const endpoint_state& state, const dispatch_request& request,
                                time_point now) const;
    free_slots find_free_slots(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                               time_point now) const;
    dispatch_result dispatch_to_free_slot(const dispatch_request& request,
                                          const std::vector<endpoint_state*>& found, time_point now);
    // Slots of an endpoint that this entry may fill.
    std::uint32_t usable_slots(const endpoint_state& state, const route::engine_rule& engine,
                               time_point now) const;
    // Expected requests to the endpoints of the failure domain that others have sent and not reported yet.
    double unheard_sends(const std::string& failure_domain, const route::engine_rule& engine,
                         time_point now) const;
    // Endpoints of the service in the failure domain.
    std::size_t domain_size(const endpoint_state& state) const;
    // Endpoints that the waiting prompts which go before the request would use.
    std::size_t parts_before(const dispatch_request& request, std::size_t endpoints, time_point now) const;
    // Expected loss of all other waiting prompts per ms that this one makes them wait.
    double queue_loss_per_ms(const dispatch_request& request, time_point now) const;
    // Stores an announcement as it is listed.
    void store(const wire::announcementT& value, time_point now);
    void remove_expired(time_point now);
    bool is_named(const std::string& service) const;
    bool displaces_named_service(const wire::announcementT& value, time_point now) const;
    bool is_listed(const endpoint_state& state, time_point now) const;
    void update_superseded(const std::string& address);
    bool accepts_work(const endpoint_state& state, time_point now) const;
    bool is_blocked(const endpoint_state& state, time_point now) const;
    bool at_cold_limit(endpoint_state& state, const dispatch_request& request, time_point now) const;
    bool at_request_limit(endpoint_state& state, const dispatch_request& request, time_point now);
    // Whether the endpoint could take the request but for its limits.
    bool is_candidate(const endpoint_state& state, const dispatch_request& request, time_point now) const;
    // Waiting requests that go first when all endpoints together take a request every `interval_ms`, the next
    // one in `first_permit_ms`. That is negative when several can go now.
    std::size_t requests_ahead(const dispatch_request& request, double interval_ms, double first_permit_ms,
                               time_point now) const;
    // The wait or the refusal of a request that only limited endpoints could take, if it is not its turn;
    // `found` are those that may take a request now.
    std::optional<dispatch_result> await_permit(const dispatch_request& request,
                                                const std::vector<endpoint_state*>& found, time_point now);
    void take_permit(endpoint_state& state, bool alone, time_point now);
    // Notes what the entry of the request has sent, and which endpoints it has found silent.
    void hear_statement(const dispatch_request& request, time_point now);
    void watch_first_event(const dispatch_request& request, const dispatch_result& outcome, time_point now);
    // Draws on the retry budget for the chosen attempt; without a grant the choice becomes a refusal.
    void grant_repeat(const dispatch_request& request, dispatch_result& outcome, time_point now);
    void update_scheduling(bool scheduling, time_point now);
    std::optional<limit_change> merge_limit(const endpoint_limit& value, time_point now);
    void keep_limit(const endpoint_limit& value);
    void apply_kept_limit(const std::string& endpoint, time_point now);
    // Logs changed limits and passes them to the listener; called without the lock.
    void publish_limits(const std::vector<limit_change>& changed, const char* cause,
                        const std::string& request, time_point now);
    double slowdown_of(const endpoint_state& state, time_point now) const;
    double failure_rate_of(const endpoint_state& state, time_point now) const;
    std::vector<endpoint_state*> eligible_endpoints(const dispatch_request& request, time_point now);
    policy::placement_candidate to_candidate(const endpoint_state& state, const route::engine_rule& engine,
                                             time_point now) const;
    policy::placement_options placement_options(const dispatch_request& request);
    void count_send(const endpoint_state& state, const dispatch_request& request);
    dispatch_result dispatch_model(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    dispatch_result dispatch_plain(const dispatch_request& request, const std::vector<endpoint_state*>& found,
                                   time_point now);
    void record_dispatch(dispatch_choice& choice, const dispatch_request& request,
                         const std::vector<endpoint_state*>& parts, time_point now);
    bool is_direct(const policy::work_key& key, incarnation reporter) const;
    wire::dispatch_noteT to_published(const policy::work_key& key, wire::dispatch_noteT note) const;
    note_list notes_to_publish(const policy::work_key& key, const dispatch_record& record) const;
    // Returns whether the note reports the start of work that was not known.
    bool apply_note(incarnation reporter, const wire::dispatch_noteT& note, time_point now);
    bool start_part(const policy::work_key& key, incarnation reporter, const wire::dispatch_noteT& note,
                    time_point now);
    void advance_phase(const policy::work_key& key, const wire::dispatch_noteT& note, time_point now);
    void apply_report(const dispatch_record& record, const wire::dispatch_noteT& note, time_point now);
    void apply_health(endpoint_state& state, attempt_health health, time_point now);
    // Adds the outcome of an answer to the endpoint's failure rate.
    void record_failure(endpoint_state& state, bool failed, time_point now) const;
    void apply_interval(endpoint_state& state, std::chrono::microseconds interval, time_point now);
    void update_own_phase(std::uint64_t number, wire::dispatch_noteT note, time_point now);
    note_list remove_reporter(incarnation reporter, time_point now);
    void publish(const note_list& notes);
    // Logs changes of prompt parts and passes them to the listener; called without the lock.
    void publish_crashes(const std::vector<policy::crash_statement>& changed, const char* cause,
                         const std::string& request = {}, const std::string& endpoint = {});
    void end_trial(dispatch_record& record);

    const incarnation m_self;
    const std::string m_own_domain;
    const double m_cold_fraction;
    const note_listener m_on_note;
    placement_parts m_parts;
    crash_listener m_on_crash;
    limit_listener m_on_limits;

    mutable std::mutex m_mutex;
    std::map<std::string, endpoint_state> m_endpoints;
    std::map<std::string, std::set<std::string>> m_names_by_address;
    // Announcements of services that the configuration does not name, by the name of the endpoint of a named
    // service that they would displace.
    std::map<std::string, wire::announcementT> m_set_aside;
    std::optional<std::set<std::string>> m_services; // that the configuration names
    std::map<policy::work_key, dispatch_record> m_dispatches;
    std::map<policy::work_key, waiting_request> m_waiting;
    policy::crash_suspects m_suspects;
    std::vector<policy::crash_statement> m_changed_trials; // to be published when the lock is released
    std::map<std::string, route::engine_rule> m_engines;   // by service, from the latest dispatch
    std::map<std::pair<std::string, std::string>, outcome_counts> m_outcomes; // by service and domain
    std::set<std::string> m_unknown_domains;
    std::set<std::string> m_domains_out;
    policy::unheard_sends m_unheard;
    // What a choice needs for each endpoint of a domain: the size of the domain by service, until the list
    // changes, and the unheard sends of one moment.
    mutable std::map<std::pair<std::string, std::string>, std::size_t> m_domain_sizes;
    mutable std::map<std::string, double> m_unheard_now;
    mutable time_point m_unheard_time{};
    std::uint64_t m_even_sends = 0;
    std::uint64_t m_even_sends_to_full = 0;
    policy::retry_grants m_retry_grants;
    policy::first_event_watch m_first_events; // of the requests that this entry has chosen endpoints for
    policy::limit_shares m_limit_shares;
    bool m_scheduling = false;
    std::uint64_t m_limit_skips = 0;
    std::map<std::string, endpoint_limit> m_unlisted_limits; // of endpoints that are not listed yet
    std::map<std::string, time_point>
        m_returns; // by service: when the last refused caller was told to return
    time_point m_complete_at{};
    bool m_crashes_known = true;
    std::uint64_t m_next_number = 1;
    random_engine m_random;
};

} // namespace verbena::forward
