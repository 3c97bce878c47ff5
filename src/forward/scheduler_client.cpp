#include "forward/scheduler_client.h"

#include "base/event_log.h"
#include "forward/placement_messages.h"
#include "forward/shared_retry_budget.h"
#include "node/control_client.h"

namespace verbena::forward {

namespace {

// A scheduler that has not replied for this long is taken for failed. It replies to a request that waits in
// shorter intervals than that.
constexpr milliseconds reply_timeout{150};
constexpr milliseconds waiting_timeout{600};

// A failed scheduler is not asked for this long.
constexpr milliseconds suspicion{2'000};

// Tries with different schedulers or excluded endpoints before this entry chooses alone.
constexpr int max_asks = 3;

constexpr milliseconds backlog_timeout{60};

// An entry reports its work to this many schedulers at most while the first one is not connected.
constexpr std::size_t reported_schedulers = 2;

milliseconds since(time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - begin);
}

// Observes a request that waits at this entry itself.
class local_wait : public wait_observer {
public:
    explicit local_wait(std::shared_ptr<choice_call> call) : m_call(std::move(call)) {}

    bool ended() const override { return m_call->cancelled(); }
    void waiting(time_point) override {}

private:
    std::shared_ptr<choice_call> m_call;
};

} // namespace

void choice_call::cancel()
{
    std::shared_ptr<net::frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = true;
        stream = std::move(m_stream);
    }
    if (stream) {
        stream->close(make_error(error_kind::unavailable, "the request has ended"));
    }
}

bool choice_call::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

void choice_call::attach(std::shared_ptr<net::frame_stream> stream)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_cancelled) {
            m_stream = std::move(stream);
            return;
        }
    }
    if (stream) {
        stream->close(make_error(error_kind::unavailable, "the request has ended"));
    }
}

scheduler_client::scheduler_client(const node::scheduler_list& schedulers, std::string own_address,
                                   std::string own_domain, fleet& endpoints)
    : m_schedulers(schedulers), m_own_address(std::move(own_address)), m_own_domain(std::move(own_domain)),
      m_fleet(endpoints)
{
}

std::vector<node::scheduler_candidate> scheduler_client::usable_candidates(const std::string& domain,
                                                                           time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<node::scheduler_candidate> found = m_schedulers.candidates(domain, now);
    std::erase_if(found, [this, now](const node::scheduler_candidate& value) {
        const auto suspected = m_suspected_until.find(value.address);
        return suspected != m_suspected_until.end() && now < suspected->second;
    });
    return found;
}

std::vector<node::scheduler_candidate> scheduler_client::schedulers_in_order(time_point now) const
{
    if (scope() == policy::scheduling_scope::domain) {
        return usable_candidates(m_own_domain, now);
    }
    // The one that has failed must not be replaced by another domain's before it is no longer listed: other
    // entries may still reach it.
    const auto usable = usable_candidates(std::string(), now);
    auto order = node::deployment_order(m_schedulers.candidates(std::string(), now), m_own_domain);
    std::erase_if(order, [&usable](const node::scheduler_candidate& value) {
        return std::none_of(usable.begin(), usable.end(),
                            [&value](const auto& other) { return other.address == value.address; });
    });
    return order;
}

// The next one in the order is used while there is no connection to the first one.
std::string scheduler_client::scheduler(time_point now) const
{
    if (!m_exchange) {
        return {};
    }
    const auto candidates = schedulers_in_order(now);
    if (candidates.empty()) {
        return {};
    }
    if (scope() == policy::scheduling_scope::deployment) {
        for (std::size_t i = 0; i < std::min(candidates.size(), reported_schedulers); ++i) {
            const std::string& address = candidates[i].address;
            if (address == m_own_address || m_exchange->connection_to(address)) {
                return address;
            }
        }
    }
    return candidates.front().address;
}

bool scheduler_client::schedules(time_point now) const
{
    return scheduler(now) == m_own_address;
}

// An entry to which others report acts as a scheduler, whatever the control members list.
bool scheduler_client::acts_as_scheduler(time_point now) const
{
    return schedules(now) || (m_exchange && m_exchange->has_entries());
}

void scheduler_client::set_scope(policy::scheduling_scope scope)
{
    const std::lock_guard lock(m_mutex);
    m_scope = scope;
}

policy::scheduling_scope scheduler_client::scope() const
{
    const std::lock_guard lock(m_mutex);
    return m_scope;
}

std::uint32_t scheduler_client::preferred_share(time_point now) const
{
    const auto candidates = m_schedulers.candidates(std::string(), now);
    return candidates.empty() ? 0 : candidates.front().processor_share;
}

std::vector<report_target> scheduler_client::report_targets(time_point now) const
{
    std::vector<report_target> targets;
    const std::string own_scheduler = scheduler(now);
    // The schedulers up to the one in use: a connection to those before it is still to be made.
    const auto order = m_exchange ? schedulers_in_order(now) : std::vector<node::scheduler_candidate>();
    const bool deployment = scope() == policy::scheduling_scope::deployment;
    const std::size_t most = std::min(order.size(), deployment ? reported_schedulers : 1);
    for (std::size_t i = 0; i < most && order[i].address != m_own_address; ++i) {
        targets.push_back({order[i].address, false});
        if (m_exchange->connection_to(order[i].address)) {
            break;
        }
    }
    if (!acts_as_scheduler(now)) {
        return targets;
    }
    std::set<std::string> seen{m_own_domain};
    for (const node::scheduler_candidate& value : usable_candidates(std::string(), now)) {
        if (!seen.insert(value.failure_domain).second) {
            continue;
        }
        const auto known = std::find_if(targets.begin(), targets.end(), [&value](const auto& target) {
            return target.address == value.address;
        });
        if (known == targets.end()) {
            targets.push_back({value.address, true});
        } else {
            known->as_scheduler = true;
        }
    }
    return targets;
}

void scheduler_client::refresh(time_point now)
{
    std::set<std::string> domains;
    std::set<std::string> unknown;
    for (const node::scheduler_candidate& value : m_schedulers.candidates(std::string(), now)) {
        domains.insert(value.failure_domain);
        if (value.failure_domain != m_own_domain && !knows_work_of(value.failure_domain, now)) {
            unknown.insert(value.failure_domain);
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        if (!domains.empty()) {
            m_known_domains = std::move(domains);
            m_known_domains.insert(m_own_domain);
        }
        const std::size_t entries = m_schedulers.entry_count(now);
        m_known_entries = entries == 0 ? m_known_entries : entries;
    }
    m_fleet.set_unknown_domains(std::move(unknown));
    m_fleet.set_limit_shares(limit_shares(now));
    m_fleet.set_scheduling(!m_exchange || acts_as_scheduler(now), now);
    const bool sole = scope() == policy::scheduling_scope::deployment && m_exchange && schedules(now) &&
                      !m_exchange->has_schedulers();
    m_fleet.set_sole_scheduler(sole);
    log_scheduler(now);
}

void scheduler_client::log_scheduler(time_point now)
{
    const std::string address = scheduler(now);
    const std::string scope_name = policy::to_string(scope());
    const std::string line = address.empty() ? std::string() : address + ' ' + scope_name;
    {
        const std::lock_guard lock(m_mutex);
        if (line == m_logged_scheduler) {
            return;
        }
        m_logged_scheduler = line;
    }
    if (!address.empty()) {
        event_log::write(event::dependencyT{{}, "scheduler " + address, "in_use", "scope " + scope_name});
    }
}

// The scheduler of the deployment hears the entries of a domain themselves, and the other schedulers hear all
// work from it.
bool scheduler_client::knows_work_of(const std::string& failure_domain, time_point now) const
{
    if (!m_exchange) {
        return false;
    }
    if (m_exchange->has_scheduler_of(failure_domain)) {
        return true;
    }
    if (scope() == policy::scheduling_scope::domain) {
        return false;
    }
    if (m_exchange->has_reporter_of(failure_domain)) {
        return true;
    }
    const auto listed = m_schedulers.candidates(std::string(), now);
    return !listed.empty() && listed.front().failure_domain != m_own_domain &&
           m_exchange->has_scheduler_of(listed.front().failure_domain);
}

// Without any list the latest one counts: entries that are cut off from the control members must not all take
// themselves for the only one.
policy::limit_shares scheduler_client::limit_shares(time_point now) const
{
    std::set<std::string> known_domains;
    std::size_t known_entries = 0;
    {
        const std::lock_guard lock(m_mutex);
        known_domains = m_known_domains;
        known_entries = m_known_entries;
    }
    double reporting = 1;
    for (const std::string& domain : known_domains) {
        reporting += domain != m_own_domain && knows_work_of(domain, now) ? 1 : 0;
    }
    const auto domains = static_cast<double>(std::max<std::size_t>(known_domains.size(), 1));
    const auto entries = static_cast<double>(std::max<std::size_t>(known_entries, 1));
    policy::limit_shares shares;
    shares.scheduled = shared_limit_fraction * reporting / domains;
    shares.alone = (1 - shared_limit_fraction) / entries;
    return shares;
}

std::size_t scheduler_client::known_entries(time_point now) const
{
    const std::size_t entries = m_schedulers.entry_count(now);
    const std::lock_guard lock(m_mutex);
    return entries == 0 ? m_known_entries : entries;
}

void scheduler_client::on_unreachable(const std::string& address, const std::string& reason)
{
    {
        const std::lock_guard lock(m_mutex);
        m_suspected_until[address] = clock::now() + suspicion;
    }
    event_log::write(event::dependencyT{{}, "scheduler " + address, "lost", reason});
    m_exchange->drop(address, reason);
}

net::task<dispatch_result> scheduler_client::choose(dispatch_request request, milliseconds wait_limit,
                                                    std::shared_ptr<choice_call> call)
{
    const time_point begin = clock::now();
    if (std::optional<dispatch_refusal> refusal = m_fleet.crash_refusal(request.parts, begin)) {
        dispatch_result refused;
        refused.refusal = std::move(*refusal);
        refused.chosen_by = "self";
        co_return refused;
    }
    const dispatch_request made = request;
    for (int i = 0; i < max_asks; ++i) {
        const std::string address = scheduler(clock::now());
        if (address.empty() || address == m_own_address || call->cancelled()) {
            break;
        }
        std::optional<dispatch_result> found =
            co_await ask(address, request, wait_limit - since(begin), call);
        if (found) {
            co_return std::move(*found);
        }
        std::set<std::string> excluded = std::move(request.excluded);
        request = aged(made, since(begin), wait_limit);
        request.excluded = std::move(excluded);
    }
    const bool is_scheduler = !m_exchange || schedules(clock::now());
    request.alone = !is_scheduler && known_entries(clock::now()) > 1;
    auto observer = std::make_shared<local_wait>(call);
    dispatch_result found =
        co_await dispatch_with_wait(m_fleet, request, wait_limit - since(begin), std::move(observer));
    found.chosen_by = request.alone ? "alone" : "self";
    co_return found;
}

net::task<std::optional<dispatch_result>> scheduler_client::ask(std::string address,
                                                                dispatch_request& request,
                                                                milliseconds wait_limit,
                                                                std::shared_ptr<choice_call> call)
{
    const std::shared_ptr<net::connection> connection = m_exchange->connection_to(address);
    if (!connection) {
        co_return std::nullopt;
    }
    const result<std::shared_ptr<net::frame_stream>> opened = connection->open_stream();
    if (!opened) {
        co_return std::nullopt;
    }
    const std::shared_ptr<net::frame_stream>& stream = opened.value();
    const net::stream_guard guard(stream);
    const std::uint64_t number = m_fleet.next_number();
    const time_point sent = clock::now();
    for (const std::string& name : m_fleet.blocked(request.service->name, sent)) {
        request.excluded.insert(name);
    }
    stream->send(net::make_frame(to_message(request, wait_limit, m_exchange->self(), number)));
    call->attach(stream);
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    milliseconds timeout = reply_timeout;
    while (true) {
        node::close_after(timer, stream, timeout);
        const result<net::received_frame> received = co_await stream->receive();
        timer.cancel();
        const wire::placement_reply* reply =
            received ? received.value().frame->message_as_placement_reply() : nullptr;
        if (reply != nullptr && reply->state() == wire::placement_state::waiting) {
            timeout = waiting_timeout;
            continue;
        }
        call->attach(nullptr);
        if (reply != nullptr && reply->state() == wire::placement_state::refused) {
            dispatch_result found;
            found.refusal = read_refusal(*reply);
            found.chosen_by = address;
            co_return found;
        }
        if (reply != nullptr && reply->state() == wire::placement_state::chosen) {
            wire::placement_replyT unpacked;
            reply->UnPackTo(&unpacked);
            std::string rejected;
            dispatch_result found;
            found.choice = m_fleet.adopt(number, unpacked.notes, rejected, clock::now());
            found.chosen_by = address;
            if (found.choice) {
                found.choice->predicted_first_event = milliseconds(unpacked.predicted_ms);
                co_return found;
            }
            request.excluded.insert(rejected);
        }
        // The scheduler may have recorded a choice for this dispatch.
        m_exchange->add(make_end_note(number));
        if (reply == nullptr && !call->cancelled()) {
            on_unreachable(address, received ? "unexpected reply" : received.error().message);
        }
        co_return std::nullopt;
    }
}

net::task<milliseconds> scheduler_client::backlog(std::string endpoint)
{
    const std::string address = scheduler(clock::now());
    const std::shared_ptr<net::connection> connection =
        address.empty() || address == m_own_address ? nullptr : m_exchange->connection_to(address);
    if (connection) {
        const result<std::shared_ptr<net::frame_stream>> opened = connection->open_stream();
        if (opened) {
            const std::shared_ptr<net::frame_stream>& stream = opened.value();
            const net::stream_guard guard(stream);
            wire::backlog_queryT query;
            query.endpoint = endpoint;
            stream->send(net::make_frame(std::move(query)));
            net::steady_timer timer(co_await net::asio::this_coro::executor);
            node::close_after(timer, stream, backlog_timeout);
            const result<net::received_frame> received = co_await stream->receive();
            timer.cancel();
            const wire::backlog_reply* reply =
                received ? received.value().frame->message_as_backlog_reply() : nullptr;
            if (reply != nullptr) {
                co_return milliseconds(reply->backlog_ms());
            }
        }
    }
    co_return m_fleet.backlog(endpoint, clock::now());
}

} // namespace verbena::forward
