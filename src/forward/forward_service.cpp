#include "forward/forward_service.h"

#include "base/descriptors.h"
#include "base/event_log.h"
#include "base/log.h"
#include "base/memory_bound.h"
#include "base/version.h"
#include "forward/crash_calls.h"
#include "node/freshness.h"
#include "node/publication.h"
#include "policy/engine_cost.h"

#include <algorithm>

namespace verbena::forward {

namespace {

constexpr milliseconds refresh_interval{100};
constexpr milliseconds drain_interval{20};

// Part of the grace period kept for the shutdown itself; requests still active at its start are abandoned.
constexpr milliseconds stop_reserve{300};

// Part of that reserve in which the last answers are written.
constexpr milliseconds last_answers_time{150};

// Longest wait for the member that collects usage to acknowledge the last counts, and the part of it that is
// taken even when the grace period is over; one poll fits into that.
constexpr milliseconds usage_flush_time{500};
constexpr milliseconds min_usage_flush_time{100};

// Numbers of entries among which the fixed part of the retry budget is divided: assumed until the first
// refresh, and the minimum after that.
constexpr std::size_t assumed_entries = 10;
constexpr std::size_t min_entries = 6;

// The list of endpoints may lack some for this long after a control member has first sent one: endpoints
// check in with restarted members every 1 to 2 s, and members in other failure domains are polled every 0.9
// s.
constexpr milliseconds list_settle_time{2'500};

// Requests with shared prompt parts wait for the crash records of other entries for at most this long after a
// control member has first sent a list. The connection between two entries is made within 100 ms.
constexpr milliseconds crash_records_time{1'500};

// Entries that lose the scheduler of the deployment report to another one within this time.
constexpr milliseconds takeover_time{500};

// Longest time that a caller is kept waiting when neither the route nor the caller bounds it.
constexpr milliseconds max_wait{3'600'000};

// A request waits this long for the configuration to be confirmed before it is refused. A control member
// answers within a few milliseconds; callers abandon a request after a third of their time.
constexpr milliseconds confirmation_wait{250};

// The same for an entry that has no configuration yet. When all processes restart together, the control
// members need about a second to elect a leader, and callers that are refused meanwhile seldom retry in time.
constexpr milliseconds startup_confirmation_wait{1'500};
constexpr milliseconds confirmation_poll_interval{10};

// Retry-after time of refusals while this entry has no confirmed configuration; the caller retries at another
// entry or here.
constexpr milliseconds not_ready_retry_after{300};

std::uint32_t to_u32(milliseconds value)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(value.count(), 0));
}

} // namespace

result<std::shared_ptr<forward_service>> forward_service::create(node::process& process,
                                                                 const settings::entry_settingsT& settings,
                                                                 platform_adapter adapter)
{
    auto service = std::make_shared<forward_service>(process, settings, std::move(adapter));
    BOOST_OUTCOME_TRY(service->open());
    return service;
}

forward_service::forward_service(node::process& process, const settings::entry_settingsT& settings,
                                 platform_adapter adapter)
    : m_process(process), m_settings(settings), m_adapter(std::move(adapter)),
      m_config(milliseconds(settings.freshness)),
      m_fleet(process.self_incarnation(), process.settings().failure_domain,
              settings.cold_overage / 1000.0 * shared_limit_fraction,
              [this](wire::dispatch_noteT note) {
                  if (m_load_exchange) {
                      m_load_exchange->add(std::move(note));
                  }
              }),
      m_directory([this](const std::string& name, const wire::announcementT* value) {
          m_fleet.on_endpoint(name, value);
          event::endpoint_stateT line;
          line.endpoint = name;
          line.state =
              value == nullptr
                  ? "unlisted"
                  : (value->gone ? "gone" : (value->leaving ? "leaving" : (value->cold ? "cold" : "ready")));
          if (value != nullptr) {
              line.service = value->service;
              line.domain = value->failure_domain;
              line.address = value->address;
              line.born_ms = value->born_ms;
              line.sequence = value->sequence;
          }
          event_log::write(line);
      }),
      m_budget(entry_retry_options(settings, assumed_entries)),
      m_answer_memory(held_bytes_bound(settings.total_buffer, process.settings().memory))
{
    m_fleet.set_placement_parts({settings.slot_queue == "true", settings.even_load == "true"});
    m_fleet.set_complete_at(time_point::max());
    m_fleet.set_crashes_known(settings.peer_listen.empty());
    m_fleet.set_crash_listener([this](const std::vector<policy::crash_statement>& changed) {
        if (m_load_exchange) {
            m_load_exchange->send_crash_records(changed);
        }
    });
    m_fleet.set_limit_listener([this](const std::vector<endpoint_limit>& changed) {
        if (m_load_exchange) {
            m_load_exchange->send_limits(changed);
        }
    });
}

result<void> forward_service::open()
{
    BOOST_OUTCOME_TRY(const host_port address, parse_host_port(m_settings.listen));
    BOOST_OUTCOME_TRY(const std::vector<host_port> members, node::control_members(m_process.settings()));
    metrics& counters = m_process.counters();
    net::connection_options connections;
    connections.self = net::peer_info{wire::role::entry, m_process.settings().name,
                                      m_process.settings().cluster, m_process.self_incarnation()};
    connections.counters = &counters;
    // A dead peer connection has to be detected well within the freshness bound.
    connections.ping_after = milliseconds(500);
    connections.silent_after = milliseconds(1'500);
    m_pool = std::make_shared<net::peer_pool>(m_process.io(), connections, nullptr);
    node::control_client::options options;
    options.members = members;
    options.self = connections.self;
    options.interval = milliseconds(300);
    options.remote_interval = milliseconds(900);
    options.reply_timeout = milliseconds(800);
    options.frame_address = m_settings.peer_listen;
    options.failure_domain = m_process.settings().failure_domain;
    options.processor_share = m_process.settings().processor_share;
    options.usage = &m_usage;
    options.demand = [this] { return demand(); };
    m_control = std::make_shared<node::control_client>(m_process.io(), std::move(options), m_pool, m_config,
                                                       &m_directory, nullptr, counters);
    m_scheduler = std::make_unique<scheduler_client>(m_control->schedulers(), m_settings.peer_listen,
                                                     m_process.settings().failure_domain, m_fleet);
    if (!m_settings.peer_listen.empty()) {
        load_exchange::options load_options;
        BOOST_OUTCOME_TRY(load_options.listen, parse_host_port(m_settings.peer_listen));
        load_options.failure_domain = m_process.settings().failure_domain;
        load_options.connections = connections;
        load_options.takeover_time =
            m_settings.even_load == "deployment" ? takeover_time : milliseconds::zero();
        auto placements = std::make_shared<scheduler_service>(m_fleet, [this] { return update_rules(); });
        BOOST_OUTCOME_TRY(m_load_exchange,
                          load_exchange::create(m_process.io(), std::move(load_options), m_fleet, m_config,
                                                *m_scheduler, std::move(placements)));
        m_scheduler->set_exchange(m_load_exchange);
    }
    net::http_limits limits;
    limits.max_header = m_settings.max_header;
    limits.max_body = m_settings.max_body;
    limits.header_timeout = milliseconds(m_settings.header_timeout);
    limits.body_timeout = milliseconds(m_settings.body_timeout);
    limits.min_body_rate = m_settings.min_body_rate;
    limits.write_timeout = milliseconds(m_settings.reader_timeout);
    limits.max_connections = caller_connections(m_settings.max_connections, m_process.settings().descriptors);
    limits.max_total_body = held_bytes_bound(m_settings.total_buffer, m_process.settings().memory);
    BOOST_OUTCOME_TRY(m_server, net::http_server::create(m_process.io(), address, limits, *this, counters,
                                                         std::string("callers")));
    return success();
}

void forward_service::start()
{
    m_control->start();
    m_server->start();
    if (m_load_exchange) {
        m_load_exchange->start();
    }
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->refresh(); },
        net::asio::detached);
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->query_peers(); },
        net::asio::detached);
    metrics& counters = m_process.counters();
    const auto self = shared_from_this();
    counters.gauge("verbena_forward_active_requests", {},
                   [self] { return static_cast<double>(self->m_server->active_requests()); });
    counters.gauge("verbena_forward_endpoints", {},
                   [self] { return static_cast<double>(self->m_fleet.size()); });
    counters.gauge("verbena_forward_peers", {}, [self] {
        return static_cast<double>(self->m_load_exchange ? self->m_load_exchange->peers() : 0);
    });
    counters.gauge("verbena_forward_deployment_scheduling", {}, [self] {
        return self->m_scheduler->scope() == policy::scheduling_scope::deployment ? 1.0 : 0.0;
    });
    counters.gauge("verbena_forward_schedules", {},
                   [self] { return self->m_scheduler->schedules(clock::now()) ? 1.0 : 0.0; });
    counters.gauge("verbena_forward_slot_waiters", {},
                   [self] { return static_cast<double>(self->m_fleet.slot_waiters()); });
    const auto limits = [self] { return self->m_fleet.summarize_limits(clock::now()); };
    counters.gauge("verbena_forward_limited_endpoints", {},
                   [limits] { return static_cast<double>(limits().endpoints); });
    counters.gauge("verbena_forward_limit_rate", {}, [limits] { return limits().rate; });
    counters.gauge("verbena_forward_limit_age_seconds", {},
                   [limits] { return std::chrono::duration<double>(limits().oldest).count(); });
    counters.gauge("verbena_forward_limit_skips", {},
                   [limits] { return static_cast<double>(limits().skips); });
    const auto load = [self] { return self->m_fleet.summarize_load(clock::now()); };
    counters.gauge("verbena_forward_endpoints_over_slots", {},
                   [load] { return static_cast<double>(load().over); });
    counters.gauge("verbena_forward_endpoints_idle_beside_over_slots", {},
                   [load] { return static_cast<double>(load().idle_beside); });
    counters.gauge("verbena_forward_unheard_sends", {}, [load] { return load().unheard; });
    counters.gauge("verbena_forward_even_sends", {}, [load] { return static_cast<double>(load().sends); });
    counters.gauge("verbena_forward_even_sends_to_full", {},
                   [load] { return static_cast<double>(load().sends_to_full); });
    for (const policy::crash_state state : {policy::crash_state::suspect, policy::crash_state::blocked}) {
        counters.gauge("verbena_forward_prompt_parts", {{"state", to_string(state)}}, [self, state] {
            const auto records = self->m_fleet.crash_records(clock::now());
            return static_cast<double>(
                std::count_if(records.begin(), records.end(),
                              [state](const auto& item) { return policy::state_of(item.record) == state; }));
        });
    }
    m_process.on_call(
        [self](const net::http_request& request) { return answer_crash_call(self->m_fleet, request); });
    counters.gauge("verbena_config_revision", {},
                   [self] { return static_cast<double>(self->m_config.held_revision()); });
    counters.gauge("verbena_log_lines_left_out", {},
                   [] { return static_cast<double>(event_log::left_out()); });
}

std::vector<std::unique_ptr<wire::service_demandT>> forward_service::demand()
{
    const time_point now = clock::now();
    const std::shared_ptr<const route::table> rules = update_rules();
    std::set<std::string> scaled;
    if (rules && m_scheduler->schedules(now)) {
        for (const route::service_rule& service : rules->rules().services) {
            if (service.scaling) {
                scaled.insert(service.name);
            }
        }
    }
    return scaled.empty() ? std::vector<std::unique_ptr<wire::service_demandT>>()
                          : m_fleet.demand_summary(scaled, now);
}

bool forward_service::can_serve(time_point now) const
{
    return m_config.is_fresh(now) && m_directory.loaded();
}

std::shared_ptr<const route::table> forward_service::update_rules()
{
    const std::shared_ptr<const node::config_snapshot> config = m_config.current();
    const std::lock_guard lock(m_rules_mutex);
    if (!config || config->number() <= m_rules.number) {
        return m_rules.table;
    }
    m_rules.number = config->number();
    std::set<std::string> out;
    for (const auto& domain : config->document().failure_domains) {
        if (domain->state != op::admin_state::in) {
            out.insert(domain->name);
        }
    }
    const auto domains_out = static_cast<std::uint32_t>(out.size());
    m_fleet.set_domains_out(std::move(out));
    const auto& published = config->document().published;
    if (published && (!m_rules.table || published->version > m_rules.table->version())) {
        const result<std::string> content = node::unpack_publication(*published);
        result<route::document> document =
            content ? m_adapter.documents->decode(content.value()) : result<route::document>(content.error());
        const auto table = document ? route::table::create(std::move(document.value()))
                                    : result<std::shared_ptr<const route::table>>(document.error());
        if (table) {
            m_rules.table = table.value();
            std::set<std::string> services;
            for (const route::service_rule& service : m_rules.table->rules().services) {
                services.insert(service.name);
            }
            m_fleet.set_services(std::move(services));
            apply_limits(*m_rules.table);
        } else {
            // Control members validate documents before publication, so only a member of another version can
            // have published this one.
            log::failure("cannot apply the published configuration: " + describe(table.error()));
        }
    }
    event::configuration_in_forceT line;
    line.revision = m_rules.number;
    line.domains_out = domains_out;
    if (m_rules.table) {
        line.version = m_rules.table->version();
        line.routes = static_cast<std::uint32_t>(m_rules.table->rules().routes.size());
        line.services = static_cast<std::uint32_t>(m_rules.table->rules().services.size());
    }
    event_log::write(line);
    return m_rules.table;
}

void forward_service::apply_limits(const route::table& table)
{
    const route::caller_limits& rules = table.rules().limits;
    net::http_limits limits = m_server->limits();
    limits.max_header = rules.max_header_bytes;
    limits.max_body = rules.max_body_bytes;
    limits.header_timeout = rules.header_timeout;
    limits.idle_timeout = rules.idle_timeout;
    m_server->set_limits(limits);
}

net::task<void> forward_service::refresh()
{
    bool ready = false;
    bool listed = false;
    bool has_endpoints = false;
    time_point first_listed{};
    while (!m_stopping) {
        // In a new deployment the first lists are empty, and the endpoints check in one after the other
        // later.
        const bool first_endpoints = !has_endpoints && m_fleet.size() != 0;
        if (m_directory.loaded() != listed || first_endpoints) {
            listed = m_directory.loaded();
            has_endpoints = has_endpoints || first_endpoints;
            m_fleet.set_complete_at(listed ? clock::now() + list_settle_time : time_point::max());
        }
        const bool serving = can_serve(clock::now()) && update_rules() != nullptr;
        if (serving != ready) {
            ready = serving;
            event_log::write(event::dependencyT{
                {},
                "control",
                serving ? "regained" : "lost",
                serving ? "configuration confirmed by a control member"
                        : "no recent confirmation of the configuration by a control member"});
        }
        m_process.set_ready(serving && !m_stopping);
        // A low count can mean that some entries are not known yet, hence the minimum.
        const time_point now = clock::now();
        const std::size_t known_entries = m_control->schedulers().entry_count(now);
        const std::size_t entries = std::max(known_entries, min_entries);
        m_budget.set_options(entry_retry_options(m_settings, entries));
        update_scope(now);
        m_scheduler->refresh(now);
        if (listed && first_listed == time_point{}) {
            first_listed = now;
        }
        if (listed && (known_entries <= 1 || now - first_listed >= crash_records_time)) {
            m_fleet.set_crashes_known(true);
        }
        m_fleet.refresh_crash_records(now);
        co_await net::sleep_for(refresh_interval);
    }
    m_process.set_ready(false);
}

void forward_service::update_scope(time_point now)
{
    const std::shared_ptr<const route::table> rules = update_rules();
    if (m_settings.even_load != "deployment" || !rules) {
        return;
    }
    policy::scheduling_load load;
    for (const route::service_rule& service : rules->rules().services) {
        load.add(service, m_fleet.listed_count(service.name, now));
    }
    const policy::scheduling_scope scope =
        policy::choose_scope(load, m_scheduler->preferred_share(now), m_scheduler->scope());
    m_scheduler->set_scope(scope);
}

net::task<void> forward_service::query_peers()
{
    while (!m_stopping) {
        co_await net::sleep_for(refresh_interval * 3);
        const std::optional<milliseconds> age = m_config.age(clock::now());
        if (!m_load_exchange || (age && *age < node::peer_query_age)) {
            continue;
        }
        const auto known = m_control->schedulers().candidates(std::string(), clock::now());
        for (std::size_t i = 0; i < std::min(known.size(), node::max_queried_peers); ++i) {
            const result<host_port> address = parse_host_port(known[m_next_peer++ % known.size()].address);
            if (!address) {
                continue;
            }
            auto opened = co_await m_pool->get(address.value(), refresh_interval * 3);
            if (opened) {
                net::asio::co_spawn(
                    net::asio::make_strand(m_process.io()),
                    [self = shared_from_this(), peer = opened.value()] {
                        return node::query_freshness(peer, self->m_config);
                    },
                    net::asio::detached);
            }
        }
    }
}

void forward_service::stop()
{
    m_stop_end = clock::now() + milliseconds(m_settings.grace) - stop_reserve;
    m_stopping = true;
    m_process.set_ready(false);
    m_server->close_after_responses();
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()), [self = shared_from_this()] { return self->drain(); },
        net::asio::detached);
}

net::task<void> forward_service::drain()
{
    const time_point begin = clock::now();
    const time_point end = m_stop_end;
    log_shutdown("begun", begin);
    co_await net::sleep_for(milliseconds(m_process.settings().stop_delay));
    m_server->stop_accepting();
    log_shutdown("listener_closed", begin);
    const bool drained = co_await m_server->close_when_idle(end);
    log_shutdown(drained ? "drained" : "grace_over", begin);
    end_open_requests();
    // Refusals of requests that arrived meanwhile, and answers that are about to end.
    co_await m_server->wait_idle(clock::now() + last_answers_time);
    co_await flush_usage();
    m_control->stop();
    if (m_load_exchange) {
        m_load_exchange->stop();
    }
    log_open_requests();
    co_await net::sleep_for(drain_interval * 2);
    log_shutdown("closed", begin);
    event_log::write(event::process_stateT{{},
                                           "entry",
                                           m_process.settings().name,
                                           "stopped",
                                           version(),
                                           "open requests: " + std::to_string(m_server->active_requests())});
    m_process.stop();
}

net::task<void> forward_service::flush_usage()
{
    const time_point now = clock::now();
    const time_point end =
        std::max(now + min_usage_flush_time, std::min(now + usage_flush_time, m_stop_end.load()));
    const std::uint64_t last = m_usage.flush(now);
    while (m_control->usage_acknowledged() < last && clock::now() < end) {
        m_control->poll_now();
        co_await net::sleep_for(drain_interval);
    }
}

void forward_service::log_shutdown(const char* step, time_point begin) const
{
    const auto since_begin = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
    event_log::write(event::shutdown_stepT{{},
                                           "entry",
                                           step,
                                           static_cast<std::uint32_t>(m_server->active_requests()),
                                           static_cast<std::uint32_t>(m_server->connections()),
                                           static_cast<std::uint32_t>(m_server->late_requests()),
                                           to_u32(since_begin)});
}

void forward_service::end_open_requests()
{
    const std::lock_guard lock(m_open_mutex);
    for (const auto& [forwarder, executor] : m_open) {
        net::asio::post(executor, [open = forwarder] { open->end_for_stop(); });
    }
}

void forward_service::log_open_requests() const
{
    const std::lock_guard lock(m_open_mutex);
    for (const auto& [forwarder, executor] : m_open) {
        net::asio::post(executor, [open = forwarder] { open->log_cut(); });
    }
}

void forward_service::reload(const settings_root& root)
{
    const result<std::vector<host_port>> members = node::control_members(*root.node);
    if (!members) {
        log::warn("reload: control members unchanged: " + describe(members.error()));
        return;
    }
    m_control->set_seeds(members.value());
}

net::http_response forward_service::refuse(unsigned status, const std::string& kind,
                                           const std::string& message, const std::string&)
{
    const milliseconds retry_after = status == 503 ? not_ready_retry_after : milliseconds::zero();
    return m_adapter.requests->refusal(status, kind, message, retry_after);
}

std::optional<forward_service::early_refusal> forward_service::check_team(const route::table& table,
                                                                          routed_request& out) const
{
    out.priority = out.route->priority;
    if (!table.rules().teams) {
        return std::nullopt;
    }
    const route::team_rule* team = out.terms.key.empty() ? nullptr : table.find_team(out.terms.key);
    if (team == nullptr) {
        if (out.route->allows_anonymous) {
            return std::nullopt;
        }
        return early_refusal{401, "unknown_key", "the API key is missing or unknown", milliseconds::zero()};
    }
    out.team = team->name;
    out.priority = team->priority.value_or(out.priority);
    return std::nullopt;
}

std::optional<forward_service::early_refusal> forward_service::admit(const net::http_request& request,
                                                                     routed_request& out)
{
    out.arrived = clock::now();
    out.rules = update_rules();
    if (!out.rules || !can_serve(out.arrived)) {
        return early_refusal{503, "not_ready", "this entry has no confirmed configuration",
                             not_ready_retry_after};
    }
    result<request_metadata> terms = m_adapter.requests->read_request(request);
    if (!terms) {
        return early_refusal{400, "malformed_request", terms.error().message, milliseconds::zero()};
    }
    out.terms = std::move(terms.value());
    out.route = out.rules->find_route(request.header("Host"), request.target);
    if (out.route == nullptr) {
        return early_refusal{404, "no_route", "no route matches this host and path", milliseconds::zero()};
    }
    if (std::optional<early_refusal> refused = check_team(*out.rules, out)) {
        return refused;
    }
    const std::uint64_t hash = std::hash<std::string>{}(out.terms.id);
    out.service = out.rules->find_service(route::table::choose_service(*out.route, hash));
    out.config_version = out.rules->version();
    out.config_age = m_config.age(out.arrived).value_or(max_wait);
    const milliseconds wait = std::min({out.route->timeout, out.terms.timeout.value_or(max_wait), max_wait});
    out.deadline = std::min(out.arrived + wait, m_stop_end.load() - last_answers_time);
    return check_stop(out);
}

std::optional<forward_service::early_refusal> forward_service::check_stop(const routed_request& request) const
{
    const time_point end = m_stop_end.load();
    if (end == time_point::max() || request.arrived + expected_time(request) <= end - last_answers_time) {
        return std::nullopt;
    }
    return early_refusal{503, "stopping",
                         "the request has not run: this entry ends before it could be answered; send it to "
                         "another one",
                         not_ready_retry_after};
}

milliseconds forward_service::expected_time(const routed_request& request) const
{
    const milliseconds recent = m_answer_times.longest(request.route->name, request.arrived);
    if (!request.service->engine) {
        return recent;
    }
    const policy::engine_cost cost(*request.service->engine);
    const std::uint32_t prompt = request.terms.prompt_tokens;
    const double alone_ms = cost.prefill_ms(prompt) + cost.decode_ms(request.terms.output_tokens, 0, prompt);
    return std::max(recent, milliseconds(static_cast<std::int64_t>(alone_ms)));
}

net::task<void> forward_service::refuse_early(net::http_exchange& exchange, early_refusal refusal,
                                              const std::string& id)
{
    event::refusedT line;
    line.request = id;
    line.status = refusal.status;
    line.reason = refusal.type;
    line.retry_after_ms = to_u32(refusal.retry_after);
    const std::optional<milliseconds> age = m_config.age(clock::now());
    line.config_age_ms = to_u32(age.value_or(max_wait));
    event_log::write(line);
    m_process.counters().add("verbena_forward_early_refusals_total", {{"reason", refusal.type}});
    net::http_response response =
        m_adapter.requests->refusal(refusal.status, refusal.type, refusal.message, refusal.retry_after);
    (void)co_await exchange.reply(std::move(response));
}

net::task<void> forward_service::await_confirmation()
{
    const time_point end = clock::now() + (update_rules() ? confirmation_wait : startup_confirmation_wait);
    while (!can_serve(clock::now()) && clock::now() < end) {
        m_control->poll_now();
        co_await net::sleep_for(confirmation_poll_interval);
    }
}

net::task<void> forward_service::handle(net::http_exchange& exchange)
{
    if (!can_serve(clock::now())) {
        co_await await_confirmation();
    }
    routed_request request;
    std::optional<early_refusal> refused = admit(exchange.request(), request);
    if (refused) {
        const std::string id = request.terms.id;
        co_await refuse_early(exchange, std::move(*refused), id);
        co_return;
    }
    co_await forward_request(exchange, std::move(request));
}

net::task<void> forward_service::forward_request(net::http_exchange& exchange, routed_request request)
{
    const forwarder_context context{m_fleet,
                                    *m_scheduler,
                                    *m_adapter.requests,
                                    m_budget,
                                    m_process.counters(),
                                    milliseconds(m_settings.stall),
                                    [this](time_point now) { return can_serve(now); },
                                    m_stopping,
                                    m_answer_memory,
                                    &m_usage};
    const time_point deadline = request.deadline;
    const time_point arrived = request.arrived;
    const std::string route = request.route->name;
    auto forwarder = std::make_shared<request_forwarder>(context, exchange, std::move(request));
    auto ended = std::make_shared<bool>(false);
    const auto executor = co_await net::asio::this_coro::executor;
    net::asio::co_spawn(
        executor,
        [&exchange, forwarder, ended]() -> net::task<void> {
            const bool caller_left = co_await exchange.wait_closed(ended);
            if (caller_left) {
                forwarder->cancel();
            }
        },
        net::asio::detached);
    net::steady_timer timer(executor, deadline + drain_interval);
    timer.async_wait([ended, forwarder, &exchange](const net::error_code& failure) {
        if (!failure && !*ended && exchange.started()) {
            // Otherwise a write to a caller that does not read would outlast the deadline.
            forwarder->cancel();
            exchange.cancel_wait();
        }
    });
    {
        const std::lock_guard lock(m_open_mutex);
        m_open.emplace(forwarder, executor);
    }
    co_await forwarder->run(executor);
    if (forwarder->answered()) {
        const time_point now = clock::now();
        m_answer_times.record(route, std::chrono::duration_cast<milliseconds>(now - arrived), now);
    }
    {
        const std::lock_guard lock(m_open_mutex);
        m_open.erase(forwarder);
    }
    *ended = true;
    timer.cancel();
    exchange.cancel_wait();
}

} // namespace verbena::forward
