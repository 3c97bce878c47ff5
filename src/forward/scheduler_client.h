#pragma once

#include "forward/dispatch_wait.h"
#include "forward/load_exchange.h"
#include "node/scheduler_list.h"
#include "policy/scheduling_scope.h"

namespace verbena::forward {

// Cancels a call of scheduler_client::choose() when its request has ended.
class choice_call {
public:
    void cancel();
    bool cancelled() const;

    // Sets the stream on which the call currently waits.
    void attach(std::shared_ptr<net::frame_stream> stream);

private:
    // Guards the members below; held alone.
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    std::shared_ptr<net::frame_stream> m_stream;
};

// Chooses the endpoints for this entry's requests. In each failure domain one entry, the scheduler, knows the
// work of all entries and chooses for them; the schedulers of all domains report their work to each other. So
// the messages for a request do not grow with the number of entries. The scheduler is the preferred candidate
// that answers; the state is rebuilt from the reports of the entries when it changes. A scheduler only
// advises: an entry checks each choice against what it knows itself, and chooses alone, with the knowledge of
// its own work only, when no scheduler answers in time. With policy::scheduling_scope::deployment the
// preferred candidate of all domains chooses for all entries, and the schedulers of the other domains hear
// its work.
class scheduler_client : public report_target_source {
public:
    scheduler_client(const node::scheduler_list& schedulers, std::string own_address, std::string own_domain,
                     fleet& endpoints);

    // Sets the connections to the schedulers; without them this entry chooses by itself. Not thread-safe.
    void set_exchange(std::shared_ptr<load_exchange> exchange) { m_exchange = std::move(exchange); }

    // Chooses endpoints; the request may wait for them for `wait_limit`.
    net::task<dispatch_result> choose(dispatch_request request, milliseconds wait_limit,
                                      std::shared_ptr<choice_call> call);

    // Predicted time until an endpoint has finished its pending prefill.
    net::task<milliseconds> backlog(std::string endpoint);

    std::vector<report_target> report_targets(time_point now) const override;
    void on_unreachable(const std::string& address, const std::string& reason) override;

    // Updates the failure domains whose load is known and this entry's part of shared limits. Call it in
    // intervals.
    void refresh(time_point now);

    // Sets whose scheduler this entry asks.
    void set_scope(policy::scheduling_scope scope);
    policy::scheduling_scope scope() const;

    // Whether this entry schedules the requests of its failure domain or of all.
    bool schedules(time_point now) const;

    // Processor time of the candidate that is preferred of all, in thousandths of a core; 0 = not known.
    std::uint32_t preferred_share(time_point now) const;

private:
    std::string scheduler(time_point now) const;
    // The schedulers that this entry would ask, in this order, without those that have just failed.
    std::vector<node::scheduler_candidate> schedulers_in_order(time_point now) const;
    // Whether this entry knows the work of another failure domain.
    bool knows_work_of(const std::string& failure_domain, time_point now) const;
    bool acts_as_scheduler(time_point now) const;
    void log_scheduler(time_point now);
    // This entry's part of the limits of endpoints.
    policy::limit_shares limit_shares(time_point now) const;
    // The entries that control members list, or have listed last.
    std::size_t known_entries(time_point now) const;
    std::vector<node::scheduler_candidate> usable_candidates(const std::string& domain, time_point now) const;
    net::task<std::optional<dispatch_result>> ask(std::string address, dispatch_request& request,
                                                  milliseconds wait_limit, std::shared_ptr<choice_call> call);

    const node::scheduler_list& m_schedulers;
    const std::string m_own_address;
    const std::string m_own_domain;
    fleet& m_fleet;
    std::shared_ptr<load_exchange> m_exchange;

    // Guards the members below. In the lock order it comes before the mutex of the scheduler list.
    mutable std::mutex m_mutex;
    std::map<std::string, time_point> m_suspected_until;
    std::set<std::string> m_known_domains; // with entries, from the latest list, and the own one
    std::size_t m_known_entries = 0;       // from the latest list
    policy::scheduling_scope m_scope = policy::scheduling_scope::domain;
    std::string m_logged_scheduler;
};

} // namespace verbena::forward
