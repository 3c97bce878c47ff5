#include "agent/agent_service.h"

#include "base/log.h"
#include "node/freshness.h"

namespace verbena::agent {

namespace {

// Polled often, because the cold limit reacts to the reported status.
constexpr milliseconds status_interval{250};
constexpr milliseconds reconcile_interval{1'000};
constexpr milliseconds table_poll_interval{50};

// Longest wait for open attempts during shutdown: the longest deadline that an entry accepts.
constexpr std::chrono::hours max_drain_time{1};

admission_options to_options(const settings::agent_settingsT& settings)
{
    admission_options options;
    options.plain = settings.kind == "plain";
    options.memory_tokens = settings.memory_tokens;
    options.prefill_tokens_per_s = settings.prefill_tokens_per_s;
    options.cold_limit = settings.cold_limit;
    options.warm_limit = settings.warm_limit;
    options.queue_limit = settings.queue_limit;
    options.answer_memory = settings.answer_memory;
    options.owner_lease = milliseconds(settings.owner_lease);
    return options;
}

} // namespace

result<std::shared_ptr<agent_service>> agent_service::create(node::process& process,
                                                             const settings::agent_settingsT& settings)
{
    if (!settings.kind.empty() && settings.kind != "plain" && settings.kind != "model") {
        return make_error(error_kind::invalid_settings, "[agent] kind: unknown value '" + settings.kind + "'",
                          "use model or plain");
    }
    BOOST_OUTCOME_TRY(const host_port engine, parse_host_port(settings.engine));
    auto client = settings.kind == "plain" ? make_plain_service(engine) : make_model_engine(engine);
    auto service = std::make_shared<agent_service>(process, settings, std::move(client));
    BOOST_OUTCOME_TRY(service->open(settings));
    return service;
}

agent_service::agent_service(node::process& process, const settings::agent_settingsT& settings,
                             std::unique_ptr<engine_client> engine)
    : m_process(process), m_settings(settings), m_engine(std::move(engine)),
      m_admission(to_options(settings)), m_orders(split_list(settings.models), clock::now())
{
}

result<void> agent_service::open(const settings::agent_settingsT& settings)
{
    BOOST_OUTCOME_TRY(const host_port address, parse_host_port(settings.listen));
    net::connection_options options;
    options.self = net::peer_info{wire::role::agent, m_process.settings().name, m_process.settings().cluster,
                                  m_process.self_incarnation()};
    options.counters = &m_process.counters();
    BOOST_OUTCOME_TRY(m_server, net::frame_server::create(m_process.io(), address, options, *this));
    m_address = address.host + ":" + std::to_string(m_server->port());
    BOOST_OUTCOME_TRY(const std::vector<host_port> members, parse_host_ports(m_process.settings().control));
    start_control_client(members);
    return success();
}

void agent_service::start_control_client(const std::vector<host_port>& members)
{
    node::control_client::options options;
    options.members = members;
    options.self = net::peer_info{wire::role::agent, m_process.settings().name, m_process.settings().cluster,
                                  m_process.self_incarnation()};
    net::connection_options connections;
    connections.self = options.self;
    connections.counters = &m_process.counters();
    auto pool = std::make_shared<net::peer_pool>(m_process.io(), connections, nullptr);
    m_control = std::make_shared<node::control_client>(
        m_process.io(), std::move(options), std::move(pool), m_config, nullptr, [this] { return announce(); },
        m_process.counters());
}

std::unique_ptr<wire::announcementT> agent_service::announce() const
{
    if (!m_engine_seen) {
        return nullptr;
    }
    auto value = std::make_unique<wire::announcementT>();
    value->endpoint = m_settings.endpoint;
    value->address = m_address;
    value->incarnation = m_process.self_incarnation();
    value->failure_domain = m_process.settings().failure_domain;
    value->service = m_settings.service;
    value->plain = m_settings.kind == "plain";
    {
        const std::lock_guard lock(m_orders_mutex);
        value->models = m_orders.models();
    }
    value->memory_tokens = m_settings.memory_tokens;
    value->cold = m_admission.cold();
    value->leaving = m_leaving;
    return value;
}

serving_state agent_service::state() const
{
    serving_state current;
    current.fresh = m_config.is_fresh(clock::now()) && m_engine_seen;
    current.leaving = m_leaving;
    if (const auto config = m_config.current()) {
        current.endpoint = config->endpoint_state(m_settings.endpoint);
        current.domain = config->domain_state(m_process.settings().failure_domain);
    }
    return current;
}

void agent_service::start()
{
    auto self = shared_from_this();
    m_server->start();
    m_control->start();
    const auto spawn = [this](auto work) {
        net::asio::co_spawn(net::asio::make_strand(m_process.io()), std::move(work), net::asio::detached);
    };
    spawn([self] { return self->poll_engine_status(); });
    spawn([self] { return self->reconcile_with_engine(); });
    spawn([self] { return self->expire_attempts(); });
    spawn([self] { return self->query_peers(); });
    if (m_settings.kind != "plain") {
        spawn([self] { return self->apply_orders(); });
    }
    metrics& counters = m_process.counters();
    counters.gauge("verbena_agent_running", {}, [self] { return double(self->m_admission.load().running); });
    counters.gauge("verbena_agent_queued", {}, [self] { return double(self->m_admission.load().queued); });
    counters.gauge("verbena_agent_limit", {}, [self] { return double(self->m_admission.load().limit); });
    counters.gauge("verbena_agent_free_tokens", {},
                   [self] { return double(self->m_admission.load().free_tokens); });
    counters.gauge("verbena_agent_answer_bytes", {},
                   [self] { return double(self->m_admission.held_answer_bytes()); });
    m_process.set_ready(true);
}

void agent_service::stop()
{
    m_leaving = true;
    dispatch_queued();
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->drain(); },
        net::asio::detached);
}

// Waits until open attempts have ended and their responses are delivered. Entries learn from refusals and
// from the directory that the endpoint is leaving.
net::task<void> agent_service::drain()
{
    co_await net::sleep_for(milliseconds(m_process.settings().stop_delay));
    const time_point end = clock::now() + max_drain_time;
    while ((m_admission.open_attempts() != 0 || m_admission.undelivered(clock::now()) != 0) &&
           clock::now() < end) {
        co_await net::sleep_for(table_poll_interval);
    }
    m_server->stop_accepting();
    log::info("shutdown complete: " + std::to_string(m_admission.open_attempts()) + " open attempts");
    m_process.stop();
}

void agent_service::apply_engine_status(const engine_status& status)
{
    for (const auto& lost : m_admission.observe(status)) {
        lost->log.fail(attempt_outcome::unknown, "the engine restarted");
    }
    if (std::exchange(m_engine_incarnation, status.engine) != status.engine) {
        const std::lock_guard lock(m_orders_mutex);
        m_orders.reset(split_list(m_settings.models));
    }
}

net::task<void> agent_service::poll_engine_status()
{
    bool reachable = true;
    while (true) {
        const auto status = co_await m_engine->status();
        if (status) {
            m_engine_seen = true;
            apply_engine_status(status.value());
            dispatch_queued();
        }
        if (status.has_value() != reachable) {
            reachable = status.has_value();
            log::info(reachable ? "engine reachable again" : "engine unreachable: status request failed");
        }
        co_await net::sleep_for(status_interval);
    }
}

net::task<void> agent_service::reconcile_with_engine()
{
    while (true) {
        co_await net::sleep_for(reconcile_interval);
        const auto held = co_await m_engine->held();
        if (!held) {
            continue;
        }
        const auto found = m_admission.reconcile(held.value());
        for (const std::string& id : found.unknown) {
            m_process.counters().add("verbena_agent_unknown_requests_cancelled_total", {});
            const result<void> cancelled = co_await m_engine->cancel(id);
            if (!cancelled) {
                m_process.counters().add("verbena_agent_cancel_failures_total", {});
            }
        }
        dispatch_queued();
    }
}

void agent_service::register_peer(const std::shared_ptr<net::connection>& peer)
{
    const std::lock_guard lock(m_peers_mutex);
    std::erase_if(m_peers, [](const auto& item) { return item.second.expired(); });
    m_peers[peer->peer().incarnation] = peer;
}

net::task<void> agent_service::query_peers()
{
    while (true) {
        co_await net::sleep_for(status_interval);
        const std::optional<milliseconds> age = m_config.age(clock::now());
        if (age && *age < node::peer_query_age) {
            continue;
        }
        std::vector<std::shared_ptr<net::connection>> peers;
        {
            const std::lock_guard lock(m_peers_mutex);
            for (const auto& [id, peer] : m_peers) {
                if (auto open = peer.lock();
                    open && open->is_open() && peers.size() < node::max_queried_peers) {
                    peers.push_back(std::move(open));
                }
            }
        }
        for (const auto& peer : peers) {
            net::asio::co_spawn(
                net::asio::make_strand(m_process.io()),
                [self = shared_from_this(), peer] { return node::query_freshness(peer, self->m_config); },
                net::asio::detached);
        }
    }
}

net::task<void> agent_service::apply_orders()
{
    while (true) {
        co_await net::sleep_for(status_interval);
        const auto config = m_config.current();
        const op::endpointT* desired = config ? config->endpoint(m_settings.endpoint) : nullptr;
        std::optional<order> next;
        {
            const std::lock_guard lock(m_orders_mutex);
            m_control->request_load_permit(m_orders.wants_load(desired) ? m_settings.load_bytes : 0);
            next = m_orders.next(desired, state().fresh, m_control->has_load_permit(), clock::now());
        }
        if (next) {
            co_await send_order(*next);
        }
    }
}

net::task<void> agent_service::send_order(order next)
{
    const result<void> sent = co_await m_engine->order(next.fencing, to_string(next.kind), next.name);
    const std::lock_guard lock(m_orders_mutex);
    if (sent) {
        m_orders.succeeded(next, clock::now());
        m_control->request_load_permit(0);
        log::info(std::string("engine order succeeded: ") + to_string(next.kind) + " " + next.name +
                  ", epoch " + std::to_string(next.fencing));
    } else if (sent.error().kind == error_kind::conflict) {
        m_orders.superseded(next);
        log::warn("engine order rejected: the engine has seen a newer epoch than " +
                  std::to_string(next.fencing));
    } else {
        m_process.counters().add("verbena_agent_order_failures_total", {});
    }
}

net::task<void> agent_service::expire_attempts()
{
    while (true) {
        co_await net::sleep_for(table_poll_interval);
        for (const auto& orphan : m_admission.take_orphans(clock::now())) {
            cancel(orphan, "owner_lost");
        }
        dispatch_queued();
    }
}

} // namespace verbena::agent
